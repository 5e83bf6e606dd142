#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

runner_entry make_entry(const std::string& id, std::int64_t version)
{
    runner_entry entry;
    entry.id = id;
    entry.service = "chat";
    entry.address = "10.0.0.1";
    entry.port = 80;
    entry.zone = "z1";
    entry.slots = 8;
    entry.started_ms = 5;
    entry.version = version;
    return entry;
}

// Guards against memory that grows without end while another writer leaves odd
// entries under new names, or runners restart under new names for months.
TEST(runner_directory_test, remembered_removals_are_bounded)
{
    const runner_directory_settings settings;
    runner_directory directory;
    constexpr std::int64_t count = 50000;
    for (std::int64_t version = 1; version <= count; ++version)
    {
        directory.on_removed(start, "odd-" + std::to_string(version), version);
        ASSERT_LE(directory.removals(), settings.max_removed);
    }
    // An older entry of the newest one is not recorded again.
    const std::string newest = "odd-" + std::to_string(count);
    directory.on_entry(start, make_entry(newest, count - 1));
    EXPECT_FALSE(directory.is_usable(start, newest));
}

TEST(runner_directory_test, a_draining_runner_gets_no_new_work)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    EXPECT_TRUE(directory.is_usable(start, "r"));
    runner_entry draining = make_entry("r", 2);
    draining.state = runner_state::draining;
    directory.on_entry(start, draining);
    EXPECT_FALSE(directory.is_usable(start, "r"));
}

TEST(runner_directory_test, an_older_entry_does_not_revive_a_runner)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 5));
    directory.on_removed(start, "r", 7);
    directory.on_entry(start, make_entry("r", 6));
    EXPECT_EQ(directory.find("r"), nullptr);
    directory.on_entry(start, make_entry("r", 8));
    EXPECT_TRUE(directory.is_usable(start, "r"));
}

TEST(
    runner_directory_test,
    a_removal_with_a_reachable_store_takes_effect_immediately)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_removed(start, "r", 2);
    EXPECT_FALSE(directory.is_usable(start, "r"));
}

// Guards against dropping running runners when the store is unreachable: their
// entries expire although the runners continue to serve.
TEST(
    runner_directory_test,
    an_expired_entry_is_retained_until_it_could_register_again)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_store_unreachable();
    directory.on_store_reachable(start + 6s);
    directory.on_snapshot(start + 6s, {}, 9);
    EXPECT_TRUE(directory.is_usable(start + 7s, "r"));
    directory.on_tick(start + 9s);
    EXPECT_EQ(directory.find("r"), nullptr);
}

TEST(runner_directory_test, an_expired_entry_that_registers_again_stays)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_store_unreachable();
    directory.on_store_reachable(start + 6s);
    directory.on_snapshot(start + 6s, {}, 9);
    directory.on_entry(start + 7s, make_entry("r", 10));
    directory.on_tick(start + 20s);
    EXPECT_TRUE(directory.is_usable(start + 20s, "r"));
}

TEST(runner_directory_test, a_draining_entry_that_is_removed_is_not_retained)
{
    runner_directory directory;
    runner_entry draining = make_entry("r", 1);
    draining.state = runner_state::draining;
    directory.on_entry(start, draining);
    directory.on_store_unreachable();
    directory.on_store_reachable(start + 6s);
    directory.on_snapshot(start + 6s, {}, 9);
    EXPECT_EQ(directory.find("r"), nullptr);
}

TEST(runner_directory_test, an_unreachable_runner_is_avoided_for_growing_times)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_unreachable(start, "r");
    EXPECT_FALSE(directory.is_usable(start + 200ms, "r"));
    EXPECT_TRUE(directory.is_usable(start + 400ms, "r"));
    directory.on_unreachable(start + 400ms, "r");
    EXPECT_FALSE(directory.is_usable(start + 800ms, "r"));
    directory.on_reached("r");
    EXPECT_TRUE(directory.is_usable(start + 800ms, "r"));
}

TEST(
    runner_directory_test,
    a_wrong_instance_gets_no_work_until_its_entry_changes)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_wrong_instance("r");
    EXPECT_FALSE(directory.is_usable(start, "r"));
    directory.on_entry(start, make_entry("r", 2));
    EXPECT_TRUE(directory.is_usable(start, "r"));
}

// Guards against sending work to leaving runners. During a release, runners
// leave before their entries say so, or without an update of their entries.
TEST(runner_directory_test, a_runner_that_announces_leaving_gets_no_new_work)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    EXPECT_TRUE(directory.on_leaving("r", 5));
    EXPECT_FALSE(directory.on_leaving("r", 5));
    EXPECT_FALSE(directory.is_usable(start, "r"));
    EXPECT_FALSE(directory.may_send("r"));
    EXPECT_TRUE(directory.usable(start, "chat").empty());
    EXPECT_EQ(
        directory.leaving("chat"),
        std::vector<leaving_runner>({leaving_runner{"r", 5}}));
}

TEST(
    runner_directory_test, an_entry_of_the_same_process_does_not_revoke_leaving)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_leaving("r", 5);
    directory.on_entry(start + 1s, make_entry("r", 2));
    EXPECT_FALSE(directory.may_send("r"));
    directory.on_snapshot(start + 2s, {make_entry("r", 3)}, 3);
    EXPECT_FALSE(directory.may_send("r"));
    // The entry expires and is registered restarted.
    directory.on_removed(start + 3s, "r", 4);
    directory.on_entry(start + 4s, make_entry("r", 5));
    EXPECT_FALSE(directory.may_send("r"));
}

TEST(runner_directory_test, a_restarted_runner_is_not_leaving)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_leaving("r", 5);
    runner_entry restarted = make_entry("r", 2);
    restarted.started_ms = 6;
    directory.on_entry(start + 1s, restarted);
    EXPECT_TRUE(directory.may_send("r"));
    // A late response of the earlier process does not apply to this one.
    EXPECT_FALSE(directory.on_leaving("r", 5));
    EXPECT_TRUE(directory.may_send("r"));
}

TEST(
    runner_directory_test,
    a_runner_with_a_draining_entry_is_not_listed_as_leaving)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_leaving("r", 5);
    runner_entry draining = make_entry("r", 2);
    draining.state = runner_state::draining;
    directory.on_entry(start, draining);
    EXPECT_TRUE(directory.leaving("chat").empty());
}

} // namespace

} // namespace chicory::serving
