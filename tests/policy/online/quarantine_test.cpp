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

TEST(quarantine, second_runner_failure_quarantines_until_the_time_to_live_ends)
{
    quarantine records(lifetime);
    records.runner_died("w1", 1, {7, 8}, start);
    EXPECT_EQ(records.judge(7, start), quarantine_decision::suspect);
    records.runner_died("w2", 1, {7}, start);
    EXPECT_EQ(records.judge(7, start), quarantine_decision::quarantined);
    EXPECT_EQ(records.judge(8, start), quarantine_decision::suspect);
    EXPECT_EQ(records.judge(7, start + lifetime), quarantine_decision::clear);
    records.expire(start + lifetime);
    EXPECT_EQ(records.size(), 0U);
}

TEST(quarantine, completed_lone_run_clears_a_suspect_on_all_gates)
{
    quarantine local(lifetime);
    quarantine remote(lifetime);
    const std::vector<crash_notice> failures =
        local.runner_died("w1", 1, {8}, start);
    const std::vector<crash_notice> cleared =
        local.lone_run_completed(8, start);
    ASSERT_EQ(cleared.size(), 1U);
    // The crash notice arrives after the notice that clears it.
    remote.merge(cleared.front(), start);
    remote.merge(failures.front(), start);
    EXPECT_EQ(local.judge(8, start), quarantine_decision::clear);
    EXPECT_EQ(remote.judge(8, start), quarantine_decision::clear);
}

TEST(quarantine, a_completed_run_does_not_release_a_quarantined_request)
{
    quarantine records(lifetime);
    records.runner_died("w1", 1, {7}, start);
    records.runner_died("w2", 1, {7}, start);
    EXPECT_TRUE(records.lone_run_completed(7, start).empty());
    EXPECT_EQ(records.judge(7, start), quarantine_decision::quarantined);
}

RC_GTEST_PROP(quarantine, gates_agree_for_any_order_of_notices, ())
{
    quarantine source(lifetime);
    std::vector<crash_notice> notices;
    const int failures = *rc::gen::inRange(0, 8);
    for (int i = 0; i < failures; ++i)
    {
        const auto fingerprint = *rc::gen::inRange<std::uint64_t>(0, 3);
        const std::string runner = *rc::gen::element<std::string>("a", "b");
        for (const crash_notice& n :
             source.runner_died(runner, 1, {fingerprint}, start))
        {
            notices.push_back(n);
        }
        const auto completed = *rc::gen::inRange<std::uint64_t>(0, 3);
        for (const crash_notice& n :
             source.lone_run_completed(completed, start))
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
    for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint)
    {
        RC_ASSERT(
            peer.judge(fingerprint, start) == source.judge(fingerprint, start));
    }
}

} // namespace chicory::online
