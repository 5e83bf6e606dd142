#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + std::chrono::hours(1);

item_requirement needs(std::int64_t tokens, const std::string& weights = "")
{
    return {"chat", weights, tokens};
}

/// Refuses an item as often as it takes until it is held, and holds it.
void refuse_and_hold(
    item_holds& holds,
    time_point now,
    const item_requirement& needed,
    const item_key& key,
    hold_reason reason)
{
    int refusals = 1;
    while (!holds.on_refused(needed, key, reason, refusals))
    {
        ++refusals;
    }
    holds.hold(now, needed, key, reason);
}

} // namespace

TEST(item_holds_test, items_within_the_memory_are_released_when_it_grows)
{
    item_holds holds;
    holds.set_capacities({{"chat", 1000}});
    EXPECT_FALSE(holds.find_reason(needs(1000)));
    ASSERT_EQ(holds.find_reason(needs(1001)), hold_reason::exceeds_memory);
    ASSERT_EQ(
        holds.find_reason(needs(1001), true), hold_reason::exceeds_memory);
    holds.hold(start, needs(1500), {"a", 0}, hold_reason::exceeds_memory);
    holds.hold(start, needs(2500), {"a", 1}, hold_reason::exceeds_memory);
    EXPECT_TRUE(holds.release(start + 1h).empty());
    holds.set_capacities({{"chat", 2000}});
    const auto released = holds.release(start + 1h);
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].key, item_key({"a", 0}));
    EXPECT_FALSE(released[0].is_trial);
    EXPECT_EQ(holds.count().at("chat").exceeds_memory, 1U);
    // An unknown capacity is no limit.
    holds.set_capacities({});
    EXPECT_EQ(holds.release(start + 1h).size(), 1U);
    EXPECT_TRUE(holds.empty());
}

TEST(item_holds_test, items_for_missing_weights_are_tried_one_at_a_time)
{
    item_holds holds;
    refuse_and_hold(
        holds, start, needs(100, "9"), {"a", 0}, hold_reason::other_weights);
    for (std::int64_t item = 1; item < 100; ++item)
    {
        ASSERT_EQ(
            holds.find_reason(needs(100, "9")), hold_reason::other_weights);
        holds.hold(
            start, needs(100, "9"), {"a", item}, hold_reason::other_weights);
    }
    EXPECT_FALSE(holds.find_reason(needs(100)));
    EXPECT_FALSE(holds.find_reason(needs(100, "1")));
    EXPECT_EQ(holds.count().at("chat").other_weights, 100U);
    std::set<item_key> tried;
    for (time_point now = start; now < start + 10s; now += 50ms)
    {
        for (const auto& released : holds.release(now))
        {
            ASSERT_TRUE(released.is_trial);
            tried.insert(released.key);
            ASSERT_TRUE(holds.on_refused(
                needs(100, "9"), released.key, hold_reason::other_weights, 1));
            holds.hold(
                now, needs(100, "9"), released.key, hold_reason::other_weights);
        }
        ASSERT_EQ(holds.count().at("chat").other_weights, 100U);
    }
    // At 0.25, 0.75, 1.75 s and then each 2 s, each time another item.
    EXPECT_EQ(tried.size(), 7U);
    holds.on_runners_changed(start + 10s, "chat");
    const auto trial = holds.release(start + 10s);
    ASSERT_EQ(trial.size(), 1U);
    holds.on_accepted(needs(100, "9"), trial[0].key);
    EXPECT_EQ(holds.release(start + 10s).size(), 99U);
    EXPECT_TRUE(holds.empty());
}

// Guards against one odd item that makes the node hold sound items, which may
// belong to others, because these are as large.
TEST(item_holds_test, an_item_refused_for_no_stated_reason_is_held_alone)
{
    item_holds holds;
    refuse_and_hold(holds, start, needs(100), {"odd", 0}, hold_reason::refused);
    EXPECT_FALSE(holds.find_reason(needs(100)));
    EXPECT_FALSE(holds.find_reason(needs(5000)));
    EXPECT_TRUE(holds.is_uncertain(needs(100)));
    EXPECT_FALSE(holds.is_uncertain(needs(99)));
    // A run of an item of that size shows that the size is not the reason.
    holds.on_accepted(needs(5000), {"sound", 0});
    EXPECT_FALSE(holds.is_uncertain(needs(5000)));
}

TEST(item_holds_test, a_successful_trial_releases_items_up_to_twice_its_size)
{
    item_holds holds;
    for (std::int64_t item = 0; item < 40; ++item)
    {
        refuse_and_hold(
            holds,
            start,
            needs(1000 + item * 100),
            {"a", item},
            hold_reason::refused);
    }
    const auto trial = holds.release(start + 250ms);
    ASSERT_EQ(trial.size(), 1U);
    EXPECT_TRUE(trial[0].is_trial);
    EXPECT_TRUE(holds.release(start + 10s).empty());
    holds.on_accepted(needs(1000), {"a", 0});
    std::size_t untried = 0;
    for (const auto& released : holds.release(start + 10s))
    {
        untried += released.is_trial ? 0 : 1;
    }
    EXPECT_EQ(untried, 10U);
}

// Guards against held items that nobody tries any more, because the item on
// trial ended before it was refused or accepted.
TEST(item_holds_test, items_are_tried_after_the_one_on_trial_has_ended)
{
    item_holds holds;
    refuse_and_hold(
        holds, start, needs(1, "9"), {"a", 0}, hold_reason::other_weights);
    holds.hold(start, needs(1, "9"), {"b", 0}, hold_reason::other_weights);
    const auto first = holds.release(start + 1s);
    ASSERT_EQ(first.size(), 1U);
    holds.remove(start + 1s, needs(1, "9"), first[0].key);
    const auto second = holds.release(start + 2s);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_NE(second[0].key, first[0].key);
    holds.remove(start + 2s, needs(1, "9"), second[0].key);
    EXPECT_TRUE(holds.empty());
}

// Guards against items for the same weights that stay held for ever, because
// the one on trial was refused for another reason.
TEST(item_holds_test, items_are_tried_after_a_trial_refused_for_another_reason)
{
    for (const hold_reason reason :
         {hold_reason::refused, hold_reason::exceeds_memory})
    {
        item_holds holds;
        refuse_and_hold(
            holds, start, needs(9, "9"), {"a", 0}, hold_reason::other_weights);
        holds.hold(start, needs(9, "9"), {"b", 0}, hold_reason::other_weights);
        const auto first = holds.release(start + 1s);
        ASSERT_EQ(first.size(), 1U);
        ASSERT_TRUE(holds.on_refused(needs(9, "9"), first[0].key, reason, 1));
        holds.hold(start + 1s, needs(9, "9"), first[0].key, reason);
        std::set<item_key> tried;
        for (time_point now = start + 1s; now < start + 20s; now += 150ms)
        {
            for (const auto& released : holds.release(now))
            {
                tried.insert(released.key);
                holds.on_refused(needs(9, "9"), released.key, reason, 1);
                holds.hold(now, needs(9, "9"), released.key, reason);
            }
        }
        EXPECT_TRUE(tried.contains({"b", 0}) || tried.contains({"a", 0}));
        EXPECT_TRUE(std::any_of(
            tried.begin(),
            tried.end(),
            [&first](const item_key& key)
            {
                return !(key == first[0].key);
            }));
    }
}

// Replays random jobs before a runner whose memory and weights change. Guards
// against items that are lost between the holds, and against any that stay held
// after the runner can run them.
RC_GTEST_PROP(item_holds_test, every_item_is_released_once_it_can_run, ())
{
    const std::vector<std::string> versions = {"", "1", "2"};
    item_holds holds;
    std::map<item_key, item_requirement> waiting;
    std::map<item_key, item_requirement> held;
    std::set<item_key> trials;
    std::int64_t memory = 500;
    std::string weights = "1";
    holds.set_capacities({{"chat", 1000}});
    time_point now = start;
    const auto play = [&]
    {
        for (const auto& released : holds.release(now))
        {
            const auto entry = held.find(released.key);
            if (entry == held.end())
            {
                // It was removed after its release.
                continue;
            }
            waiting.insert(*entry);
            held.erase(entry);
            if (released.is_trial)
            {
                trials.insert(released.key);
            }
        }
        const std::map<item_key, item_requirement> all =
            std::exchange(waiting, {});
        for (const auto& [key, needed] : all)
        {
            const bool is_trial = trials.erase(key) > 0;
            std::optional<hold_reason> reason =
                holds.find_reason(needed, is_trial);
            if (!reason && !needed.weights.empty() && needed.weights != weights)
            {
                reason = hold_reason::other_weights;
            }
            else if (!reason && needed.tokens > memory)
            {
                reason = hold_reason::refused;
            }
            if (!reason)
            {
                holds.on_accepted(needed, key);
                continue;
            }
            holds.on_refused(needed, key, *reason, 3);
            holds.hold(now, needed, key, *reason);
            held.emplace(key, needed);
        }
    };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        const item_key key = {"job", step};
        waiting[key] = needs(
            *rc::gen::inRange<std::int64_t>(0, 2000),
            *rc::gen::elementOf(versions));
        if (*rc::gen::inRange(0, 4) == 0 && !held.empty())
        {
            holds.remove(now, held.begin()->second, held.begin()->first);
            held.erase(held.begin());
        }
        if (*rc::gen::inRange(0, 8) == 0)
        {
            memory = *rc::gen::inRange<std::int64_t>(0, 2000);
            holds.on_runners_changed(now, "chat");
        }
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        play();
    }
    holds.set_capacities({{"chat", 5000}});
    memory = 5000;
    for (const std::string& version : versions)
    {
        weights = version;
        for (int tick = 0; tick < 300; ++tick)
        {
            now += 150ms;
            play();
        }
    }
    RC_ASSERT(held.empty());
    RC_ASSERT(waiting.empty());
    RC_ASSERT(holds.empty());
}

} // namespace chicory::serving
