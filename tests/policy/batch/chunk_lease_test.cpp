#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

using std::chrono::seconds;

TEST(lease_observer, expires_when_the_row_is_unchanged)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    EXPECT_FALSE(observer.observe("a", 4, start));
    EXPECT_FALSE(observer.observe("a", 4, start + seconds(14)));
    EXPECT_FALSE(observer.observe("a", 5, start + seconds(15)));
    EXPECT_FALSE(observer.observe("a", 5, start + seconds(29)));
    EXPECT_TRUE(observer.observe("a", 5, start + seconds(30)));
}

TEST(lease_observer, missing_row_expires_after_one_lease_time)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    EXPECT_FALSE(observer.observe("a", 0, start));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(14)));
    EXPECT_TRUE(observer.observe("a", 0, start + seconds(15)));
}

TEST(lease_observer, rewritten_row_restarts_the_lease_time)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    observer.observe("a", 0, start);
    EXPECT_FALSE(observer.observe("a", 9, start + seconds(14)));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(20)));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(34)));
    EXPECT_TRUE(observer.observe("a", 0, start + seconds(35)));
}

TEST(lease_observer, distant_observations_do_not_expire_a_missing_row)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    observer.observe("a", 0, start);
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(15)));
    EXPECT_FALSE(observer.observe("a", 4, start + seconds(20)));
    EXPECT_TRUE(observer.observe("a", 4, start + seconds(60)));
}

TEST(lease_observer, outage_restarts_the_lease_time)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    observer.observe("a", 4, start);
    observer.on_outage();
    EXPECT_FALSE(observer.observe("a", 4, start + seconds(60)));
    EXPECT_TRUE(observer.observe("a", 4, start + seconds(75)));
}

TEST(lease_schedule, lease_counts_from_when_the_renewal_was_sent)
{
    lease_schedule schedule({});
    const time_point start(seconds(100));
    EXPECT_EQ(schedule.estimate_state(start), lease_state_estimate::absent);
    schedule.on_renewed(7, start);
    EXPECT_EQ(schedule.renew_at(), start + seconds(4));
    EXPECT_EQ(
        schedule.estimate_state(start + seconds(14)),
        lease_state_estimate::held);
    schedule.on_failed(start + seconds(14));
    EXPECT_EQ(schedule.renew_at(), start + seconds(15));
    EXPECT_EQ(
        schedule.estimate_state(start + seconds(15)),
        lease_state_estimate::expired);
    schedule.on_version_mismatch(0, start + seconds(15));
    EXPECT_EQ(schedule.version(), 0);
}

TEST(
    lease_schedule,
    version_mismatch_requires_a_renewal_before_the_lease_is_held)
{
    lease_schedule schedule({});
    const time_point start(seconds(100));
    schedule.on_renewed(7, start);
    schedule.on_version_mismatch(8, start + seconds(1));
    EXPECT_EQ(schedule.version(), 8);
    EXPECT_EQ(schedule.renew_at(), start + seconds(1));
    EXPECT_EQ(
        schedule.estimate_state(start + seconds(1)),
        lease_state_estimate::absent);
    schedule.on_renewed(9, start + seconds(2));
    EXPECT_EQ(
        schedule.estimate_state(start + seconds(2)),
        lease_state_estimate::held);
}

TEST(lease_schedule, row_is_deleted_after_one_lease_time_without_work)
{
    lease_schedule schedule({});
    const time_point start(seconds(100));
    EXPECT_FALSE(schedule.should_delete_row(false, start));
    schedule.on_renewed(7, start);
    EXPECT_FALSE(schedule.should_delete_row(false, start));
    EXPECT_FALSE(schedule.should_delete_row(true, start + seconds(14)));
    EXPECT_FALSE(schedule.should_delete_row(false, start + seconds(15)));
    EXPECT_FALSE(schedule.should_delete_row(false, start + seconds(29)));
    EXPECT_TRUE(schedule.should_delete_row(false, start + seconds(30)));
    EXPECT_FALSE(schedule.should_delete_row(false, start + seconds(31)));
}

} // namespace chicory::batch
