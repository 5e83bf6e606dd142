#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

using std::chrono::seconds;

TEST(lease_observer, expires_when_the_row_stays_the_same)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    EXPECT_FALSE(observer.observe("a", 4, start));
    EXPECT_FALSE(observer.observe("a", 4, start + seconds(14)));
    EXPECT_FALSE(observer.observe("a", 5, start + seconds(15)));
    EXPECT_FALSE(observer.observe("a", 5, start + seconds(29)));
    EXPECT_TRUE(observer.observe("a", 5, start + seconds(30)));
}

TEST(lease_observer, a_missing_row_expires_once_it_was_missing_for_a_lease)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    EXPECT_FALSE(observer.observe("a", 0, start));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(14)));
    EXPECT_TRUE(observer.observe("a", 0, start + seconds(15)));
}

TEST(lease_observer, a_row_written_anew_starts_the_wait_anew)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    observer.observe("a", 0, start);
    EXPECT_FALSE(observer.observe("a", 9, start + seconds(14)));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(20)));
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(34)));
    EXPECT_TRUE(observer.observe("a", 0, start + seconds(35)));
}

TEST(lease_observer, looks_far_apart_do_not_prove_that_a_row_stayed_missing)
{
    lease_observer observer({});
    const time_point start(seconds(100));
    observer.observe("a", 0, start);
    EXPECT_FALSE(observer.observe("a", 0, start + seconds(15)));
    EXPECT_FALSE(observer.observe("a", 4, start + seconds(20)));
    EXPECT_TRUE(observer.observe("a", 4, start + seconds(60)));
}

TEST(lease_observer, an_outage_starts_the_wait_anew)
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
        lease_state_estimate::lapsed);
    schedule.on_version_mismatch(0, start + seconds(15));
    EXPECT_EQ(schedule.version(), 0);
}

TEST(lease_schedule, a_row_that_was_found_is_renewed_before_it_counts)
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

TEST(lease_schedule, the_row_is_deleted_after_a_lease_without_work)
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
