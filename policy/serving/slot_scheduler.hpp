#ifndef CHICORY_POLICY_SERVING_SLOT_SCHEDULER_HPP
#define CHICORY_POLICY_SERVING_SLOT_SCHEDULER_HPP

#include "policy/serving/crash_guard.hpp"
#include "policy/serving/group_overflow.hpp"
#include "policy/serving/item_plan.hpp"
#include "policy/serving/runner_slots.hpp"
#include "policy/serving/slot_messages.hpp"
#include "policy/serving/wait_estimate.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

/// Times by which the scheduler judges.
struct slot_scheduler_settings
{
    runner_slots_settings runners;
    crash_guard_settings crashes;
    group_overflow_settings overflow;
    /// An item that another group sent here asks its own group again after it
    /// waited so long.
    duration redirected_item_wait = std::chrono::milliseconds(1000);
    /// Expected length of an online run before any has ended.
    duration initial_online_run = std::chrono::milliseconds(750);
    /// Time from sending a request to a free slot until its first piece.
    duration first_piece_delay = std::chrono::milliseconds(60);
    /// A node that said nothing for so long has lost its slots.
    duration node_timeout = std::chrono::milliseconds(1500);
    /// A slot that its node does not report is free after this time, in
    /// which the grant may still have been on its way.
    duration report_tolerance = std::chrono::milliseconds(150);
    /// Time that a refused request is remembered.
    duration refusal_lifetime = std::chrono::seconds(10);
    /// A request is refused for being late within this part of the time that
    /// it has to be on time, or not at all.
    std::int64_t decision_divisor = 4;
    /// Share of the time left that callers honour in `Retry-After`.
    double max_retry_after_share = 1.0 / 3.0;
    /// Idle slots are kept free of items for the online requests that are
    /// expected within this time: an item there would only run a moment.
    duration reserve_window = std::chrono::milliseconds(80);
    /// Time over which the rate of online requests is taken.
    duration rate_window = std::chrono::milliseconds(250);
    /// Time between two plans of which items to put off.
    duration plan_interval = std::chrono::milliseconds(100);
    /// Time over which the slots that batch has are averaged, some bursts.
    duration batch_slots_window = std::chrono::seconds(6);
};

/// Gives the slots of one group of runners to online requests and batch
/// items of all nodes, so that a runner never has more than it can work on at
/// once. It answers these load patterns:
///
/// - Bursts of online requests over a fleet that batch fills: the youngest
///   batch run near the caller is told to leave, and the request is sent
///   without waiting for that. Slots for the requests of the next moment are
///   kept free meanwhile.
/// - Bursts beyond all slots: a request waits while it can still be on time;
///   else it is refused at once, to come back when slots are expected to be
///   free; one that was let wait is served late rather than refused. Times to
///   come back are spread at the rate at which slots come free. Those who came
///   back go first and are not refused again.
/// - Copies of a request that crashes the runners that begin it: see
///   `crash_guard`.
/// - More than this group has slots for while other groups have room: what
///   would wait is sent there once; see `group_overflow`.
/// - Runners that fail or go silent: see `runner_slots`.
/// - More batch work than fits: the earliest due first among the items that
///   `choose_put_off` keeps, then the others; these also leave their slots
///   first.
///
/// No promise rests on its counts: when two schedulers give slots of the same
/// runner, requests wait at the runner for a moment.
class slot_scheduler
{
public:
    explicit slot_scheduler(slot_scheduler_settings initial = {});

    /// Sets the runners that may get new work.
    std::vector<slot_decision>
    set_runners(time_point now, const std::vector<slot_runner>& usable);

    /// Takes a request. One that is known already is answered again.
    std::vector<slot_decision>
    on_request(time_point now, const slot_request& request);

    /// Takes that a request or a slot is needed no more.
    std::vector<slot_decision>
    on_release(time_point now, const slot_id& id, slot_outcome outcome);

    /// Takes that a run of the request with this digest ended at a runner
    /// that closed the connection. Hearing of one run twice changes nothing.
    /// Copies that wait get their verdict when none may run any more.
    std::vector<slot_decision> on_crash(time_point now, const crashed_run& run);

    /// Takes what the coordinator of another group of the service tells.
    std::vector<slot_decision>
    on_group_status(time_point now, const group_status& status);

    /// Returns what the coordinators of other groups are to know. The name of
    /// the group is left to the caller.
    group_status make_group_status(time_point now);

    /// Returns whether a node uses this group or waits for it.
    bool is_in_use() const;

    /// Takes all slots that a node uses and all requests of it that wait.
    std::vector<slot_decision> on_report(
        time_point now,
        const std::string& node,
        std::uint64_t incarnation,
        const std::vector<held_slot>& held,
        const std::vector<slot_request>& waiting);

    /// Frees the slots of silent nodes and refuses what cannot be served.
    std::vector<slot_decision> on_tick(time_point now);

    std::size_t slots_in_use(work_kind kind) const;
    std::size_t waiting(work_kind kind) const;
    std::int64_t total_slots() const;

private:
    struct running_slot
    {
        work_kind kind = work_kind::online;
        std::string runner;
        std::uint64_t request_digest = 0;
        time_point since;
        /// Set when the run was told to leave; it counts no longer.
        bool preempted = false;
        /// Batch: when the item is due and when it will be done; the start
        /// of time for a run known only from a report.
        time_point due;
        time_point done_at;
    };
    struct waiting_request
    {
        slot_request request;
        time_point arrived;
        time_point target_deadline;
        time_point deadline;
        bool is_retry = false;
    };
    struct node_state
    {
        std::uint64_t incarnation = 0;
        time_point last_message_at;
    };
    using decisions = std::vector<slot_decision>;

    void on_node_message(
        time_point now, const std::string& node, std::uint64_t incarnation);
    /// Drops runs and requests of a node, those for which `has_ended` holds;
    /// it is told when they began to run or wait.
    void drop_ended_work(
        const std::string& node,
        const std::function<bool(const slot_id&, time_point)>& has_ended);
    void drop_older_processes(const std::string& node, std::uint64_t before);
    void add_running(
        const slot_id& id,
        work_kind kind,
        const std::string& runner,
        time_point since);
    void remove_running(const slot_id& id);
    void add_waiting(time_point now, const slot_request& request);
    /// Answers a request that is known or must not run; lets another one wait
    /// and returns true.
    bool
    admit_request(decisions& out, time_point now, const slot_request& request);
    void record_outcome(
        time_point now, const running_slot& run, slot_outcome outcome);
    std::optional<slot_id> choose_run_to_preempt(
        time_point now, const slot_request& request, bool only_deferred) const;
    /// Tells a batch run to leave and returns its runner; nothing when none
    /// can make room for the request.
    std::optional<std::string> preempt_batch_run(
        decisions& out,
        time_point now,
        const slot_request& request,
        bool only_deferred);
    bool update_item_plan(time_point now);
    std::int64_t reserved_slots(time_point now);
    void grant(
        decisions& out, time_point now, slot_id id, const std::string& runner);
    void quarantine_waiting(decisions& out, std::uint64_t request_digest);
    void dispatch_online(decisions& out, time_point now);
    void dispatch_batch(decisions& out, time_point now, bool may_preempt);
    void dispatch(decisions& out, time_point now);
    /// Sends what waits to groups that have room for it.
    void redirect_waiting(decisions& out, time_point now);
    bool
    redirect(decisions& out, time_point now, const slot_id& id, work_kind kind);
    /// Refuses items of other groups that waited here for long.
    void return_redirected_items(decisions& out, time_point now);
    void refuse_late(decisions& out, time_point now);
    wait_estimate estimate_waits(time_point now) const;
    /// `wait` is that of a request behind all that wait.
    duration choose_retry_after(
        time_point now, const waiting_request& refused, duration wait);
    /// Ids of what waits, first to be served first; they point into `queue`.
    std::vector<const slot_id*> order_online(time_point now);
    std::vector<const slot_id*> order_batch() const;

    slot_scheduler_settings settings;
    runner_slots runners;
    std::map<slot_id, running_slot> running;
    /// Batch runs that were not told to leave.
    std::set<slot_id> batch_runs;
    std::map<slot_id, waiting_request> queue;
    /// Online requests of the queue; some may have left it already.
    std::set<slot_id> online_queue;
    std::map<std::string, node_state> nodes;
    /// Refused requests by digest, and until when they are remembered.
    std::map<std::uint64_t, time_point> refused;
    crash_guard crashes;
    group_overflow overflow;
    double mean_online_us = 0.0;
    /// Items that are put off, as of the last plan.
    std::set<slot_id> deferred;
    time_point planned_at;
    /// When the latest online requests came.
    std::deque<time_point> arrivals;
    /// Mean number of slots that online leaves to batch.
    double batch_slots = 0.0;
    /// When the next refused request is to come back.
    time_point next_retry_at;
};

} // namespace chicory::serving

#endif
