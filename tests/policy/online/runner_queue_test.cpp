#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace chicory::online
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

queued_run make_run(
    const std::string& id,
    work_class kind = work_class::online,
    const std::string& member = "m")
{
    return {id, kind, member, start + seconds(30), 1, false};
}

template <class Action>
std::vector<Action> select_actions(const queue_actions& actions)
{
    std::vector<Action> selected;
    for (const queue_action& action : actions)
    {
        if (const Action* const match = std::get_if<Action>(&action))
        {
            selected.push_back(*match);
        }
    }
    return selected;
}

/// Runs one request of a given duration, from which the queue learns the
/// service time.
void complete_run(runner_queue& queue, duration run_time)
{
    queue.arrive(make_run("teach"), start - run_time);
    queue.first_byte("teach", start - run_time / 2);
    queue.finished("teach", run_result::completed, start);
}

} // namespace

TEST(
    runner_queue,
    online_is_sent_immediately_and_preempts_the_youngest_batch_run)
{
    runner_queue queue(2, 80);
    queue.arrive(make_run("b1", work_class::batch), start);
    queue.arrive(make_run("b2", work_class::batch), start + milliseconds(1));
    EXPECT_EQ(queue.in_progress(), 2);
    const queue_actions actions =
        queue.arrive(make_run("o1"), start + milliseconds(2));
    ASSERT_EQ(select_actions<send_run>(actions).size(), 1U);
    ASSERT_EQ(select_actions<cancel_run>(actions).size(), 1U);
    EXPECT_EQ(select_actions<cancel_run>(actions).front().id, "b2");
    const queue_actions more =
        queue.arrive(make_run("b3", work_class::batch), start + seconds(1));
    EXPECT_EQ(select_actions<refuse_run>(more).size(), 1U);
}

TEST(runner_queue, online_waits_for_online_only_and_in_fair_order)
{
    runner_queue queue(1, 80);
    complete_run(queue, milliseconds(100));
    queue.arrive(make_run("a1", work_class::online, "a"), start);
    queue.arrive(make_run("a2", work_class::online, "a"), start);
    queue.arrive(make_run("a3", work_class::online, "a"), start);
    queue.arrive(make_run("b1", work_class::online, "b"), start);
    EXPECT_EQ(queue.summary(start).online_queued, 3);
    const queue_actions next =
        queue.finished("a1", run_result::completed, start + milliseconds(100));
    ASSERT_EQ(select_actions<send_run>(next).size(), 1U);
    EXPECT_EQ(select_actions<send_run>(next).front().id, "b1");
}

TEST(runner_queue, a_wait_beyond_the_deadline_is_refused_with_retry_after)
{
    runner_queue queue(1, 80);
    complete_run(queue, seconds(2));
    queue.arrive(make_run("o1"), start);
    queued_run urgent = make_run("o2");
    urgent.deadline = start + seconds(3);
    const queue_actions refused = queue.arrive(urgent, start);
    ASSERT_EQ(select_actions<refuse_run>(refused).size(), 1U);
    EXPECT_EQ(
        select_actions<refuse_run>(refused)[0].why, reason::deadline_too_short);
    EXPECT_EQ(select_actions<refuse_run>(refused)[0].retry_after, seconds(2));
    // The queue is limited by the expected wait, even for runs with a late
    // deadline.
    queue.arrive(make_run("o3"), start);
    queue.arrive(make_run("o4"), start);
    const queue_actions full = queue.arrive(make_run("o5"), start);
    ASSERT_EQ(select_actions<refuse_run>(full).size(), 1U);
    EXPECT_EQ(select_actions<refuse_run>(full)[0].why, reason::queue_time);
}

TEST(
    runner_queue,
    at_the_deadline_waiting_runs_are_refused_and_sent_runs_cancelled)
{
    runner_queue queue(1, 80);
    queue.arrive(make_run("o1"), start);
    queue.arrive(make_run("o2"), start);
    const queue_actions late = queue.tick(start + seconds(30));
    ASSERT_EQ(select_actions<refuse_run>(late).size(), 1U);
    EXPECT_EQ(select_actions<refuse_run>(late)[0].id, "o2");
    ASSERT_EQ(select_actions<cancel_run>(late).size(), 1U);
    EXPECT_EQ(select_actions<cancel_run>(late)[0].id, "o1");
    EXPECT_TRUE(queue.tick(start + seconds(31)).empty());
}

TEST(runner_queue, a_burst_reserves_slots_for_the_next_one)
{
    runner_queue queue(8, 100);
    EXPECT_EQ(queue.summary(start).idle_batch_slots, 8);
    for (int i = 0; i < 3; ++i)
    {
        const std::string id = "o" + std::to_string(i);
        queue.arrive(make_run(id), start);
        queue.finished(id, run_result::failed, start + milliseconds(1));
    }
    EXPECT_EQ(queue.summary(start + seconds(1)).idle_batch_slots, 5);
    EXPECT_EQ(queue.summary(start + seconds(40)).idle_batch_slots, 8);
}

TEST(runner_queue, a_batch_run_that_must_not_be_repeated_is_never_cancelled)
{
    runner_queue queue(2, 0);
    queued_run not_repeatable_run = make_run("b1");
    not_repeatable_run.kind = work_class::batch;
    not_repeatable_run.not_repeatable = true;
    queued_run second = not_repeatable_run;
    second.id = "b2";
    second.not_repeatable = false;
    EXPECT_EQ(
        select_actions<send_run>(queue.arrive(not_repeatable_run, start))
            .size(),
        1U);
    EXPECT_EQ(select_actions<send_run>(queue.arrive(second, start)).size(), 1U);
    queue_actions all;
    for (const std::string id : {"o1", "o2", "o3"})
    {
        for (queue_action& action : queue.arrive(make_run(id), start))
        {
            all.push_back(std::move(action));
        }
    }
    ASSERT_EQ(select_actions<cancel_run>(all).size(), 1U);
    EXPECT_EQ(select_actions<cancel_run>(all)[0].id, "b2");
    // A burst of three leaves none of the two slots for another run that must
    // not be repeated.
    queue.finished("b1", run_result::completed, start);
    queue.finished("b2", run_result::cancelled, start);
    for (const std::string id : {"o1", "o2", "o3"})
    {
        queue.finished(id, run_result::completed, start);
    }
    not_repeatable_run.id = "b3";
    EXPECT_EQ(
        select_actions<refuse_run>(
            queue.arrive(not_repeatable_run, start + seconds(9)))
            .size(),
        1U);
}

TEST(runner_queue, a_pause_of_many_cancel_times_may_be_filled)
{
    batch_slot_limit batch_limit(4, 80);
    for (int i = 0; i < 16; ++i)
    {
        batch_limit.record_online_first_byte(milliseconds(20), 0, start);
    }
    // No batch run has been cancelled yet, so the initial cancel time applies.
    for (int i = 0; i < 4; ++i)
    {
        batch_limit.record_online_arrival(start + milliseconds(i));
    }
    // Four fifths of the burst's cost beyond the tolerance.
    EXPECT_EQ(batch_limit.reserve(0, start + milliseconds(10)), 3);
    EXPECT_EQ(batch_limit.reserve(0, start + seconds(1)), 0);
}

TEST(runner_queue, a_burst_within_the_tolerance_reserves_no_slots)
{
    batch_slot_limit full_weight(8, 100);
    batch_slot_limit partial_weight(8, 80);
    for (batch_slot_limit* const batch_limit : {&full_weight, &partial_weight})
    {
        for (int i = 0; i < 16; ++i)
        {
            batch_limit->record_online_first_byte(milliseconds(200), 0, start);
        }
        // Cancellations take 5 ms, after the higher initial cancel time has
        // decayed.
        for (int i = 0; i < 64; ++i)
        {
            batch_limit->record_cancel_duration(milliseconds(5));
        }
        for (int i = 0; i < 6; ++i)
        {
            batch_limit->record_online_arrival(start + seconds(1));
        }
    }
    // The tolerance of 5 % of 200 ms is compared with 5 ms times the excess
    // over 8 slots.
    EXPECT_EQ(partial_weight.reserve(0, start + seconds(1)), 0);
    EXPECT_EQ(full_weight.reserve(0, start + seconds(1)), 6);
    EXPECT_EQ(full_weight.reserve(0, start + seconds(20)), 6);
}

TEST(runner_queue, a_busy_runner_keeps_the_slots_that_online_runs_used)
{
    runner_queue queue(4, 80);
    complete_run(queue, milliseconds(100));
    // The arrivals are too far apart for a burst within one cancel time.
    queue.arrive(make_run("o1"), start);
    queue.arrive(make_run("o2"), start + milliseconds(60));
    queue.arrive(make_run("o3"), start + milliseconds(120));
    queue.finished("o1", run_result::completed, start + milliseconds(130));
    EXPECT_EQ(queue.summary(start + milliseconds(135)).idle_batch_slots, 1);
    queue.finished("o2", run_result::completed, start + milliseconds(140));
    queue.finished("o3", run_result::completed, start + milliseconds(145));
    EXPECT_EQ(queue.summary(start + milliseconds(150)).idle_batch_slots, 1);
    // An online run takes 100 ms; four fifths of half of that have passed.
    EXPECT_EQ(queue.summary(start + milliseconds(250)).idle_batch_slots, 4);
}

TEST(runner_queue, a_busy_runner_clears_a_slot_before_it_is_needed)
{
    runner_queue high_weight(4, 80);
    runner_queue low_weight(4, 20);
    for (runner_queue* const queue : {&high_weight, &low_weight})
    {
        complete_run(*queue, milliseconds(100));
        queue->arrive(make_run("b", work_class::batch), start);
        queue->arrive(make_run("o1"), start);
        queue->arrive(make_run("o2"), start + milliseconds(60));
    }
    const time_point third = start + milliseconds(120);
    const queue_actions cleared = high_weight.arrive(make_run("o3"), third);
    EXPECT_EQ(select_actions<cancel_run>(cleared).size(), 1U);
    EXPECT_EQ(high_weight.summary(third).idle_batch_slots, 0);
    const queue_actions not_cleared = low_weight.arrive(make_run("o3"), third);
    EXPECT_TRUE(select_actions<cancel_run>(not_cleared).empty());
}

TEST(runner_queue, delay_by_cancellations_does_not_reduce_the_batch_share)
{
    runner_queue queue(2, 80);
    time_point now = start;
    for (int round = 0; round < 200; ++round)
    {
        const std::string online = "o" + std::to_string(round);
        const bool with_batch = round >= 100;
        if (with_batch)
        {
            const std::string batch = "b" + std::to_string(round);
            queue.arrive(make_run(batch + "x", work_class::batch), now);
            queue.arrive(make_run(batch + "y", work_class::batch), now);
        }
        queued_run run = make_run(online);
        run.deadline = now + seconds(30);
        const queue_actions actions = queue.arrive(run, now);
        const duration latency = milliseconds(with_batch ? 30 : 20);
        queue.first_byte(online, now + latency);
        for (const cancel_run& order : select_actions<cancel_run>(actions))
        {
            queue.finished(
                order.id, run_result::cancelled, now + milliseconds(5));
        }
        queue.finished(online, run_result::completed, now + milliseconds(100));
        now += milliseconds(200);
    }
    // Each online run was started on a full runner, so none of the samples
    // describes runs within the slots.
    const runner_summary summary = queue.summary(now);
    EXPECT_EQ(summary.batch_in_progress + summary.idle_batch_slots, 2);
}

TEST(runner_queue, batch_share_shrinks_when_online_is_slower_beside_it)
{
    batch_slot_limit batch_limit(8, 80);
    for (int i = 0; i < 40; ++i)
    {
        batch_limit.record_online_first_byte(
            milliseconds(100 + i % 2), 0, start);
    }
    for (int i = 0; i < 16; ++i)
    {
        batch_limit.record_online_first_byte(
            milliseconds(103 + i % 2), 4, start);
    }
    EXPECT_EQ(batch_limit.limit(start), 8);
    for (int i = 0; i < 32; ++i)
    {
        batch_limit.record_online_first_byte(
            milliseconds(115 + i % 2), 4, start);
    }
    EXPECT_LT(batch_limit.limit(start), 8);
    EXPECT_EQ(batch_limit.limit(start + seconds(60)), 8);
}

TEST(runner_queue, batch_slots_are_shared_among_requesting_members)
{
    runner_queue queue(4, 0);
    for (int i = 0; i < 4; ++i)
    {
        const std::string id = "a" + std::to_string(i);
        queue.arrive(make_run(id, work_class::batch, "a"), start);
    }
    const queued_run other = make_run("b1", work_class::batch, "b");
    EXPECT_EQ(
        select_actions<refuse_run>(queue.arrive(other, start)).size(), 1U);
    queue.finished("a0", run_result::completed, start);
    const queued_run repeated = make_run("a4", work_class::batch, "a");
    EXPECT_EQ(
        select_actions<refuse_run>(queue.arrive(repeated, start)).size(), 1U);
    EXPECT_EQ(select_actions<send_run>(queue.arrive(other, start)).size(), 1U);
}

TEST(runner_queue, runs_of_a_previous_owner_count_until_reports_show_their_end)
{
    runner_queue queue(4, 80);
    queue.inherit(4);
    EXPECT_TRUE(queue.arrive(make_run("o1"), start).empty());
    const queue_actions freed =
        queue.load_reported(3, seconds(1), start + seconds(1));
    EXPECT_EQ(select_actions<send_run>(freed).size(), 1U);
    // The own run must not be subtracted from a report that does not yet
    // include it.
    EXPECT_TRUE(queue.load_reported(3, seconds(2), start + seconds(1)).empty());
    queue.load_reported(1, seconds(1), start + seconds(3));
    EXPECT_EQ(
        select_actions<send_run>(queue.arrive(make_run("o2"), start)).size(),
        1U);
}

TEST(runner_queue, own_short_runs_are_not_counted_as_runs_of_a_previous_owner)
{
    runner_queue queue(4, 80);
    queue.inherit(2);
    time_point now = start;
    const auto replace_run = [&](int i)
    {
        const std::string sequence = i % 2 == 0 ? "a" : "b";
        const int before = i - 2;
        queue.finished(
            sequence + std::to_string(before), run_result::completed, now);
        queued_run run = make_run(sequence + std::to_string(i));
        run.deadline = now + seconds(30);
        return queue.arrive(run, now);
    };
    // Two sequences of runs that end well within the lag of the reports.
    for (int i = 0; i < 100; ++i)
    {
        now += milliseconds(100);
        replace_run(i);
        queue.load_reported(queue.in_progress(), seconds(2), now);
    }
    EXPECT_EQ(
        select_actions<send_run>(queue.arrive(make_run("o1"), now)).size(), 1U);
    EXPECT_EQ(
        select_actions<send_run>(queue.arrive(make_run("o2"), now)).size(), 1U);
    EXPECT_EQ(queue.in_progress(), 4);
}

TEST(runner_queue, overloaded_runner_gets_fewer_concurrent_requests)
{
    concurrency_limit limit(8);
    for (int i = 0; i < 16; ++i)
    {
        limit.record_first_byte(milliseconds(100), 8);
    }
    EXPECT_EQ(limit.value(), 8);
    for (int i = 0; i < 64; ++i)
    {
        limit.record_first_byte(milliseconds(300), 8);
    }
    EXPECT_LT(limit.value(), 8);
    for (int i = 0; i < 64; ++i)
    {
        limit.record_first_byte(milliseconds(100), 8);
    }
    EXPECT_EQ(limit.value(), 8);
}

RC_GTEST_PROP(runner_queue, every_run_has_one_outcome_and_no_count_leaks, ())
{
    constexpr std::int64_t slots = 3;
    runner_queue queue(slots, *rc::gen::inRange(0, 101));
    time_point now = start;
    std::map<std::string, queued_run> arrived;
    std::set<std::string> refused;
    std::set<std::string> sent;
    std::set<std::string> cancelled;
    std::set<std::string> ended;
    bool closed = false;
    int next = 0;
    const auto apply = [&](const queue_actions& actions)
    {
        for (const send_run& send : select_actions<send_run>(actions))
        {
            RC_ASSERT(sent.insert(send.id).second);
            RC_ASSERT(!refused.contains(send.id));
            RC_ASSERT(!closed);
        }
        for (const refuse_run& refusal : select_actions<refuse_run>(actions))
        {
            RC_ASSERT(refused.insert(refusal.id).second);
            RC_ASSERT(!sent.contains(refusal.id));
        }
        for (const cancel_run& order : select_actions<cancel_run>(actions))
        {
            RC_ASSERT(sent.contains(order.id) && !ended.contains(order.id));
            RC_ASSERT(cancelled.insert(order.id).second);
        }
        for (const lost_run& lost : select_actions<lost_run>(actions))
        {
            RC_ASSERT(sent.contains(lost.id));
            RC_ASSERT(ended.insert(lost.id).second);
        }
    };
    const auto running = [&]()
    {
        std::vector<std::string> ids;
        for (const std::string& id : sent)
        {
            if (!ended.contains(id))
            {
                ids.push_back(id);
            }
        }
        return ids;
    };
    const int steps = *rc::gen::inRange(0, 120);
    for (int step = 0; step < steps; ++step)
    {
        now += milliseconds(*rc::gen::inRange(0, 400));
        const int event = *rc::gen::inRange(0, 12);
        if (event <= 4)
        {
            queued_run run = make_run("r" + std::to_string(next++));
            run.kind = event == 4 ? work_class::batch : work_class::online;
            run.member = *rc::gen::element<std::string>("a", "b");
            run.suspect = *rc::gen::inRange(0, 5) == 0;
            run.deadline = now + milliseconds(*rc::gen::inRange(100, 4000));
            arrived[run.id] = run;
            apply(queue.arrive(run, now));
            // A duplicate message has no effect.
            RC_ASSERT(!queue.knows(run.id) || queue.arrive(run, now).empty());
        }
        else if (event <= 8 && !running().empty())
        {
            const std::string id = *rc::gen::elementOf(running());
            queue.first_byte(id, now);
            ended.insert(id);
            const run_result end = cancelled.contains(id)
                                       ? run_result::cancelled
                                       : run_result::completed;
            apply(queue.finished(id, end, now));
            RC_ASSERT(queue.finished(id, end, now).empty());
        }
        else if (event == 9 && next > 0)
        {
            const int which = *rc::gen::inRange(0, next);
            const std::string id = "r" + std::to_string(which);
            const bool waits = queue.knows(id) && !sent.contains(id);
            apply(queue.cancel(id, now));
            if (waits)
            {
                refused.insert(id);
            }
        }
        else if (event == 10)
        {
            apply(queue.tick(now));
        }
        else if (event == 11 && *rc::gen::inRange(0, 8) == 0)
        {
            closed = true;
            apply(
                *rc::gen::inRange(0, 2) == 0 ? queue.died() : queue.leaving());
        }
        std::int64_t online = 0;
        std::int64_t suspects = 0;
        std::int64_t remaining = 0;
        for (const std::string& id : running())
        {
            const queued_run& run = arrived.at(id);
            const bool is_online = run.kind == work_class::online;
            online += is_online ? 1 : 0;
            suspects += run.suspect ? 1 : 0;
            remaining += is_online || !cancelled.contains(id) ? 1 : 0;
        }
        const runner_summary summary = queue.summary(now);
        RC_ASSERT(
            queue.in_progress() == static_cast<std::int64_t>(running().size()));
        RC_ASSERT(online <= slots && suspects <= 1);
        RC_ASSERT(remaining <= slots);
        RC_ASSERT(
            summary.online_queued ==
            static_cast<std::int64_t>(
                arrived.size() - sent.size() - refused.size()));
    }
    apply(queue.died());
    RC_ASSERT(queue.in_progress() == 0);
    for (const auto& [id, run] : arrived)
    {
        RC_ASSERT(sent.contains(id) != refused.contains(id));
        RC_ASSERT(!sent.contains(id) || ended.contains(id));
    }
}

} // namespace chicory::online
