#include "policy/batch/batch.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace chicory::batch
{

namespace
{

/// Decodes damaged copies of an encoded record. A decoded record must stay the
/// same when it is encoded and decoded again, and a rejected one must return a
/// typed error.
template <class Record, class Decode>
void expect_round_trip_or_error(const Record& record, Decode decode)
{
    const std::string whole = encode(record);
    ASSERT_TRUE(decode(whole).has_value());
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string bytes = testing_support::mutate(whole, generator);
        const result<Record> read = decode(bytes);
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::internal);
            ASSERT_FALSE(read.error().text.empty());
            ++refused;
            continue;
        }
        const result<Record> reencoded = decode(encode(read.value()));
        ASSERT_TRUE(reencoded.has_value()) << bytes;
        ASSERT_EQ(reencoded.value(), read.value()) << bytes;
        ++accepted;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(accepted, 0U);
}

chunk_record make_chunk()
{
    chunk_record chunk;
    chunk.job = "job-1";
    chunk.name = chunk_name(12);
    chunk.source = items_name("job-1", chunk.name);
    chunk.first = 16;
    chunk.items = 3;
    chunk.members = {1, 5, 9};
    chunk.attempts = {0, 2, 1};
    chunk.started = {5};
    chunk.holder = "entry-1";
    chunk.state = chunk_state::leased;
    return chunk;
}

} // namespace

TEST(record_fuzz, damaged_jobs_decode_or_return_a_typed_error)
{
    job_record job;
    job.id = "job-1";
    job.member = "kremstal";
    job.route = "letters";
    job.state = job_state::running;
    job.items = 400;
    job.chunks = 12;
    job.deadline_ms = 1700000000000;
    expect_round_trip_or_error(job, decode_job);
}

TEST(record_fuzz, damaged_chunks_decode_or_return_a_typed_error)
{
    expect_round_trip_or_error(make_chunk(), decode_chunk);
}

TEST(record_fuzz, damaged_results_decode_or_return_a_typed_error)
{
    item_record item;
    item.index = 7;
    item.custom_id = "letter-7";
    item.state = item_state::completed;
    item.status = 200;
    item.body = R"({"choices":[{"text":"Dear \u00e4 customer"}]})";
    item.attempts = 2;
    expect_round_trip_or_error(item, decode_item_record);
}

TEST(record_fuzz, damaged_chunk_lines_decode_or_return_a_typed_error)
{
    const std::string line =
        R"({"custom_id":"c","url":"/v1/completions","body":{"prompt":"x"}})";
    const std::string whole = line + "\n" + line + "\n" + line + "\n";
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const auto read =
            decode_items(testing_support::mutate(whole, generator), 16, {0, 2});
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::internal);
            ++refused;
            continue;
        }
        ASSERT_EQ(read.value().size(), 2U);
    }
    EXPECT_GT(refused, 0U);
}

TEST(record_fuzz, negative_count_is_rejected)
{
    job_record job;
    job.items = std::numeric_limits<std::uint64_t>::max();
    const result<job_record> read = decode_job(encode(job));
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().text.find("items"), std::string::npos);

    chunk_record chunk = make_chunk();
    chunk.members.back() = std::numeric_limits<std::uint64_t>::max();
    EXPECT_FALSE(decode_chunk(encode(chunk)));
}

} // namespace chicory::batch
