#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

job_record make_job(const std::string& owner, std::uint64_t incarnation)
{
    job_record job;
    job.id = "j1";
    job.owner = owner;
    job.owner_incarnation = incarnation;
    job.tokens = {1};
    return job;
}

/// Returns the number of nodes that take the job over after they have found its
/// owner missing for a time.
int count_takeovers(
    const job_record& job, const std::vector<live_node>& live, duration waited)
{
    int takeovers = 0;
    for (const live_node& node : live)
    {
        job_ownership ownership(node);
        ownership.should_take_over(start, job, live);
        takeovers +=
            ownership.should_take_over(start + waited, job, live) ? 1 : 0;
    }
    return takeovers;
}

TEST(job_ownership_test, a_live_owner_keeps_its_job)
{
    const std::vector<live_node> live = {{"a", 5}, {"b", 6}, {"c", 7}};
    EXPECT_EQ(count_takeovers(make_job("a", 5), live, 10s), 0);
}

TEST(job_ownership_test, one_node_takes_over_from_a_dead_owner)
{
    const std::vector<live_node> live = {{"a", 5}, {"b", 6}, {"c", 7}};
    EXPECT_EQ(count_takeovers(make_job("gone", 5), live, 100ms), 0);
    EXPECT_EQ(count_takeovers(make_job("gone", 5), live, 1s), 1);
}

// Guards against jobs without an owner after all nodes lose power and start
// again under the same names.
TEST(job_ownership_test, a_restarted_owner_is_not_the_previous_owner)
{
    const std::vector<live_node> live = {{"a", 15}, {"b", 16}, {"c", 17}};
    for (const char* owner : {"a", "b", "c"})
    {
        EXPECT_GE(count_takeovers(make_job(owner, 5), live, 1s), 1) << owner;
    }
    job_ownership restarted({"a", 15});
    EXPECT_TRUE(restarted.should_take_over(start, make_job("a", 5), live));
}

TEST(job_ownership_test, an_owner_whose_start_is_not_known_yet_is_alive)
{
    const std::vector<live_node> live = {{"a", 5}, {"b", 6}};
    EXPECT_EQ(count_takeovers(make_job("a", 9), live, 10s), 0);
}

} // namespace

} // namespace chicory::serving
