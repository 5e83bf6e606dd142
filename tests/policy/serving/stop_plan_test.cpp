#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point signal_time{100s};

} // namespace

TEST(stop_plan, divides_the_grace_period)
{
    const stop_plan plan(signal_time, 8s);
    EXPECT_EQ(plan.closes_connections_at(), signal_time + 2s);
    EXPECT_EQ(plan.announced_at(), signal_time + 2500ms);
    EXPECT_EQ(plan.work_ends_at(), signal_time + 7600ms);
    EXPECT_EQ(plan.exits_at(), signal_time + 7800ms);
}

// Replays callers that keep coming during a stop: those whose requests may take
// 5 s are served in the first 2.6 s only, those with 0.5 s up to 7.1 s.
TEST(stop_plan, admits_only_work_that_ends_within_the_grace_period)
{
    const stop_plan plan(signal_time, 8s);
    EXPECT_TRUE(plan.admits(signal_time + 2600ms + 5s));
    EXPECT_FALSE(plan.admits(signal_time + 2601ms + 5s));
    EXPECT_TRUE(plan.admits(signal_time + 7100ms + 500ms));
    EXPECT_FALSE(plan.admits(signal_time + 7101ms + 500ms));
}

// Guards against a short grace period that ends during the announcement.
RC_GTEST_PROP(stop_plan, keeps_the_order_of_its_times, ())
{
    const auto grace =
        std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 600000));
    const stop_plan plan(signal_time, grace);
    RC_ASSERT(plan.closes_connections_at() >= signal_time);
    RC_ASSERT(plan.announced_at() >= plan.closes_connections_at());
    RC_ASSERT(plan.work_ends_at() >= plan.announced_at());
    RC_ASSERT(plan.exits_at() >= plan.work_ends_at());
    RC_ASSERT(signal_time + duration(grace) >= plan.exits_at());
    RC_ASSERT(plan.announced_at() - signal_time <= duration(2500ms));
}

} // namespace chicory::serving
