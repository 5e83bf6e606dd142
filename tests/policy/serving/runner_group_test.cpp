#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <set>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

std::string name_of_runner(std::size_t index)
{
    return "r" + std::to_string(index);
}

TEST(runner_grouping_test, few_runners_form_one_group)
{
    const runner_grouping division("chat", {{"z1", 30}, {"z2", 34}});
    const runner_group whole{"chat", "", 0};
    EXPECT_EQ(division.groups(), std::vector<runner_group>{whole});
    EXPECT_EQ(division.group_of("r1", "z1"), whole);
    EXPECT_EQ(division.home_group("n1", "z2"), whole);
}

TEST(runner_grouping_test, no_runners_form_one_group)
{
    const runner_grouping division("chat", {});
    EXPECT_EQ(division.home_group("n1", "z1"), runner_group({"chat", "", 0}));
}

// Load pattern: more runners than a single coordinator can schedule.
TEST(runner_grouping_test, many_runners_are_divided_by_zone_and_in_parts)
{
    const runner_grouping division("chat", {{"z1", 120}, {"z2", 20}});
    EXPECT_EQ(division.groups().size(), 5U);
    std::map<runner_group, std::size_t> sizes;
    for (std::size_t index = 0; index < 120; ++index)
    {
        const runner_group group =
            division.group_of(name_of_runner(index), "z1");
        EXPECT_EQ(group.zone, "z1");
        ++sizes[group];
    }
    EXPECT_EQ(sizes.size(), 4U);
    for (const auto& [group, size] : sizes)
    {
        EXPECT_LE(size, 48U) << to_text(group);
    }
    EXPECT_EQ(division.group_of("r1", "z2"), runner_group({"chat", "z2", 0}));
}

// Guards against two groupings that are in use at the same time. All nodes
// start together and accept requests before they know the runners; the single
// group of that time must not stay in use beside the later groups.
TEST(
    runner_grouping_test,
    a_group_of_an_earlier_grouping_is_not_part_of_the_new_one)
{
    const runner_grouping early("chat", {});
    const runner_group whole = early.home_group("n1", "z1");
    EXPECT_TRUE(early.has(whole));
    const runner_grouping divided("chat", {{"z1", 96}, {"z2", 34}});
    EXPECT_FALSE(divided.has(whole));
    EXPECT_TRUE(divided.has({"chat", "z1", 2}));
    EXPECT_FALSE(divided.has({"chat", "z1", 3}));
    EXPECT_FALSE(divided.has({"chat", "z9", 0}));
    EXPECT_FALSE(divided.has({"other", "z1", 0}));
}

// Guards against groups without runners. During a release, nodes briefly see
// more or fewer runners and therefore divide them into different groups.
TEST(runner_grouping_test, an_unknown_group_holds_all_runners_of_its_zone)
{
    const runner_grouping whole("chat", {{"z1", 30}, {"z2", 34}});
    EXPECT_TRUE(whole.holds({"chat", "z1", 0}, "r1", "z1"));
    EXPECT_FALSE(whole.holds({"chat", "z1", 0}, "r1", "z2"));
    const runner_grouping divided("chat", {{"z1", 96}, {"z2", 34}});
    EXPECT_TRUE(divided.holds({"chat", "", 0}, "r1", "z1"));
    EXPECT_TRUE(divided.holds({"chat", "z1", 7}, "r1", "z1"));
    const runner_group own = divided.group_of("r1", "z1");
    EXPECT_TRUE(divided.holds(own, "r1", "z1"));
    EXPECT_FALSE(divided.holds({"chat", "z1", (own.part + 1) % 3}, "r1", "z1"));
}

TEST(runner_grouping_test, adding_a_part_moves_few_runners)
{
    const runner_grouping before("chat", {{"z1", 96}});
    const runner_grouping after("chat", {{"z1", 97}});
    std::size_t moved = 0;
    for (std::size_t index = 0; index < 96; ++index)
    {
        const std::string runner = name_of_runner(index);
        moved += before.group_of(runner, "z1") == after.group_of(runner, "z1")
                     ? 0
                     : 1;
    }
    EXPECT_LT(moved, 48U);
}

// Load pattern: a zone in which all runners have failed.
TEST(runner_grouping_test, nodes_of_a_zone_without_runners_share_one_home_zone)
{
    const runner_grouping division("chat", {{"z1", 40}, {"z2", 40}});
    std::set<std::string> zones;
    for (std::size_t index = 0; index < 20; ++index)
    {
        zones.insert(division.home_group(name_of_runner(index), "z9").zone);
    }
    EXPECT_EQ(zones.size(), 1U);
}

group_status make_group_status(
    const std::string& zone, std::int64_t online, std::int64_t batch)
{
    return {{"chat", zone, 0}, 4, online, batch, {}};
}

TEST(group_overflow_test, redirects_no_more_than_the_reported_capacity)
{
    group_overflow overflow;
    overflow.on_group_status(start, make_group_status("z2", 3, 1));
    for (std::uint64_t number = 0; number < 3; ++number)
    {
        EXPECT_TRUE(overflow.reserve_capacity(
            start, work_kind::online, {"n", 1, number}));
    }
    EXPECT_FALSE(
        overflow.reserve_capacity(start, work_kind::online, {"n", 1, 9}));
    EXPECT_FALSE(
        overflow.reserve_capacity(start, work_kind::batch, {"n", 1, 9}));
}

// Guards against redirecting requests to a full group. All nodes start
// together, and briefly two of them coordinate the same group; the one that few
// nodes use regards all its slots as idle.
TEST(group_overflow_test, the_status_of_the_coordinator_with_more_nodes_counts)
{
    group_overflow overflow;
    group_status few = make_group_status("z2", 160, 160);
    few.nodes = 1;
    overflow.on_group_status(start, make_group_status("z2", 0, 0));
    overflow.on_group_status(start + 10ms, few);
    EXPECT_FALSE(overflow.has_capacity(start + 10ms, work_kind::online));
    // The coordinator with more nodes sends no status any more.
    overflow.on_group_status(start + 600ms, few);
    EXPECT_TRUE(overflow.has_capacity(start + 600ms, work_kind::online));
}

TEST(group_overflow_test, an_expired_status_is_ignored)
{
    group_overflow overflow;
    overflow.on_group_status(start, make_group_status("z2", 3, 3));
    EXPECT_TRUE(overflow.has_capacity(start + 300ms, work_kind::batch));
    EXPECT_FALSE(overflow.has_capacity(start + 600ms, work_kind::batch));
    EXPECT_FALSE(overflow.reserve_capacity(
        start + 600ms, work_kind::online, {"n", 1, 1}));
}

// Guards against redirecting all excess load to one group: several groups
// redirect requests concurrently and receive the same statuses.
TEST(group_overflow_test, redirects_in_proportion_to_the_capacity)
{
    group_overflow overflow;
    overflow.on_group_status(start, make_group_status("z2", 300, 0));
    overflow.on_group_status(start, make_group_status("z3", 100, 0));
    overflow.on_group_status(start, make_group_status("z4", -50, 0));
    std::map<std::string, int> sent;
    for (std::uint64_t number = 0; number < 200; ++number)
    {
        ++sent[overflow
                   .reserve_capacity(start, work_kind::online, {"n", 1, number})
                   .value()
                   .zone];
    }
    EXPECT_EQ(sent.count("z4"), 0U);
    EXPECT_GT(sent["z3"], 25);
    EXPECT_GT(sent["z2"], 100);
}

} // namespace

} // namespace chicory::serving
