#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::batch
{

namespace
{

std::string make_line(std::uint64_t number)
{
    return R"({"custom_id":"i)" + std::to_string(number) +
           R"(","url":"/v1/completions","body":{"prompt":"p"}})" + "\n";
}

std::string
read_error_text(const std::string& text, reader_settings settings = {})
{
    jsonl_reader reader(settings);
    const result<void> fed = reader.feed(text);
    if (!fed)
    {
        return fed.error().text;
    }
    const result<void> ended = reader.finish();
    return ended ? "" : ended.error().text;
}

} // namespace

TEST(jsonl_reader, errors_name_the_line_and_the_reason)
{
    const std::string good = make_line(1);
    EXPECT_TRUE(
        read_error_text(good + "{oops\n").starts_with("line 2: bad JSON"));
    EXPECT_EQ(
        read_error_text(good + "\n" + R"({"url":"/x","body":{}})"),
        "line 3: custom_id is missing or no string");
    EXPECT_EQ(
        read_error_text(good + good), "line 2: custom_id \"i1\" is doubled");
    EXPECT_EQ(
        read_error_text(R"({"custom_id":"a","body":{}})"),
        "line 1: url is missing or does not begin with \"/\"");
    EXPECT_EQ(
        read_error_text(R"({"custom_id":"a","url":"/x"})"),
        "line 1: body is missing or no object");
    EXPECT_EQ(read_error_text("[]"), "line 1: expected a JSON object");
    EXPECT_EQ(read_error_text(""), "expected at least one item, found none");
}

TEST(jsonl_reader, oversized_line_is_refused_before_it_is_complete)
{
    reader_settings settings;
    settings.max_line_bytes = 100;
    jsonl_reader reader(settings);
    ASSERT_TRUE(reader.feed(make_line(1)));
    ASSERT_TRUE(reader.feed(std::string(100, ' ')));
    const result<void> fed = reader.feed("x");
    ASSERT_FALSE(fed);
    EXPECT_EQ(fed.error().text, "line 2: the line is longer than 100 bytes");
}

TEST(jsonl_reader, job_over_the_item_limit_is_refused)
{
    reader_settings settings;
    settings.max_items = 2;
    EXPECT_EQ(
        read_error_text(make_line(1) + make_line(2) + make_line(3), settings),
        "line 3: a job holds at most 2 items");
}

RC_GTEST_PROP(jsonl_reader, pieces_and_chunks_do_not_change_the_content, ())
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 200);
    std::string text;
    for (std::uint64_t number = 0; number < count; ++number)
    {
        text += make_line(number);
    }
    reader_settings settings;
    settings.min_chunk_items = *rc::gen::inRange<std::uint64_t>(1, 20);
    jsonl_reader whole(settings);
    RC_ASSERT(whole.feed(text).has_value());
    RC_ASSERT(whole.finish().has_value());
    jsonl_reader pieces(settings);
    std::string joined;
    std::uint64_t next = 0;
    for (std::size_t begin = 0; begin < text.size();)
    {
        const auto size = *rc::gen::inRange<std::size_t>(1, 400);
        RC_ASSERT(pieces.feed(text.substr(begin, size)).has_value());
        begin += size;
        if (begin >= text.size())
        {
            RC_ASSERT(pieces.finish().has_value());
        }
        for (const item_chunk& chunk : pieces.take_chunks())
        {
            RC_ASSERT(chunk.first == next);
            next += chunk.items;
            joined += chunk.lines;
        }
    }
    RC_ASSERT(joined == text);
    RC_ASSERT(next == count);
    RC_ASSERT(pieces.content_digest() == whole.content_digest());
}

TEST(jsonl_reader, largest_job_is_not_buffered_as_a_whole)
{
    constexpr std::uint64_t items = 620000;
    jsonl_reader reader({});
    std::size_t max_held_bytes = 0;
    std::uint64_t chunks = 0;
    for (std::uint64_t number = 0; number < items; ++number)
    {
        ASSERT_TRUE(reader.feed(make_line(number)));
        max_held_bytes = std::max(max_held_bytes, reader.held_bytes());
        chunks += reader.take_chunks().size();
    }
    ASSERT_TRUE(reader.finish());
    chunks += reader.take_chunks().size();
    EXPECT_EQ(reader.items(), items);
    EXPECT_LE(max_held_bytes, 1024UL * make_line(items).size());
    EXPECT_LT(chunks, 800U);
}

TEST(jsonl_reader, ten_thousand_items_need_few_chunks)
{
    std::uint64_t chunks = 0;
    for (std::uint64_t read = 0; read < 10000; ++chunks)
    {
        read += find_chunk_items({}, read);
    }
    EXPECT_LT(chunks, 100U);
}

} // namespace chicory::batch
