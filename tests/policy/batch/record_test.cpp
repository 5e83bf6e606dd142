#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

TEST(job_record, decoded_record_equals_the_encoded_one)
{
    job_record record;
    record.id = "job-1";
    record.member = "kremstal";
    record.route = "letters";
    record.state = job_state::running;
    record.items = 620000;
    record.chunks = 7;
    record.deadline_ms = 1234;
    record.operation_id = "op";
    const auto decoded = decode_job(encode(record));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), record);
}

TEST(job_record, decoding_names_the_missing_field)
{
    const auto decoded = decode_job(R"({"id":"a"})");
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().text, "expected a string in field member");
}

TEST(job_record, same_key_with_other_content_is_detected)
{
    job_record stored;
    stored.content_digest = "aa";
    EXPECT_EQ(match_submission(stored, "aa"), key_match::same_job);
    EXPECT_EQ(match_submission(stored, "ab"), key_match::other_content);
}

TEST(chunk_record, decoded_record_equals_the_encoded_one)
{
    chunk_record record;
    record.job = "job-1";
    record.name = chunk_name(12);
    record.items = 2;
    record.members = {4, 9};
    record.attempts = {1, 2};
    record.state = chunk_state::leased;
    record.started = {9};
    const auto decoded = decode_chunk(encode(record));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), record);
    EXPECT_EQ(record.name, "00000012");
}

TEST(chunk_record, attempts_must_match_members)
{
    chunk_record record;
    record.members = {4, 9};
    EXPECT_FALSE(decode_chunk(encode(record)));
}

TEST(chunk_record, takeover_keeps_started_items)
{
    chunk_record record;
    record.started = {3};
    const chunk_record taken = record.leased_by("b", "op");
    EXPECT_EQ(taken.started, record.started);
    EXPECT_EQ(taken.generation, 1U);
    EXPECT_EQ(taken.released({}, "op2").holder, "");
}

TEST(item_record, decoded_record_equals_the_encoded_one)
{
    item_record record;
    record.index = 5;
    record.custom_id = "x";
    record.state = item_state::failed;
    record.status = 400;
    record.body = "{\"error\":\"no\"}";
    record.reason = "status 400";
    record.attempts = 1;
    const auto decoded = decode_item_record(encode(record));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), record);
}

TEST(lifecycle, shipped_charts_match_the_enumerations)
{
    const auto charts =
        load_lifecycles(std::string(CHICORY_SOURCE_DIR) + "/charts");
    ASSERT_TRUE(charts) << charts.error().text;
    EXPECT_EQ(
        charts.value().job.next(job_state::running, job_event::cancel),
        job_state::cancelled);
    const auto impossible = charts.value().chunk.try_next(
        chunk_state::committed, chunk_event::lease);
    ASSERT_FALSE(impossible);
    EXPECT_EQ(impossible.error().kind, error_kind::conflict);
}

} // namespace chicory::batch
