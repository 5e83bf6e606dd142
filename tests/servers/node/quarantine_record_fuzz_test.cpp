#include "servers/node/node.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <random>

namespace chicory::node
{

TEST(quarantine_record_fuzz, damaged_records_decode_to_bounds_or_nothing)
{
    serving::trait_quarantine quarantine;
    quarantine.trait = 0x1f;
    quarantine.companions = {0x1f, 0xffffffffffffffff};
    quarantine.count = 2;
    ports::record whole;
    whole.key = "000000000000001f";
    whole.value = to_text(quarantine, 51'230);
    quarantine.time_left = std::chrono::milliseconds(1'230);
    ASSERT_EQ(read_quarantine(whole, 50'000), quarantine);
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        ports::record damaged = whole;
        damaged.value = testing_support::mutate(whole.value, generator);
        const std::optional<serving::trait_quarantine> read =
            read_quarantine(damaged, 50'000);
        if (!read)
        {
            ++rejected;
            continue;
        }
        ASSERT_GE(read->time_left, duration::zero());
        ASSERT_LE(read->time_left, std::chrono::hours(24));
        ASSERT_LE(read->companions.size(), serving::max_traced_parts + 1);
        serving::crash_guard guard;
        guard.on_quarantine(time_point() + std::chrono::hours(1), *read);
    }
    EXPECT_GT(rejected, 0U);
}

// Guards against a quarantine that lasts for up to a day because the store's
// clock is unknown and taken for zero.
TEST(quarantine_record_test, a_quarantine_of_unknown_age_is_not_applied)
{
    serving::trait_quarantine quarantine;
    quarantine.trait = 0x1f;
    quarantine.companions = {0x1f};
    quarantine.count = 2;
    ports::record record;
    record.key = "000000000000001f";
    record.value = to_text(quarantine, 40'000'000);
    EXPECT_TRUE(read_quarantine(record, 39'999'000));
    EXPECT_EQ(read_quarantine(record, std::nullopt), std::nullopt);
}

} // namespace chicory::node
