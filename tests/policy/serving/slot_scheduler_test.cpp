#include "policy/serving/serving.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

const time_point start = time_point() + 1h;

slot_request make_online(std::uint64_t number, const std::string& node = "a")
{
    slot_request request;
    request.id = {node, 1, number};
    request.kind = work_kind::online;
    request.group.service = "chat";
    request.zone = "z1";
    request.target_time_left = 300ms;
    request.time_left = 5s;
    request.request_digest = 1000 + number;
    return request;
}

slot_request make_item(std::uint64_t number, duration due = 18s)
{
    slot_request request = make_online(number, "b");
    request.kind = work_kind::batch;
    request.target_time_left = due;
    request.time_left = 60s;
    request.expected_work = 5s;
    request.request_digest = 0;
    request.repeatable = true;
    return request;
}

std::vector<slot_decision>
filter_by_kind(const std::vector<slot_decision>& all, slot_decision_kind kind)
{
    std::vector<slot_decision> found;
    std::copy_if(
        all.begin(),
        all.end(),
        std::back_inserter(found),
        [kind](const slot_decision& decision)
        {
            return decision.kind == kind;
        });
    return found;
}

class slot_scheduler_test : public ::testing::Test
{
protected:
    slot_scheduler scheduler;

    void set_runners(int count, std::int64_t slots)
    {
        std::vector<slot_runner> runners;
        for (int index = 0; index < count; ++index)
        {
            runners.push_back(
                {"r" + std::to_string(index),
                 index % 2 == 0 ? "z1" : "z2",
                 slots});
        }
        this->scheduler.set_runners(start, runners);
    }
};

TEST_F(slot_scheduler_test, never_grants_more_slots_than_a_runner_has)
{
    this->set_runners(2, 4);
    std::map<std::string, int> granted;
    for (std::uint64_t number = 1; number <= 20; ++number)
    {
        for (const slot_decision& decision : filter_by_kind(
                 this->scheduler.on_request(start, make_online(number)),
                 slot_decision_kind::granted))
        {
            ++granted[decision.runner];
        }
    }
    EXPECT_EQ(granted["r0"], 4);
    EXPECT_EQ(granted["r1"], 4);
}

TEST_F(slot_scheduler_test, prefers_runners_in_the_zone_of_the_request)
{
    this->set_runners(2, 4);
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        const auto granted = filter_by_kind(
            this->scheduler.on_request(start, make_online(number)),
            slot_decision_kind::granted);
        ASSERT_EQ(granted.size(), 1U);
        EXPECT_EQ(granted.front().runner, "r0");
    }
}

// Load pattern: a burst of online requests while batch items use all slots.
TEST_F(slot_scheduler_test, a_burst_preempts_the_youngest_items)
{
    this->set_runners(1, 4);
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        this->scheduler.on_request(start + number * 100ms, make_item(number));
    }
    ASSERT_EQ(this->scheduler.slots_in_use(work_kind::batch), 4U);
    const auto decisions =
        this->scheduler.on_request(start + 1s, make_online(9));
    const auto granted = filter_by_kind(decisions, slot_decision_kind::granted);
    const auto preempted =
        filter_by_kind(decisions, slot_decision_kind::preempt);
    ASSERT_EQ(granted.size(), 1U);
    ASSERT_EQ(preempted.size(), 1U);
    EXPECT_EQ(preempted.front().id.number, 4U);
    EXPECT_EQ(preempted.front().runner, granted.front().runner);
    EXPECT_EQ(this->scheduler.slots_in_use(work_kind::batch), 3U);
}

// Guards against items that are preempted shortly after they were placed. A
// steady burst of online requests leaves some slots to batch.
TEST_F(
    slot_scheduler_test, a_burst_does_not_place_items_that_are_soon_preempted)
{
    this->set_runners(14, 8);
    std::map<slot_id, time_point> placed;
    std::map<time_point, slot_id> ends;
    std::uint64_t number = 1;
    int runs = 0;
    int short_runs = 0;
    const auto apply =
        [&](const std::vector<slot_decision>& decisions, time_point now)
    {
        for (const slot_decision& decision : decisions)
        {
            const bool online = decision.id.node == "a";
            if (decision.kind == slot_decision_kind::granted && online)
            {
                time_point end = now + 750ms;
                while (ends.contains(end))
                {
                    end += duration(1);
                }
                ends[end] = decision.id;
            }
            else if (decision.kind == slot_decision_kind::granted)
            {
                placed[decision.id] = now;
                ++runs;
            }
            else if (decision.kind == slot_decision_kind::preempt)
            {
                short_runs += now - placed[decision.id] < 100ms ? 1 : 0;
            }
        }
    };
    for (std::uint64_t item = 0; item < 400; ++item)
    {
        apply(
            this->scheduler.on_request(start, make_item(100000 + item)), start);
    }
    // 120 requests per second with jitter, as in the users' bursts.
    std::mt19937_64 generator(7);
    std::uniform_int_distribution<std::int64_t> gap(0, 16600);
    // Items have run for one second when the burst begins.
    time_point now = start + 1s;
    const time_point burst_end = now + 6s;
    while (now < burst_end)
    {
        now += duration(gap(generator));
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const auto [end, id] = *ends.begin();
            ends.erase(ends.begin());
            apply(
                this->scheduler.on_release(end, id, slot_outcome::completed),
                end);
        }
        apply(this->scheduler.on_request(now, make_online(number++)), now);
    }
    EXPECT_LE(short_runs, runs / 20) << "of " << runs << " runs";
}

TEST_F(slot_scheduler_test, an_item_is_granted_a_slot_as_soon_as_it_is_idle)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    EXPECT_THAT(
        filter_by_kind(
            this->scheduler.on_request(start, make_item(2)),
            slot_decision_kind::granted),
        ::testing::IsEmpty());
    const auto decisions = this->scheduler.on_release(
        start + 700ms, make_online(1).id, slot_outcome::completed);
    ASSERT_EQ(
        filter_by_kind(decisions, slot_decision_kind::granted).size(), 1U);
    EXPECT_EQ(decisions.front().id, make_item(2).id);
}

// Load pattern: more concurrent online requests than all slots can serve in
// time.
TEST_F(slot_scheduler_test, refuses_late_requests_immediately)
{
    this->set_runners(1, 2);
    std::vector<slot_decision> refused;
    for (std::uint64_t number = 1; number <= 40; ++number)
    {
        const auto decisions =
            this->scheduler.on_request(start, make_online(number));
        const auto found =
            filter_by_kind(decisions, slot_decision_kind::refused);
        refused.insert(refused.end(), found.begin(), found.end());
    }
    ASSERT_FALSE(refused.empty());
    // Two slots with runs of 750 ms each are not free again within 300 ms.
    EXPECT_EQ(refused.size(), 38U);
    EXPECT_EQ(this->scheduler.waiting(work_kind::online), 0U);
}

// Load pattern: a burst in which runs take longer than the mean so far.
TEST_F(slot_scheduler_test, overdue_runs_do_not_shorten_the_estimated_wait)
{
    this->set_runners(1, 2);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_request(start, make_online(2));
    const time_point later = start + 1400ms;
    this->scheduler.on_report(
        later, "a", 1, {}, {make_online(1), make_online(2)});
    int refused = 0;
    for (std::uint64_t number = 3; number <= 8; ++number)
    {
        refused += static_cast<int>(
            filter_by_kind(
                this->scheduler.on_request(later, make_online(number)),
                slot_decision_kind::refused)
                .size());
    }
    EXPECT_EQ(refused, 5);
    EXPECT_EQ(this->scheduler.waiting(work_kind::online), 1U);
}

TEST_F(
    slot_scheduler_test, a_request_that_waited_is_served_late_and_not_refused)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_request(start + 600ms, make_online(2));
    ASSERT_EQ(this->scheduler.waiting(work_kind::online), 1U);
    EXPECT_THAT(
        filter_by_kind(
            this->scheduler.on_tick(start + 1s), slot_decision_kind::refused),
        ::testing::IsEmpty());
    const auto decisions = this->scheduler.on_release(
        start + 1100ms, make_online(1).id, slot_outcome::completed);
    EXPECT_EQ(
        filter_by_kind(decisions, slot_decision_kind::granted).size(), 1U);
}

TEST_F(slot_scheduler_test, spreads_the_retry_times_of_refused_requests)
{
    this->set_runners(1, 2);
    std::vector<duration> retry_delays;
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        for (const slot_decision& decision : filter_by_kind(
                 this->scheduler.on_request(start, make_online(number)),
                 slot_decision_kind::refused))
        {
            retry_delays.push_back(decision.retry_after);
        }
    }
    ASSERT_EQ(retry_delays.size(), 3U);
    // Two slots with runs of 750 ms: one becomes free every 375 ms.
    EXPECT_GE(retry_delays[1] - retry_delays[0], 300ms);
    EXPECT_GE(retry_delays[2] - retry_delays[1], 100ms);
    for (const duration retry_after : retry_delays)
    {
        EXPECT_LE(retry_after, duration(5s) / 3);
    }
}

TEST_F(
    slot_scheduler_test, a_retried_request_goes_first_and_is_not_refused_again)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    ASSERT_EQ(
        filter_by_kind(
            this->scheduler.on_request(start, make_online(2)),
            slot_decision_kind::refused)
            .size(),
        1U);
    slot_request retried = make_online(3);
    retried.request_digest = make_online(2).request_digest;
    EXPECT_THAT(
        filter_by_kind(
            this->scheduler.on_request(start + 200ms, retried),
            slot_decision_kind::refused),
        ::testing::IsEmpty());
    // A request that arrives between the refusal and the retry does not
    // overtake it.
    this->scheduler.on_request(start + 600ms, make_online(4));
    const auto decisions = this->scheduler.on_release(
        start + 750ms, make_online(1).id, slot_outcome::completed);
    const auto granted = filter_by_kind(decisions, slot_decision_kind::granted);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().id, retried.id);
}

// Load pattern: more items than can be completed in time.
TEST_F(slot_scheduler_test, items_that_can_be_in_time_precede_late_ones)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_request(start, make_item(2, 4s));
    this->scheduler.on_request(start, make_item(3, 12s));
    this->scheduler.on_request(start, make_item(4, 9s));
    const auto decisions = this->scheduler.on_release(
        start + 700ms, make_online(1).id, slot_outcome::completed);
    const auto granted = filter_by_kind(decisions, slot_decision_kind::granted);
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted.front().id.number, 4U);
}

TEST_F(slot_scheduler_test, a_dropped_release_is_corrected_by_the_next_report)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_report(start + 100ms, "a", 1, {}, {});
    EXPECT_EQ(this->scheduler.slots_in_use(work_kind::online), 1U);
    this->scheduler.on_report(start + 400ms, "a", 1, {}, {});
    EXPECT_EQ(this->scheduler.slots_in_use(work_kind::online), 0U);
}

TEST_F(slot_scheduler_test, a_new_coordinator_learns_slots_in_use_from_reports)
{
    this->set_runners(1, 1);
    held_slot held;
    held.id = make_online(7).id;
    held.group.service = "chat";
    held.runner = "r0";
    held.age = 500ms;
    this->scheduler.on_report(start, "a", 1, {held}, {});
    EXPECT_THAT(
        filter_by_kind(
            this->scheduler.on_request(start, make_item(8)),
            slot_decision_kind::granted),
        ::testing::IsEmpty());
}

TEST_F(slot_scheduler_test, slots_of_an_unresponsive_or_restarted_node_are_free)
{
    this->set_runners(1, 1);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_tick(start + 2s);
    EXPECT_EQ(this->scheduler.slots_in_use(work_kind::online), 0U);
    this->scheduler.on_request(start + 3s, make_online(2));
    slot_request restarted = make_online(1);
    restarted.id.incarnation = 2;
    const auto decisions = this->scheduler.on_request(start + 3s, restarted);
    EXPECT_EQ(
        filter_by_kind(decisions, slot_decision_kind::granted).size(), 1U);
}

TEST_F(slot_scheduler_test, a_broken_runner_is_tried_with_repeatable_work)
{
    this->set_runners(1, 4);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_release(
        start + 10ms, make_online(1).id, slot_outcome::broken);
    const time_point later = start + 1s;
    EXPECT_THAT(
        filter_by_kind(
            this->scheduler.on_request(later, make_online(2)),
            slot_decision_kind::granted),
        ::testing::IsEmpty());
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_request(later, make_item(3)),
            slot_decision_kind::granted)
            .size(),
        1U);
    this->scheduler.on_release(
        later + 100ms, make_item(3).id, slot_outcome::completed);
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_request(later + 200ms, make_online(4)),
            slot_decision_kind::granted)
            .size(),
        1U);
}

TEST_F(slot_scheduler_test, a_broken_runner_is_tried_with_any_work_later)
{
    this->set_runners(1, 4);
    this->scheduler.on_request(start, make_online(1));
    this->scheduler.on_release(
        start + 10ms, make_online(1).id, slot_outcome::broken);
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_request(start + 2500ms, make_online(2)),
            slot_decision_kind::granted)
            .size(),
        1U);
}

class silent_runner_test : public slot_scheduler_test
{
protected:
    /// Reports one slot in use at the only runner.
    void report(
        time_point now,
        const std::string& node,
        std::uint64_t number,
        duration silence)
    {
        held_slot held;
        held.id = {node, 1, number};
        held.group.service = "chat";
        held.runner = "r0";
        held.age = 2s;
        held.silence = silence;
        this->scheduler.on_report(now, node, 1, {held}, {});
    }

    bool is_granted_slot(time_point now, std::uint64_t number)
    {
        return !filter_by_kind(
                    this->scheduler.on_request(now, make_online(number, "z")),
                    slot_decision_kind::granted)
                    .empty();
    }
};

TEST_F(silent_runner_test, gets_no_work)
{
    this->set_runners(1, 8);
    this->report(start, "a", 1, 500ms);
    EXPECT_FALSE(this->is_granted_slot(start + 10ms, 5));
}

TEST_F(silent_runner_test, gets_work_while_another_node_receives_bytes)
{
    this->set_runners(1, 8);
    this->report(start, "b", 2, 20ms);
    this->report(start + 100ms, "a", 1, 500ms);
    EXPECT_TRUE(this->is_granted_slot(start + 110ms, 5));
}

TEST_F(silent_runner_test, gets_work_again_after_a_completed_run)
{
    this->set_runners(1, 8);
    this->report(start, "a", 1, 500ms);
    this->scheduler.on_release(
        start + 100ms, {"a", 1, 1}, slot_outcome::completed);
    EXPECT_TRUE(this->is_granted_slot(start + 110ms, 5));
}

class crashing_request_test : public slot_scheduler_test
{
protected:
    /// Sends a copy of the same request through its own node.
    std::vector<slot_decision> send(time_point now, std::uint64_t copy)
    {
        slot_request request =
            make_online(copy, "node-" + std::to_string(copy));
        request.request_digest = 77;
        request.target_time_left = 3s;
        return this->scheduler.on_request(now, request);
    }

    static slot_id id_of(std::uint64_t copy)
    {
        return {"node-" + std::to_string(copy), 1, copy};
    }

    std::vector<slot_decision> crash(time_point now, std::uint64_t copy)
    {
        std::vector<slot_decision> all =
            this->scheduler.on_crash(now, {77, id_of(copy)});
        const std::vector<slot_decision> after =
            this->scheduler.on_release(now, id_of(copy), slot_outcome::crashed);
        all.insert(all.end(), after.begin(), after.end());
        return all;
    }
};

TEST_F(crashing_request_test, is_not_run_after_its_second_crash)
{
    this->set_runners(6, 4);
    EXPECT_EQ(
        filter_by_kind(this->send(start, 1), slot_decision_kind::granted)
            .size(),
        1);
    this->crash(start + 10ms, 1);
    EXPECT_EQ(
        filter_by_kind(this->send(start + 20ms, 2), slot_decision_kind::granted)
            .size(),
        1);
    this->crash(start + 30ms, 2);
    EXPECT_EQ(
        filter_by_kind(
            this->send(start + 40ms, 3), slot_decision_kind::quarantined)
            .size(),
        1);
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_request(start + 50ms, make_online(9)),
            slot_decision_kind::granted)
            .size(),
        1);
}

TEST_F(crashing_request_test, copies_run_one_at_a_time_after_a_crash)
{
    this->set_runners(6, 4);
    this->send(start, 1);
    this->crash(start + 10ms, 1);
    EXPECT_EQ(
        filter_by_kind(this->send(start + 20ms, 2), slot_decision_kind::granted)
            .size(),
        1);
    EXPECT_EQ(
        filter_by_kind(this->send(start + 21ms, 3), slot_decision_kind::queued)
            .size(),
        1);
    const std::vector<slot_decision> after = this->crash(start + 30ms, 2);
    ASSERT_EQ(filter_by_kind(after, slot_decision_kind::quarantined).size(), 1);
    EXPECT_EQ(
        filter_by_kind(after, slot_decision_kind::quarantined).front().id,
        id_of(3));
    EXPECT_EQ(this->scheduler.waiting(work_kind::online), 0);
}

TEST_F(crashing_request_test, a_completed_run_clears_it)
{
    this->set_runners(6, 4);
    this->send(start, 1);
    this->crash(start + 10ms, 1);
    this->send(start + 20ms, 2);
    this->scheduler.on_release(
        start + 700ms, id_of(2), slot_outcome::completed);
    this->send(start + 800ms, 3);
    this->crash(start + 810ms, 3);
    EXPECT_EQ(
        filter_by_kind(
            this->send(start + 900ms, 4), slot_decision_kind::granted)
            .size(),
        1);
}

TEST_F(crashing_request_test, a_new_coordinator_does_not_run_it_either)
{
    this->set_runners(6, 4);
    this->scheduler.on_crash(start, {77, id_of(1)});
    this->scheduler.on_crash(start, {77, id_of(2)});
    slot_request waiting = make_online(3, "node-3");
    waiting.request_digest = 77;
    const std::vector<slot_decision> decisions =
        this->scheduler.on_report(start, "node-3", 1, {}, {waiting});
    EXPECT_EQ(
        filter_by_kind(decisions, slot_decision_kind::quarantined).size(), 1);
    EXPECT_EQ(filter_by_kind(decisions, slot_decision_kind::granted).size(), 0);
}

TEST_F(crashing_request_test, a_crash_reported_twice_counts_once)
{
    this->set_runners(6, 4);
    this->send(start, 1);
    this->crash(start + 10ms, 1);
    this->scheduler.on_crash(start + 250ms, {77, id_of(1)});
    EXPECT_EQ(
        filter_by_kind(
            this->send(start + 300ms, 2), slot_decision_kind::granted)
            .size(),
        1);
}

TEST_F(slot_scheduler_test, a_repeated_request_gets_the_same_slot)
{
    this->set_runners(2, 1);
    const auto first = this->scheduler.on_request(start, make_online(1));
    const auto second =
        this->scheduler.on_request(start + 40ms, make_online(1));
    EXPECT_EQ(
        filter_by_kind(first, slot_decision_kind::granted),
        filter_by_kind(second, slot_decision_kind::granted));
    EXPECT_EQ(this->scheduler.slots_in_use(work_kind::online), 1U);
}

// Guards against a request that crashes many runners: copies of it are sent
// through many nodes at the same time, before the first crash is known.
TEST_F(slot_scheduler_test, copies_that_come_at_once_crash_two_runners)
{
    this->set_runners(6, 8);
    std::vector<slot_id> begun;
    for (std::uint64_t number = 0; number < 5; ++number)
    {
        slot_request copy = make_online(number, "n" + std::to_string(number));
        copy.request_digest = 77;
        for (const slot_decision& decision : filter_by_kind(
                 this->scheduler.on_request(start, copy),
                 slot_decision_kind::granted))
        {
            begun.push_back(decision.id);
        }
    }
    ASSERT_EQ(begun.size(), 2U);
    std::size_t quarantined = 0;
    for (const slot_id& id : begun)
    {
        quarantined += filter_by_kind(
                           this->scheduler.on_crash(start + 50ms, {77, id}),
                           slot_decision_kind::quarantined)
                           .size();
        EXPECT_TRUE(filter_by_kind(
                        this->scheduler.on_release(
                            start + 50ms, id, slot_outcome::crashed),
                        slot_decision_kind::granted)
                        .empty());
    }
    EXPECT_EQ(quarantined, 3U);
}

// Load pattern: the same copies of a request that does not crash its runner.
TEST_F(slot_scheduler_test, good_copies_wait_briefly_until_one_completes)
{
    this->set_runners(6, 8);
    std::uint64_t number = 0;
    const auto send_copy = [&](time_point now)
    {
        slot_request copy = make_online(number, "n" + std::to_string(number));
        ++number;
        copy.request_digest = 77;
        return filter_by_kind(
            this->scheduler.on_request(now, copy), slot_decision_kind::granted);
    };
    const std::vector<slot_decision> first = send_copy(start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(send_copy(start).size(), 1U);
    EXPECT_TRUE(send_copy(start).empty());
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_tick(start + 160ms), slot_decision_kind::granted)
            .size(),
        1U);
    this->scheduler.on_release(
        start + 300ms, first.front().id, slot_outcome::completed);
    for (int copy = 0; copy < 10; ++copy)
    {
        EXPECT_EQ(send_copy(start + 310ms).size(), 1U);
    }
}

// Guards against an item that is never placed again, because it avoids the
// runners that crashed under it and the service has no others.
TEST_F(slot_scheduler_test, an_item_that_failed_at_every_runner_is_placed_again)
{
    this->set_runners(2, 4);
    slot_request item = make_item(1);
    item.excluded = {"r0", "r1"};
    EXPECT_EQ(
        filter_by_kind(
            this->scheduler.on_request(start, item),
            slot_decision_kind::granted)
            .size(),
        1U);
}

// An exclusion still holds while there is another runner, even a busy one.
TEST_F(
    slot_scheduler_test, an_item_avoids_a_failed_runner_while_others_are_busy)
{
    this->set_runners(2, 1);
    slot_request other = make_item(1);
    other.excluded = {"r0"};
    this->scheduler.on_request(start, other);
    slot_request item = make_item(2);
    item.excluded = {"r0"};
    this->scheduler.on_request(start, item);
    for (const slot_decision& decision : this->scheduler.on_release(
             start + 10ms, other.id, slot_outcome::completed))
    {
        EXPECT_EQ(decision.runner, "r1");
    }
    EXPECT_EQ(this->scheduler.waiting(work_kind::batch), 0U);
}

} // namespace

} // namespace chicory::serving
