#include "policy/online/online.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace chicory::online
{

namespace
{

constexpr std::int64_t day_ms = 24L * 3600 * 1000;
constexpr std::int64_t now_ms = 100 * day_ms;

claim_row make_row(const std::string& digest, std::int64_t claimed_at_ms)
{
    claim_stamp stamp;
    stamp.id = "op-x-1";
    stamp.claimed_at_ms = claimed_at_ms;
    const std::string value = make_claim_value(encode(stamp), "");
    return {std::string(claim_row_prefix) + digest, value, 3};
}

claim_sweep_settings make_settings(std::size_t page)
{
    claim_sweep_settings settings;
    settings.page = page;
    return settings;
}

} // namespace

TEST(claim_stamp, decoded_stamp_equals_the_encoded_one)
{
    claim_stamp stamp;
    stamp.id = "op-a-b-17";
    stamp.claimed_at_ms = now_ms;
    stamp.fingerprint = 0xffffffffffffffffU;
    EXPECT_EQ(decode_claim_stamp(encode(stamp)), stamp);
    for (const char* text : {"", "-", "op", "op-1", "op-x-1", "op-1-x", "--"})
    {
        EXPECT_FALSE(decode_claim_stamp(text)) << text;
    }
}

TEST(claim_sweep, each_part_belongs_to_one_gate)
{
    const std::vector<std::string> gates{"a", "b", "c", "d", "e"};
    std::map<std::string, std::string> owners;
    for (const std::string& gate : gates)
    {
        claim_sweep sweep(make_settings(10), gate);
        std::set<std::string> seen;
        for (auto page = sweep.next(gates); seen.insert(page->prefix).second;
             page = sweep.next(gates))
        {
            EXPECT_TRUE(owners.emplace(page->prefix, gate).second);
            sweep.select_expired({}, now_ms);
        }
        EXPECT_GT(seen.size(), 20U) << gate;
    }
    EXPECT_EQ(owners.size(), 256U);
}

TEST(claim_sweep, a_gate_that_is_not_alive_reads_nothing)
{
    claim_sweep sweep(make_settings(10), "x");
    EXPECT_FALSE(sweep.next({"a", "b"}));
    EXPECT_FALSE(sweep.next({}));
}

TEST(claim_sweep, only_expired_rows_are_removed)
{
    claim_sweep sweep(make_settings(10), "a");
    ASSERT_TRUE(sweep.next({"a"}));
    claim_row unstamped;
    unstamped.key = "claims/00ff";
    unstamped.value = "op-ab12-7\n";
    const std::vector<claim_row> expired = sweep.select_expired(
        {make_row("0001", now_ms - day_ms),
         make_row("0002", now_ms - day_ms + 1),
         make_row("0003", now_ms + day_ms),
         unstamped},
        now_ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].key, "claims/0001");
    EXPECT_EQ(expired[0].version, 3);
}

TEST(claim_sweep, pages_are_read_in_order_and_again_after_a_failure)
{
    claim_sweep sweep(make_settings(2), "a");
    const std::string first = sweep.next({"a"})->prefix;
    EXPECT_EQ(sweep.next({"a"})->prefix, first);
    sweep.select_expired({make_row("0001", 0), make_row("0002", 0)}, now_ms);
    EXPECT_EQ(sweep.next({"a"})->prefix, first);
    EXPECT_EQ(sweep.next({"a"})->after, "claims/0002");
    sweep.select_expired({make_row("0003", 0)}, now_ms);
    EXPECT_NE(sweep.next({"a"})->prefix, first);
    EXPECT_EQ(sweep.next({"a"})->after, "");
}

TEST(claim_sweep, the_combined_pace_does_not_depend_on_the_number_of_gates)
{
    const claim_sweep sweep({}, "a");
    const duration pause_of_one_gate = sweep.pause(1);
    EXPECT_EQ(sweep.pause(340), 340 * pause_of_one_gate);
    EXPECT_EQ(sweep.pause(0), pause_of_one_gate);
}

} // namespace chicory::online
