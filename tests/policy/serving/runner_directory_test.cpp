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

TEST(runner_directory_test, a_removal_in_calm_times_holds_at_once)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_removed(start, "r", 2);
    EXPECT_FALSE(directory.is_usable(start, "r"));
}

// Load pattern: the store is away, entries lapse, and runners serve on.
TEST(runner_directory_test, a_lapsed_entry_is_kept_until_it_had_time_to_return)
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

TEST(runner_directory_test, a_lapsed_entry_that_returns_stays)
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

TEST(runner_directory_test, a_draining_entry_that_is_removed_is_not_kept)
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

TEST(runner_directory_test, an_unreachable_runner_is_avoided_ever_longer)
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

TEST(runner_directory_test, a_runner_that_is_another_one_waits_for_its_entry)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_wrong_instance("r");
    EXPECT_FALSE(directory.is_usable(start, "r"));
    directory.on_entry(start, make_entry("r", 2));
    EXPECT_TRUE(directory.is_usable(start, "r"));
}

// Load pattern: a release in which runners leave before, or without, any word
// in their entries.
TEST(runner_directory_test, a_runner_that_says_it_leaves_gets_no_new_work)
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

TEST(runner_directory_test, no_entry_of_the_same_start_takes_leaving_back)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_leaving("r", 5);
    directory.on_entry(start + 1s, make_entry("r", 2));
    EXPECT_FALSE(directory.may_send("r"));
    directory.on_snapshot(start + 2s, {make_entry("r", 3)}, 3);
    EXPECT_FALSE(directory.may_send("r"));
    // The entry lapses and returns.
    directory.on_removed(start + 3s, "r", 4);
    directory.on_entry(start + 4s, make_entry("r", 5));
    EXPECT_FALSE(directory.may_send("r"));
}

TEST(runner_directory_test, a_later_start_of_a_leaving_runner_is_another_one)
{
    runner_directory directory;
    directory.on_entry(start, make_entry("r", 1));
    directory.on_leaving("r", 5);
    runner_entry again = make_entry("r", 2);
    again.started_ms = 6;
    directory.on_entry(start + 1s, again);
    EXPECT_TRUE(directory.may_send("r"));
    // A late answer of the earlier start says nothing of this one.
    EXPECT_FALSE(directory.on_leaving("r", 5));
    EXPECT_TRUE(directory.may_send("r"));
}

TEST(runner_directory_test, a_runner_whose_entry_says_it_leaves_is_no_news)
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
