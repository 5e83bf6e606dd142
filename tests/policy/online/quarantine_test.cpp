#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace chicory::online
{

namespace
{

constexpr duration lifetime = std::chrono::minutes(10);
constexpr time_point start = time_point(std::chrono::hours(1));

} // namespace

TEST(quarantine, second_death_quarantines_until_the_time_to_live_ends)
{
    quarantine held(lifetime);
    held.runner_died("w1", 1, {7, 8}, start);
    EXPECT_EQ(held.judge(7, start), quarantine_decision::suspect);
    held.runner_died("w2", 1, {7}, start);
    EXPECT_EQ(held.judge(7, start), quarantine_decision::quarantined);
    EXPECT_EQ(held.judge(8, start), quarantine_decision::suspect);
    EXPECT_EQ(held.judge(7, start + lifetime), quarantine_decision::clear);
    held.expire(start + lifetime);
    EXPECT_EQ(held.size(), 0U);
}

TEST(quarantine, completed_lone_run_clears_an_innocent_everywhere)
{
    quarantine near(lifetime);
    quarantine far(lifetime);
    const std::vector<crash_notice> deaths =
        near.runner_died("w1", 1, {8}, start);
    const std::vector<crash_notice> cleared = near.lone_run_completed(8, start);
    ASSERT_EQ(cleared.size(), 1U);
    // The notice of the death comes after that of the clearance.
    far.merge(cleared.front(), start);
    far.merge(deaths.front(), start);
    EXPECT_EQ(near.judge(8, start), quarantine_decision::clear);
    EXPECT_EQ(far.judge(8, start), quarantine_decision::clear);
}

TEST(quarantine, a_completed_run_does_not_release_a_quarantined_request)
{
    quarantine held(lifetime);
    held.runner_died("w1", 1, {7}, start);
    held.runner_died("w2", 1, {7}, start);
    EXPECT_TRUE(held.lone_run_completed(7, start).empty());
    EXPECT_EQ(held.judge(7, start), quarantine_decision::quarantined);
}

RC_GTEST_PROP(quarantine, gates_agree_whatever_the_order_of_notices, ())
{
    quarantine source(lifetime);
    std::vector<crash_notice> notices;
    const int deaths = *rc::gen::inRange(0, 8);
    for (int i = 0; i < deaths; ++i)
    {
        const auto print = *rc::gen::inRange<std::uint64_t>(0, 3);
        const std::string runner = *rc::gen::element<std::string>("a", "b");
        for (const crash_notice& n :
             source.runner_died(runner, 1, {print}, start))
        {
            notices.push_back(n);
        }
        const auto done = *rc::gen::inRange<std::uint64_t>(0, 3);
        for (const crash_notice& n : source.lone_run_completed(done, start))
        {
            notices.push_back(n);
        }
    }
    std::vector<crash_notice> shuffled = notices;
    shuffled.insert(shuffled.end(), notices.begin(), notices.end());
    std::mt19937_64 generator(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(shuffled.begin(), shuffled.end(), generator);
    quarantine peer(lifetime);
    for (const crash_notice& notice : shuffled)
    {
        peer.merge(notice, start);
    }
    for (std::uint64_t print = 0; print < 3; ++print)
    {
        RC_ASSERT(peer.judge(print, start) == source.judge(print, start));
    }
}

} // namespace chicory::online
