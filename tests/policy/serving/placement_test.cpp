#include "policy/serving/serving.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

load_sample make_load(std::int32_t time_percent, std::int32_t running = 0)
{
    return {{running, 0, 8, time_percent}, 0ms};
}

slot_request make_online(std::uint64_t number, const std::string& zone = "z1")
{
    slot_request request;
    request.id = {"a", 1, number};
    request.group.service = "chat";
    request.zone = zone;
    request.target_time_left = 2s;
    request.time_left = 5s;
    return request;
}

slot_request make_item(std::uint64_t number)
{
    slot_request request = make_online(number);
    request.id.node = "b";
    request.kind = work_kind::batch;
    request.target_time_left = 18s;
    request.time_left = 60s;
    request.expected_work = 5s;
    request.repeatable = true;
    return request;
}

runner_slots make_slots(const std::vector<std::int32_t>& time_percents)
{
    runner_slots slots;
    std::vector<slot_runner> usable;
    for (std::size_t index = 0; index < time_percents.size(); ++index)
    {
        usable.push_back({"r" + std::to_string(index), "z1", 8});
    }
    slots.set_usable(usable);
    for (std::size_t index = 0; index < time_percents.size(); ++index)
    {
        for (int sample = 0; sample < 10; ++sample)
        {
            slots.on_load(
                start,
                "r" + std::to_string(index),
                make_load(time_percents[index]));
        }
    }
    return slots;
}

/// Grants in the decisions, by runner.
std::vector<std::string>
granted_runners(const std::vector<slot_decision>& decisions)
{
    std::vector<std::string> runners;
    for (const slot_decision& decision : decisions)
    {
        if (decision.kind == slot_decision_kind::granted)
        {
            runners.push_back(decision.runner);
        }
    }
    return runners;
}

std::size_t count_preempted(const std::vector<slot_decision>& decisions)
{
    return static_cast<std::size_t>(std::count_if(
        decisions.begin(),
        decisions.end(),
        [](const slot_decision& decision)
        {
            return decision.kind == slot_decision_kind::preempt;
        }));
}

} // namespace

// Guards against a momentary figure that is used long after the machine's speed
// has changed.
TEST(runner_speed, the_last_figure_counts_for_a_moment_and_the_average_after)
{
    runner_speed speed;
    for (int index = 0; index < 100; ++index)
    {
        speed.on_load(start + index * 20ms, {1, 0, 8, 100}, 1);
    }
    const time_point last = start + 2s;
    speed.on_load(last, {1, 0, 8, 60}, 1);
    EXPECT_LT(speed.current_time(last + 10ms, 1.0), 0.7);
    EXPECT_GT(speed.current_time(last + 500ms, 1.0), 0.95);
    EXPECT_GT(speed.confidence(last), 0.9);
    EXPECT_LT(speed.confidence(last + 60s), 0.01);
    // Without recent figures the runner counts as one of usual speed.
    EXPECT_NEAR(speed.current_time(last + 60s, 0.8), 0.8, 0.01);
}

TEST(runner_speed, the_work_of_others_is_forgotten)
{
    runner_speed speed;
    speed.on_load(start, {6, 1, 8, 100}, 3);
    EXPECT_NEAR(speed.work_of_others(start, 0.0), 4.0, 0.01);
    EXPECT_NEAR(speed.work_of_others(start + 3s, 0.0), 0.0, 0.01);
    EXPECT_NEAR(speed.work_of_others(start + 3s, 2.0), 2.0, 0.01);
}

// Guards against figures of a packet that arrive late and replace newer ones.
TEST(runner_speed, an_older_figure_does_not_replace_the_newest)
{
    runner_speed speed;
    speed.on_load(start + 1s, {0, 0, 8, 120}, 0);
    speed.on_load(start, {0, 0, 8, 60}, 0);
    EXPECT_NEAR(speed.current_time(start + 1s, 1.0), 1.2, 0.01);
}

TEST(runner_slots, a_fast_runner_is_chosen_before_a_slow_one)
{
    const runner_slots slots = make_slots({115, 60, 100});
    EXPECT_EQ(slots.choose_idle_runner(start + 1s, make_online(1)), "r1");
}

// Guards against items that use the runners that online requests need: an item
// goes to the slow runner if the load is even.
TEST(runner_slots, an_item_leaves_the_fast_runners_to_online_requests)
{
    const runner_slots slots = make_slots({60, 115, 100});
    EXPECT_EQ(slots.choose_idle_runner(start + 1s, make_item(1)), "r1");
}

// Guards against a change for services whose runners state no time: their load
// header has three figures.
TEST(runner_slots, without_the_time_figure_the_zone_decides_as_before)
{
    runner_slots slots;
    slots.set_usable({{"r0", "z1", 8}, {"r1", "z2", 8}});
    slots.on_load(start, "r0", make_load(0, 8));
    for (int run = 0; run < 7; ++run)
    {
        slots.begin_run("r0");
        EXPECT_EQ(slots.choose_idle_runner(start, make_online(1)), "r0");
    }
    EXPECT_EQ(
        slots.preemption_costs(start, make_online(1)),
        (std::map<std::string, std::int64_t>{{"r0", 0}, {"r1", 1}}));
}

// Load pattern: another coordinator uses the same runners, of which this one
// has no count.
TEST(runner_slots, work_of_others_counts_like_own_runs)
{
    runner_slots slots = make_slots({100, 100});
    slots.on_load(start + 1s, "r0", make_load(100, 5));
    slots.on_load(start + 1s, "r1", make_load(100, 0));
    slots.begin_run("r1");
    slots.begin_run("r1");
    EXPECT_EQ(slots.choose_idle_runner(start + 1s, make_online(1)), "r1");
    // After a while the figure says nothing any more.
    EXPECT_EQ(slots.choose_idle_runner(start + 5s, make_online(1)), "r0");
}

// Load pattern: requests of all zones arrive at random, one zone sends most of
// them, runners work at 0.55 to 1.2 of the usual time and change 10 times a
// second. By zone and idle slots the busiest runner does far more than the
// mean. The work of a runner is weighted by its speed, that is, the time for
// which its slots are in use counts.
class even_load_test : public ::testing::TestWithParam<int>
{
protected:
    struct result_of_load
    {
        double busiest_over_mean = 0.0;
        double mean_run_ms = 0.0;
    };

    result_of_load replay(bool states_time, double load, std::uint32_t seed)
    {
        constexpr int runners = 15;
        std::mt19937 generator(seed);
        std::uniform_real_distribution<double> factor(0.55, 1.2);
        std::uniform_real_distribution<double> change(0.85, 1.15);
        std::uniform_real_distribution<double> part(0.0, 1.0);
        runner_slots slots;
        std::vector<slot_runner> usable;
        std::vector<double> times;
        for (int index = 0; index < runners; ++index)
        {
            usable.push_back(
                {"r" + std::to_string(index),
                 "z" + std::to_string(index % 3),
                 8});
            times.push_back(factor(generator));
        }
        slots.set_usable(usable);
        struct run
        {
            int runner = 0;
            load_sample load;
        };
        std::multimap<time_point, run> ends;
        std::vector<double> busy(runners, 0.0);
        double total = 0.0;
        std::uint64_t number = 0;
        const double rate = load * runners * 8 / 0.5 / 0.875;
        for (time_point now = start; now < start + 60s; now += 1ms)
        {
            while (!ends.empty() && ends.begin()->first <= now)
            {
                const run& ended = ends.begin()->second;
                const std::string id = usable[ended.runner].id;
                slots.on_load(now, id, ended.load);
                slots.end_run(id, 0, false);
                ends.erase(ends.begin());
            }
            slots.on_time(now);
            if (part(generator) >= rate / 1000.0)
            {
                continue;
            }
            // Half of the requests come from the first zone.
            const double draw = part(generator);
            const std::string zone =
                draw < 0.5 ? "z0" : (draw < 0.75 ? "z1" : "z2");
            const auto chosen =
                slots.choose_idle_runner(now, make_online(++number, zone));
            if (!chosen)
            {
                continue;
            }
            const int index = std::stoi(chosen->substr(1));
            const double moment = times[index] * change(generator);
            const double length = 500.0 * moment * (0.5 + part(generator));
            slots.begin_run(*chosen);
            run begun;
            begun.runner = index;
            const auto lasts =
                std::chrono::duration_cast<duration>(length * 1ms);
            begun.load = {
                {0, 0, 8, states_time ? static_cast<int>(moment * 100) : 0},
                lasts};
            ends.emplace(now + lasts, begun);
            busy[index] += length;
            total += length;
        }
        return {
            *std::max_element(busy.begin(), busy.end()) * runners / total,
            total / static_cast<double>(number)};
    }
};

TEST_P(even_load_test, runners_do_their_share_where_they_state_their_speed)
{
    const double load = GetParam() / 100.0;
    double before = 0.0;
    double after = 0.0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        const result_of_load by_zone = this->replay(false, load, seed);
        const result_of_load by_speed = this->replay(true, load, seed);
        before = std::max(before, by_zone.busiest_over_mean);
        after = std::max(after, by_speed.busiest_over_mean);
        EXPECT_LT(by_speed.busiest_over_mean, 1.15) << "seed " << seed;
    }
    RecordProperty("before", std::to_string(before));
    RecordProperty("after", std::to_string(after));
    EXPECT_GT(before, after);
}

INSTANTIATE_TEST_SUITE_P(
    loads, even_load_test, ::testing::Values(10, 30, 50, 70));

// Guards against a runner that is new or returns and is flooded, since it did
// nothing in the last seconds.
TEST(runner_slots, a_runner_without_past_work_is_not_flooded)
{
    runner_slots slots = make_slots({100, 100, 100, 100});
    for (int runner = 0; runner < 3; ++runner)
    {
        for (int run = 0; run < 4; ++run)
        {
            slots.begin_run("r" + std::to_string(runner));
        }
    }
    for (int step = 1; step <= 2000; ++step)
    {
        slots.on_time(start + step * 10ms);
    }
    std::map<std::string, int> chosen;
    for (std::uint64_t number = 1; number <= 12; ++number)
    {
        const std::string runner =
            *slots.choose_idle_runner(start + 20s, make_online(number));
        slots.begin_run(runner);
        ++chosen[runner];
    }
    EXPECT_LE(chosen["r3"], 4 + 3);
}

// Guards against requests that are sent to a runner whose memory is used up,
// where they fail or evict others.
TEST(slot_scheduler_memory, a_runner_gets_no_more_tokens_than_it_holds)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8, 1000}});
    std::uint64_t number = 0;
    std::size_t granted = 0;
    for (; number < 8; ++number)
    {
        slot_request request = make_online(number + 1);
        request.tokens = 300;
        granted += granted_runners(scheduler.on_request(start, request)).size();
    }
    EXPECT_EQ(granted, 3U);
    // The end of a run frees its memory.
    EXPECT_EQ(
        granted_runners(
            scheduler.on_release(
                start + 10ms, make_online(1).id, slot_outcome::completed))
            .size(),
        1U);
}

// Guards against a request that waits until its deadline although no runner can
// ever hold it.
TEST(slot_scheduler_memory, a_request_larger_than_any_memory_is_refused_at_once)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8, 1000}, {"r1", "z1", 8, 900}});
    slot_request request = make_online(1);
    request.tokens = 1001;
    const auto refused = scheduler.on_request(start, request);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().kind, slot_decision_kind::refused);
    request = make_online(2);
    request.tokens = 1000;
    EXPECT_EQ(
        granted_runners(scheduler.on_request(start, request)),
        std::vector<std::string>{"r0"});
}

// Guards against a request that waits until its deadline after the only runner
// that could hold it is gone, or after the configured memory has shrunk.
TEST(
    slot_scheduler_memory, a_waiting_request_is_refused_when_the_memory_shrinks)
{
    slot_scheduler scheduler;
    scheduler.set_runners(
        start, {{"r0", "z1", 8, 1000}, {"r1", "z1", 1, 2000}});
    slot_request request = make_online(1);
    request.tokens = 1500;
    EXPECT_EQ(granted_runners(scheduler.on_request(start, request)).size(), 1U);
    request.id.number = 2;
    const auto queued = scheduler.on_request(start, request);
    ASSERT_EQ(queued.size(), 1U);
    ASSERT_EQ(queued.front().kind, slot_decision_kind::queued);
    const auto refused =
        scheduler.set_runners(start + 10ms, {{"r0", "z1", 8, 1000}});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused.front().id.number, 2U);
    EXPECT_EQ(refused.front().kind, slot_decision_kind::refused);
    EXPECT_EQ(scheduler.waiting(work_kind::online), 0U);
}

// Guards against an item that is refused again and again, or given up, because
// no runner can hold it now: it waits, and runs when a larger runner comes.
TEST(slot_scheduler_memory, an_item_larger_than_any_memory_waits)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8, 1000}});
    slot_request item = make_item(1);
    item.tokens = 1001;
    for (const slot_decision& decision : scheduler.on_request(start, item))
    {
        EXPECT_EQ(decision.kind, slot_decision_kind::queued);
    }
    EXPECT_EQ(
        granted_runners(scheduler.set_runners(
            start + 10ms, {{"r0", "z1", 8, 1000}, {"r1", "z1", 8, 2000}})),
        std::vector<std::string>{"r1"});
}

// Guards against a large request that smaller ones overtake until its deadline.
TEST(slot_scheduler_memory, a_large_request_is_overtaken_for_a_short_time_only)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8, 1000}});
    slot_request small = make_online(1);
    small.tokens = 400;
    scheduler.on_request(start, small);
    slot_request large = make_online(2);
    large.tokens = 800;
    EXPECT_TRUE(granted_runners(scheduler.on_request(start, large)).empty());
    small.id.number = 3;
    EXPECT_EQ(
        granted_runners(scheduler.on_request(start + 10ms, small)).size(), 1U);
    scheduler.on_release(
        start + 120ms, make_online(1).id, slot_outcome::completed);
    small.id.number = 4;
    EXPECT_TRUE(
        granted_runners(scheduler.on_request(start + 130ms, small)).empty());
    EXPECT_FALSE(
        granted_runners(
            scheduler.on_release(
                start + 140ms, make_online(3).id, slot_outcome::completed))
            .empty());
}

// Load pattern: items use the memory of all runners when a large online request
// arrives. Guards against a grant before the preempted items have left the
// memory, and against items that are preempted without need.
TEST(slot_scheduler_memory, items_are_preempted_until_the_memory_suffices)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8, 1000}});
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        slot_request item = make_item(number);
        item.tokens = 200;
        scheduler.on_request(start, item);
    }
    slot_request request = make_online(9);
    request.tokens = 350;
    const auto decisions = scheduler.on_request(start + 10ms, request);
    EXPECT_EQ(count_preempted(decisions), 2U);
    EXPECT_TRUE(granted_runners(decisions).empty());
    EXPECT_EQ(count_preempted(scheduler.on_tick(start + 20ms)), 0U);
    std::vector<std::string> granted;
    for (const slot_decision& decision : decisions)
    {
        if (decision.kind == slot_decision_kind::preempt)
        {
            EXPECT_TRUE(granted.empty());
            granted = granted_runners(scheduler.on_release(
                start + 30ms, decision.id, slot_outcome::cancelled));
        }
    }
    EXPECT_EQ(granted, std::vector<std::string>{"r0"});
}

// Guards against items that are preempted at a slow runner while a fast one has
// items too.
TEST(slot_scheduler_speed, an_online_request_preempts_items_at_a_fast_runner)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8}, {"r1", "z1", 8}});
    std::vector<held_slot> held;
    for (std::uint64_t number = 1; number <= 16; ++number)
    {
        held_slot slot;
        slot.id = make_item(number).id;
        slot.kind = work_kind::batch;
        slot.runner = number % 2 == 0 ? "r0" : "r1";
        slot.age = 10ms;
        slot.load = {{8, 0, 8, number % 2 == 0 ? 115 : 60}, 5ms};
        held.push_back(slot);
    }
    scheduler.on_report(start, "b", 1, held, {});
    const auto decisions = scheduler.on_request(start + 10ms, make_online(99));
    EXPECT_EQ(count_preempted(decisions), 1U);
    EXPECT_EQ(granted_runners(decisions), std::vector<std::string>{"r1"});
    EXPECT_EQ(scheduler.speeds(start + 30ms).measured, 2);
}

// Guards against figures that are counted several times because reports repeat
// them until the run ends.
TEST(slot_scheduler_speed, a_load_that_reports_repeat_counts_once)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8}, {"r1", "z1", 8}});
    scheduler.on_request(start, make_online(1));
    held_slot slot;
    slot.id = make_online(1).id;
    slot.runner = "r0";
    for (int report = 1; report <= 20; ++report)
    {
        slot.age = report * 50ms;
        slot.load = {{1, 0, 8, 50}, report * 50ms};
        scheduler.on_report(start + report * 50ms, "a", 1, {slot}, {});
    }
    // One sample of half the usual time has at most a third of the weight,
    // which is a speed of 1 / (1 - 0.5 / 3) = 1.2; 20 samples have 0.9.
    EXPECT_GT(scheduler.speeds(start + 1s).largest, 1.1);
    EXPECT_LT(scheduler.speeds(start + 1s).largest, 1.21);
}

// Guards against a coordinator that has just started and knows no speeds: the
// first reports of the nodes contain what the runners stated.
TEST(slot_scheduler_speed, a_new_coordinator_learns_speeds_from_reports)
{
    slot_scheduler scheduler;
    scheduler.set_runners(start, {{"r0", "z1", 8}, {"r1", "z2", 8}});
    std::vector<held_slot> held;
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        held_slot slot;
        slot.id = make_online(number).id;
        slot.runner = number <= 4 ? "r0" : "r1";
        slot.age = 100ms;
        slot.load = {{4, 0, 8, number <= 4 ? 120 : 55}, 40ms};
        held.push_back(slot);
    }
    scheduler.on_report(start, "a", 1, held, {});
    EXPECT_EQ(
        granted_runners(scheduler.on_request(start, make_online(20))),
        std::vector<std::string>{"r1"});
}

namespace
{

/// Nodes that reach no coordinator and choose runners by what they heard from
/// the responses of their own requests.
class deciders
{
public:
    using choice = std::function<std::string(
        time_point now,
        int node,
        const std::vector<direct_candidate>& candidates,
        std::uint64_t number)>;

    static constexpr int nodes = 60;
    static constexpr int runners = 16;
    static constexpr std::int64_t slots = 8;

    /// Called with a load that a node heard.
    std::function<void(
        time_point now,
        int node,
        const std::string& runner,
        const runner_load& load,
        std::int64_t own_runs)>
        on_heard;

    /// Returns the share of requests that found all slots of their runner in
    /// use, while at least a third of all slots was idle.
    double replay(const choice& choose, std::uint32_t seed)
    {
        std::mt19937 generator(seed);
        std::uniform_real_distribution<double> part(0.0, 1.0);
        struct run
        {
            int node = 0;
            int runner = 0;
        };
        std::vector<int> running(runners, 0);
        std::vector<std::vector<std::int64_t>> own(
            nodes, std::vector<std::int64_t>(runners, 0));
        std::vector<std::uint64_t> numbers(nodes, 0);
        std::multimap<time_point, run> ends;
        std::multimap<time_point, std::pair<run, runner_load>> heads;
        std::int64_t overloaded = 0;
        std::int64_t all = 0;
        for (time_point now = start; now < start + 20s; now += 1ms)
        {
            for (; !heads.empty() && heads.begin()->first <= now;
                 heads.erase(heads.begin()))
            {
                const auto& [of, load] = heads.begin()->second;
                if (this->on_heard)
                {
                    this->on_heard(
                        now,
                        of.node,
                        "r" + std::to_string(of.runner),
                        load,
                        own[of.node][of.runner]);
                }
            }
            for (; !ends.empty() && ends.begin()->first <= now;
                 ends.erase(ends.begin()))
            {
                const run& ended = ends.begin()->second;
                --running[ended.runner];
                --own[ended.node][ended.runner];
            }
            // The nodes choose in bursts: 20 of them every 180 ms.
            if ((now - start) % 180ms >= 1ms)
            {
                continue;
            }
            for (int index = 0; index < 20; ++index)
            {
                const int node = static_cast<int>(generator() % nodes);
                std::vector<direct_candidate> candidates;
                for (int runner = 0; runner < runners; ++runner)
                {
                    candidates.push_back(
                        {"r" + std::to_string(runner),
                         slots,
                         own[node][runner],
                         true});
                }
                const std::string chosen =
                    choose(now, node, candidates, ++numbers[node]);
                const int runner = std::stoi(chosen.substr(1));
                ++all;
                overloaded += running[runner] >= slots ? 1 : 0;
                const run begun = {node, runner};
                heads.emplace(
                    now + 60ms,
                    std::pair(
                        begun,
                        runner_load{
                            running[runner],
                            0,
                            static_cast<std::int32_t>(slots),
                            100}));
                ++running[runner];
                ++own[node][runner];
                ends.emplace(
                    now + std::chrono::duration_cast<duration>(
                              (250 + 500 * part(generator)) * 1ms),
                    begun);
            }
        }
        return static_cast<double>(overloaded) / static_cast<double>(all);
    }
};

} // namespace

// Load pattern: no coordinator can be reached, and many nodes choose at the
// same moment by figures that are some 100 ms old. The rule before took the
// runner with the fewest own requests, with ties broken by the number of the
// request, which is alike on all nodes; the rule by the last figure heard sends
// all nodes to the same runner in turn.
TEST(direct_choice, nodes_with_old_figures_do_not_overload_runners_in_turn)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        deciders by_own_count;
        const double own_count_share = by_own_count.replay(
            [](time_point,
               int,
               const std::vector<direct_candidate>& candidates,
               std::uint64_t number)
            {
                return std::min_element(
                           candidates.begin(),
                           candidates.end(),
                           [number](const auto& left, const auto& right)
                           {
                               return std::pair(
                                          left.own_runs,
                                          hash_bytes(left.id, number)) <
                                      std::pair(
                                          right.own_runs,
                                          hash_bytes(right.id, number));
                           })
                    ->id;
            },
            seed);
        // All nodes see the last load that any node heard.
        deciders by_figure;
        std::map<std::string, std::int64_t> last;
        by_figure.on_heard = [&last](
                                 time_point,
                                 int,
                                 const std::string& runner,
                                 const runner_load& load,
                                 std::int64_t)
        {
            last[runner] = load.running;
        };
        const double figure_share = by_figure.replay(
            [&last](
                time_point,
                int,
                const std::vector<direct_candidate>& candidates,
                std::uint64_t)
            {
                return std::min_element(
                           candidates.begin(),
                           candidates.end(),
                           [&last](const auto& left, const auto& right)
                           {
                               return last[left.id] < last[right.id];
                           })
                    ->id;
            },
            seed);
        deciders by_two_choices;
        std::vector<direct_choice> choices(deciders::nodes);
        by_two_choices.on_heard = [&choices](
                                      time_point now,
                                      int node,
                                      const std::string& runner,
                                      const runner_load& load,
                                      std::int64_t own_runs)
        {
            choices[node].on_load(now, runner, load, own_runs);
        };
        const double two_choices_share = by_two_choices.replay(
            [&choices](
                time_point now,
                int node,
                const std::vector<direct_candidate>& candidates,
                std::uint64_t number)
            {
                return *choices[node].choose(
                    now,
                    candidates,
                    hash_bytes("node-" + std::to_string(node), number));
            },
            seed);
        EXPECT_GT(figure_share, 0.3) << "seed " << seed;
        EXPECT_LT(two_choices_share, 0.05) << "seed " << seed;
        EXPECT_LT(two_choices_share, own_count_share / 2) << "seed " << seed;
        RecordProperty(
            "seed_" + std::to_string(seed),
            std::to_string(own_count_share) + " " +
                std::to_string(figure_share) + " " +
                std::to_string(two_choices_share));
    }
}

TEST(direct_choice, remembers_a_bounded_number_of_runners)
{
    direct_choice_settings settings;
    settings.max_runners = 3;
    direct_choice choice(settings);
    for (int runner = 0; runner < 10; ++runner)
    {
        choice.on_load(
            start + runner * 1s,
            "r" + std::to_string(runner),
            {1, 0, 8, 100},
            0);
    }
    EXPECT_FALSE(choice.is_measured({{"r0"}}));
    EXPECT_TRUE(choice.is_measured({{"r9"}}));
    EXPECT_FALSE(choice.choose(start, {}, 7));
}

} // namespace chicory::serving
