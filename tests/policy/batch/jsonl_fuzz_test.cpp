#include "policy/batch/batch.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

TEST(jsonl_fuzz, damaged_submissions_yield_chunks_or_a_typed_error)
{
    std::string whole;
    for (int item = 0; item < 20; ++item)
    {
        whole += R"({"custom_id":"c)" + std::to_string(item) +
                 R"(","method":"POST","url":"/v1/completions",)" +
                 R"("body":{"model":"letters","prompt":"x"}})" + "\n";
    }
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string bytes = testing_support::mutate(whole, generator);
        jsonl_reader reader{reader_settings{}};
        result<void> read = reader.feed(bytes);
        read = read ? reader.finish() : read;
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::invalid_input);
            ++refused;
            continue;
        }
        std::uint64_t items = 0;
        for (const item_chunk& chunk : reader.take_chunks())
        {
            items += chunk.items;
            ASSERT_TRUE(decode_items(chunk.lines, chunk.first, {}).has_value());
        }
        ASSERT_EQ(items, reader.items());
    }
    EXPECT_GT(refused, 0U);
}

} // namespace chicory::batch
