#ifndef CHICORY_POLICY_SERVING_SLOT_SCHEDULER_HPP
#define CHICORY_POLICY_SERVING_SLOT_SCHEDULER_HPP

#include "policy/serving/crash_guard.hpp"
#include "policy/serving/group_overflow.hpp"
#include "policy/serving/item_plan.hpp"
#include "policy/serving/organisation_quota.hpp"
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

/// Time limits and other parameters of the scheduler.
struct slot_scheduler_settings
{
    runner_slots_settings runners;
    crash_guard_settings crashes;
    group_overflow_settings overflow;
    /// Time after which an item that was redirected from another group and
    /// still waits is returned to its own group.
    duration redirected_item_wait = std::chrono::milliseconds(1000);
    /// Expected duration of an online run before the first one has ended.
    duration initial_online_run = std::chrono::milliseconds(750);
    /// Time from sending a request to a free slot until its first piece
    /// arrives.
    duration first_piece_delay = std::chrono::milliseconds(60);
    /// Time without a message after which a node loses its slots.
    duration node_timeout = std::chrono::milliseconds(1500);
    /// Time after which a granted slot that its node does not report is free. A
    /// report that is sent earlier may have crossed with the grant.
    duration report_tolerance = std::chrono::milliseconds(150);
    /// Time after which a request that waits for memory of a runner is not
    /// overtaken by smaller ones any more.
    duration max_overtaking = std::chrono::milliseconds(100);
    /// Time for which a refused request is remembered.
    duration refusal_lifetime = std::chrono::seconds(10);
    /// A request may be refused as late only during this fraction, one over the
    /// divisor, of the time from its arrival to its target deadline.
    std::int64_t decision_divisor = 4;
    /// Maximum value of `Retry-After` as a share of the caller's remaining
    /// time. Callers honour values up to this share.
    double max_retry_after_share = 1.0 / 3.0;
    /// Idle slots are reserved for the online requests that are expected within
    /// this time, because an item placed there would be preempted shortly
    /// after.
    duration reserve_window = std::chrono::milliseconds(80);
    /// Time over which the rate of online requests is measured.
    duration rate_window = std::chrono::milliseconds(250);
    /// Interval between two updates of the set of deferred items.
    duration plan_interval = std::chrono::milliseconds(100);
    /// Time over which the number of slots available to batch is averaged. It
    /// spans several bursts of online requests.
    duration batch_slots_window = std::chrono::seconds(6);
};

/// Assigns the slots of one group of runners to the online requests and batch
/// items of all nodes, so that a runner never has more work than it can process
/// concurrently. Designed for these load patterns:
///
/// - Bursts of online requests while batch items occupy the fleet: the batch
///   run with the latest due time is preempted, preferably in the caller's zone
///   and among deferred items, and the request is sent without waiting for the
///   preempted run to end. Slots for the requests expected next are reserved.
/// - Bursts beyond all slots: a request waits while it can still meet its
///   target latency. Otherwise it is refused immediately with the time at which
///   slots are expected to be free. A request that was allowed to wait is
///   served late rather than refused. Retry times are spread at the rate at
///   which slots become free. Requests that are retried after a refusal go
///   first and are not refused again.
/// - Requests that crash every runner they run on, copies of one request or
///   requests with a part of their prompts in common: see `crash_guard`.
/// - More work than this group has slots for while peer groups have free
///   capacity: work that would have to wait is redirected once; see
///   `group_overflow`.
/// - An organisation that sends many times its usual load: requests beyond its
///   quota are refused at once, and when requests have to wait, organisations
///   take turns; see `organisation_quota` and `order_by_organisation`.
/// - Runners that fail or become silent: see `runner_slots`.
/// - Runners of different and changing speed: see `runner_speed` and
///   `placement_cost`. Durations of runs are learned relative to the speed of
///   their runners.
/// - Requests that are larger than the free memory of a runner wait; smaller
///   ones overtake them for a short time only.
/// - More batch work than can be completed in time: items that
///   `choose_deferred` does not defer go first, by due time, then the deferred
///   ones. Deferred items are also preempted first.
///
/// The slot counts are not authoritative: if two schedulers assign slots of the
/// same runner, requests wait briefly at the runner.
class slot_scheduler
{
public:
    explicit slot_scheduler(slot_scheduler_settings initial = {});

    /// Sets the quotas of organisations, which must outlive the scheduler. Null
    /// if the configuration has no organisations.
    void set_quota(organisation_quota* quotas);

    /// Sets the runners that may get new work. Every function here that returns
    /// decisions may return decisions for any node.
    std::vector<slot_decision>
    set_runners(time_point now, const std::vector<slot_runner>& usable);

    /// Handles a request for a slot. For a known request the decision is
    /// repeated.
    std::vector<slot_decision>
    on_request(time_point now, const slot_request& request);

    /// Records that a request or a slot is not needed any more, and the outcome
    /// of its use. `traits` are those of the request if the node sent them; the
    /// slot may have been granted by another coordinator.
    std::vector<slot_decision> on_release(
        time_point now,
        const slot_id& id,
        slot_outcome outcome,
        const load_sample& load = {},
        const request_traits& traits = {});

    /// Records that a runner closed the connection before the first event of a
    /// run. Repeated reports of the same run have no effect. Requests that wait
    /// and are quarantined now are decided.
    std::vector<slot_decision> on_crash(time_point now, const crashed_run& run);

    /// Records that a run returned its first event. `traits` are the traits of
    /// the run if the node sent them; the slot may have been granted by another
    /// coordinator.
    std::vector<slot_decision> on_first_event(
        time_point now, const slot_id& id, const request_traits& traits = {});

    /// Records that a runner announced that it is leaving, which withdraws its
    /// crashes.
    void on_runner_leaving(const std::string& runner);

    /// Returns the runners whose crashes are remembered.
    std::set<std::string> crashed_runners() const;

    /// Applies a quarantine that another coordinator decided, or ends one.
    std::vector<slot_decision>
    on_quarantine_change(time_point now, const quarantine_change& change);

    /// Returns the quarantines that this scheduler began, extended or ended
    /// since the last call.
    std::vector<quarantine_change> take_quarantine_changes(time_point now);

    /// Records the status of another group of the service.
    std::vector<slot_decision>
    on_group_status(time_point now, const group_status& status);

    /// Returns the status of this group for the coordinators of the other
    /// groups. The caller sets the name of the group.
    group_status make_group_status(time_point now);

    /// Returns whether any node sent messages to this group recently.
    bool is_in_use() const;

    /// Updates the state of a node from a report of all slots that it uses and
    /// all its requests that wait.
    std::vector<slot_decision> on_report(
        time_point now,
        const std::string& node,
        std::uint64_t incarnation,
        const std::vector<held_slot>& held,
        const std::vector<slot_request>& waiting);

    /// Frees the slots of unresponsive nodes and refuses requests that cannot
    /// be served.
    std::vector<slot_decision> on_tick(time_point now);

    /// Returns the number of slots used by runs that are not preempted.
    std::size_t slots_in_use(work_kind kind) const;
    /// Returns the number of requests or items that wait.
    std::size_t waiting(work_kind kind) const;
    /// Returns the number of all slots of usable runners.
    std::int64_t total_slots() const;
    /// Returns the speeds and load of the usable runners.
    runner_speeds speeds(time_point now) const;

private:
    struct running_slot
    {
        work_kind kind = work_kind::online;
        std::string runner;
        request_traits traits;
        std::string organisation;
        /// Time at which the run was charged to its organisation, if it was.
        std::optional<time_point> charged_at;
        bool report_first_event = false;
        time_point since;
        /// True for a run that was preempted and is not counted any more.
        bool preempted = false;
        std::int64_t tokens = 0;
        /// True after the load that the runner stated in the response was
        /// recorded. Reports repeat it.
        bool has_load = false;
        /// Batch: due time and expected end of the item. The due time is the
        /// epoch if the run is known only from a report.
        time_point due;
        time_point done_at;
    };
    struct waiting_request
    {
        slot_request request;
        request_traits traits;
        time_point arrived;
        time_point target_deadline;
        time_point deadline;
        bool is_retry = false;
        /// Time of the first refusal of a request that is sent again.
        time_point refused_at;
        /// Time at which the request was charged to its organisation, if it
        /// was.
        std::optional<time_point> charged_at;
        /// True while it is not decided whether the request is within the
        /// quota. It gets no slot meanwhile.
        bool awaits_quota = false;
    };
    /// Requests of an organisation, with less weight for those long ago.
    struct service_ratio
    {
        double asked = 0.0;
        double served = 0.0;
    };
    struct refused_request
    {
        time_point refused_at;
        /// Time until which the refusal is remembered.
        time_point until;
    };
    struct node_state
    {
        std::uint64_t incarnation = 0;
        time_point last_message_at;
    };
    using decisions = std::vector<slot_decision>;

    /// Records that a message from a process of a node arrived, and drops the
    /// work of earlier processes of the node.
    void on_node_message(
        time_point now, const std::string& node, std::uint64_t incarnation);
    /// Drops the runs and waiting requests of a node for which `has_ended`
    /// returns true. Its second argument is the time at which the run or the
    /// wait began.
    void drop_ended_work(
        time_point now,
        const std::string& node,
        const std::function<bool(const slot_id&, time_point)>& has_ended);
    /// Drops the work of processes of a node that started before an
    /// incarnation.
    void drop_older_processes(
        time_point now, const std::string& node, std::uint64_t before);
    /// Removes a request from the queue that does not run here, and takes back
    /// its charge.
    std::map<slot_id, waiting_request>::iterator remove_unserved(
        time_point now, std::map<slot_id, waiting_request>::iterator entry);
    /// Charges a request to its organisation. Returns false and refuses the
    /// request if it is beyond the quota.
    bool charge(decisions& out, time_point now, waiting_request& waiting);
    /// Reduces the weight of earlier requests in `organisation_service`.
    void fade_service(time_point now);
    /// Returns the organisations that are served less than half as often as
    /// all, measured in requests served of requests made.
    std::set<std::string_view> find_underserved() const;
    /// Charges the requests for which this was not decided yet.
    void charge_undecided(decisions& out, time_point now);
    /// Sorts online requests within their ranks by organisation: by priority,
    /// and then so that the organisation with the fewest slots in use and
    /// earlier requests goes first. A retried request of an organisation that
    /// has its share of the slots does not precede the requests of others.
    std::vector<const slot_id*> order_by_organisation(
        time_point now, std::vector<const slot_id*> ids) const;
    /// Returns the rank of a request in the order of service.
    int rank_of(time_point now, const waiting_request& waiting) const;
    void add_running(
        const slot_id& id,
        work_kind kind,
        const std::string& runner,
        time_point since,
        std::int64_t tokens);
    /// Records the load that a runner stated in the response of a run.
    void
    record_load(time_point now, running_slot& run, const load_sample& load);
    void remove_running(const slot_id& id);
    void add_waiting(time_point now, const slot_request& request);
    /// Decides a request that is already running or that must not run.
    /// Otherwise adds the request to the queue, unless it waits there already.
    /// Returns whether it was added.
    bool
    admit_request(decisions& out, time_point now, const slot_request& request);
    /// Updates runners, crash guard and the mean duration of runs from an
    /// outcome.
    void record_outcome(
        time_point now, const running_slot& run, slot_outcome outcome);
    /// Returns the batch run to preempt for a request, or nothing.
    std::optional<slot_id> choose_run_to_preempt(
        time_point now, const slot_request& request, bool only_deferred) const;
    /// Returns the tokens of the batch runs at each runner.
    std::map<std::string, std::int64_t> batch_tokens() const;
    /// Preempts a batch run and returns its runner. Preempts several if a
    /// runner needs their memory for the request. Returns nothing if no run can
    /// be preempted for the request, or if the memory is free only when the
    /// preempted runs have ended.
    std::optional<std::string> preempt_batch_run(
        decisions& out,
        time_point now,
        const slot_request& request,
        bool only_deferred);
    /// Updates the set of deferred items if the plan interval has passed.
    /// Returns whether it did.
    bool update_item_plan(time_point now);
    /// Returns the number of idle slots to reserve for online requests.
    std::int64_t reserved_slots(time_point now);
    void grant(
        decisions& out, time_point now, slot_id id, const std::string& runner);
    /// Refuses the waiting online requests that are larger than the memory of
    /// every runner. Items wait; their nodes hold them.
    void refuse_too_large(decisions& out, time_point now);
    /// Decides the waiting requests that are quarantined now.
    void quarantine_waiting(decisions& out, time_point now);
    /// Returns the number of tokens below which requests may be placed before a
    /// waiting one for which no runner was found.
    std::int64_t
    overtaking_limit(time_point now, const waiting_request& waiting) const;
    void dispatch_online(decisions& out, time_point now);
    void dispatch_batch(decisions& out, time_point now, bool may_preempt);
    void dispatch(decisions& out, time_point now);
    /// Redirects waiting work to groups that have capacity for it.
    void redirect_waiting(decisions& out, time_point now);
    /// Redirects a waiting request with a suspect trait to the group in which
    /// the trait is tried, so that the fleet tries it once and not each group.
    /// Returns false if that is this group.
    bool redirect_trial(decisions& out, time_point now, const slot_id& id);
    /// Redirects a waiting request or item. Returns false if no group has
    /// capacity.
    bool
    redirect(decisions& out, time_point now, const slot_id& id, work_kind kind);
    /// Refuses items redirected from other groups that have waited too long
    /// here, so that they return to their own group.
    void return_redirected_items(decisions& out, time_point now);
    void refuse_late(decisions& out, time_point now);
    wait_estimate estimate_waits(time_point now) const;
    /// Returns the time after which a refused caller is to retry. `wait` is the
    /// expected wait of a request at the end of the queue.
    duration choose_retry_after(
        time_point now, const waiting_request& refused, duration wait);
    /// Returns the ids of waiting work in the order of service. They point into
    /// `queue`.
    std::vector<const slot_id*> order_online(time_point now);
    std::vector<const slot_id*> order_batch() const;

    slot_scheduler_settings settings;
    runner_slots runners;
    std::map<slot_id, running_slot> running;
    /// Batch runs that were not preempted.
    std::set<slot_id> batch_runs;
    std::map<slot_id, waiting_request> queue;
    /// Ids of online requests in the queue. Some of them may have left the
    /// queue.
    std::set<slot_id> online_queue;
    std::map<std::string, node_state> nodes;
    /// Digests of refused requests.
    std::map<std::uint64_t, refused_request> refused;
    organisation_quota* quota = nullptr;
    std::map<std::string, service_ratio> organisation_service;
    time_point service_faded_at;
    /// Slots in use by organisation.
    std::map<std::string, std::int64_t> organisation_slots;
    crash_guard crashes;
    group_overflow overflow;
    double mean_online_us = 0.0;
    /// Items that are deferred according to the last plan.
    std::set<slot_id> deferred;
    time_point planned_at;
    /// Arrival times of the most recent online requests.
    std::deque<time_point> arrivals;
    /// Mean number of slots available to batch, that is not used by online
    /// requests.
    double batch_slots = 0.0;
    /// Time at which the next refused request is to be retried.
    time_point next_retry_at;
};

} // namespace chicory::serving

#endif
