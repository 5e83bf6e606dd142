#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace chicory::batch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<probe_target> make_targets(std::size_t count, std::size_t near)
{
    std::vector<probe_target> targets;
    for (std::size_t i = 0; i < count; ++i)
    {
        targets.push_back({"v" + std::to_string(i), "p", i < near});
    }
    return targets;
}

/// Processes that all have work and probe a set of owners, of which those in
/// `idle` have slots.
struct probing_fleet
{
    std::vector<probe_target> targets;
    std::vector<slot_probes> processes;
    std::set<std::string> idle;
    std::map<std::string, int> received;
    time_point now{seconds(100)};

    probing_fleet(std::size_t process_count, std::size_t owner_count)
        : targets(make_targets(owner_count, 0))
    {
        for (std::size_t i = 0; i < process_count; ++i)
        {
            this->processes.emplace_back(probe_settings(), i);
        }
    }

    void run(duration length)
    {
        const probe_settings settings;
        const time_point end = this->now + length;
        for (; this->now < end; this->now += settings.interval)
        {
            for (slot_probes& process : this->processes)
            {
                this->run_round(process);
            }
        }
    }

    void run_round(slot_probes& process)
    {
        for (const std::size_t position :
             process.choose(this->targets, this->now))
        {
            const std::string& owner = this->targets[position].owner;
            ++this->received[owner];
            const bool has_slots = this->idle.contains(owner);
            process.on_reply(owner, "p", has_slots, this->now);
        }
    }

    int max_received() const
    {
        int max_count = 0;
        for (const auto& [owner, count] : this->received)
        {
            max_count = std::max(max_count, count);
        }
        return max_count;
    }
};

} // namespace

TEST(slot_probes, few_owners_are_all_probed_in_each_round)
{
    probing_fleet fleet(1, 9);
    fleet.run(seconds(1));
    ASSERT_EQ(fleet.received.size(), 9U);
    for (const auto& [owner, count] : fleet.received)
    {
        EXPECT_EQ(count, 20) << owner;
    }
}

TEST(slot_probes, thirteen_owners_are_each_probed_within_a_tenth_of_a_second)
{
    probing_fleet fleet(1, 13);
    fleet.run(seconds(1));
    for (int round = 0; round < 20; ++round)
    {
        fleet.received.clear();
        fleet.run(milliseconds(100));
        EXPECT_EQ(fleet.received.size(), 13U) << round;
    }
}

TEST(slot_probes, probes_at_an_owner_stay_bounded_in_a_large_busy_fleet)
{
    probing_fleet fleet(340, 340);
    fleet.run(seconds(20));
    fleet.received.clear();
    fleet.run(seconds(5));
    const int max_count = fleet.max_received() / 5;
    RecordProperty("probes_a_second", max_count);
    EXPECT_LE(max_count, 80);
    // Some process still probes each owner within half a second.
    for (int trial = 0; trial < 5; ++trial)
    {
        fleet.received.clear();
        fleet.run(milliseconds(500));
        EXPECT_EQ(fleet.received.size(), 340U);
    }
}

TEST(slot_probes, probes_at_an_owner_stay_bounded_in_a_large_idle_fleet)
{
    probing_fleet fleet(340, 340);
    for (const probe_target& target : fleet.targets)
    {
        fleet.idle.insert(target.owner);
    }
    fleet.run(seconds(2));
    fleet.received.clear();
    fleet.run(seconds(2));
    const int max_count = fleet.max_received() / 2;
    RecordProperty("probes_a_second", max_count);
    EXPECT_LE(max_count, 300);
}

TEST(slot_probes, owner_with_slots_is_probed_in_each_round)
{
    probing_fleet fleet(1, 340);
    fleet.idle.insert("v7");
    fleet.run(seconds(30));
    fleet.received.clear();
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.received["v7"], 20);
}

TEST(slot_probes, owners_with_slots_do_not_starve_other_owners)
{
    probing_fleet fleet(1, 40);
    for (int i = 0; i < 20; ++i)
    {
        fleet.idle.insert("v" + std::to_string(i));
    }
    fleet.run(seconds(10));
    fleet.received.clear();
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.received.size(), 40U);
}

TEST(slot_probes, near_owners_are_probed_first)
{
    slot_probes schedule({}, 1);
    const std::vector<probe_target> targets = make_targets(40, 10);
    const std::vector<std::size_t> chosen =
        schedule.choose(targets, time_point(seconds(1)));
    ASSERT_EQ(chosen.size(), 10U);
    for (const std::size_t position : chosen)
    {
        EXPECT_TRUE(targets[position].is_near);
    }
}

TEST(slot_probes, dropped_reply_delays_the_next_probe_by_half_a_second)
{
    slot_probes schedule({}, 1);
    const std::vector<probe_target> targets = make_targets(1, 0);
    time_point now(seconds(1));
    EXPECT_EQ(schedule.choose(targets, now).size(), 1U);
    EXPECT_EQ(schedule.choose(targets, now + milliseconds(499)).size(), 0U);
    EXPECT_EQ(schedule.choose(targets, now + milliseconds(500)).size(), 1U);
}

} // namespace chicory::batch
