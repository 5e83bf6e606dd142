#ifndef CHICORY_POLICY_ONLINE_RUNNER_QUEUE_HPP
#define CHICORY_POLICY_ONLINE_RUNNER_QUEUE_HPP

#include "policy/online/batch_slot_limit.hpp"
#include "policy/online/concurrency_limit.hpp"
#include "policy/online/fair_queue.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chicory::online
{

/// Instructs the owner to send the run to the backend server immediately.
struct send_run
{
    std::string id;
};

/// Instructs the owner to cancel a run that was sent. Its end is to be reported
/// with `finished`.
struct cancel_run
{
    std::string id;
    reason why = reason::outcome_unknown;
};

/// Instructs the owner to refuse a run that was never sent.
struct refuse_run
{
    std::string id;
    reason why = reason::outcome_unknown;
    duration retry_after = duration::zero();
};

/// Reports that the runner failed while the run was in progress on it.
struct lost_run
{
    std::string id;
    std::uint64_t fingerprint = 0;
};

using queue_action = std::variant<send_run, cancel_run, refuse_run, lost_run>;
using queue_actions = std::vector<queue_action>;

/// Result of a run that was sent.
enum class run_result
{
    completed,
    failed,
    cancelled,
    /// The backend server refused the run and certainly did not execute it.
    refused,
};

/// Load of a runner as its owner reports it.
struct runner_summary
{
    std::int64_t online_in_progress = 0;
    std::int64_t online_queued = 0;
    std::int64_t batch_in_progress = 0;
    std::int64_t limit = 0;
    std::int64_t idle_batch_slots = 0;
    duration latency = duration::zero();
};

/// The only queue in front of one runner, held by its owner, which knows
/// exactly which runs are in progress on the runner. Online runs wait only for
/// other online runs: when batch runs occupy the slots, a batch run is
/// cancelled and the online run is sent immediately. Batch runs that must not
/// be repeated are not cancelled; they get only slots that the largest recent
/// burst would leave free. Batch runs never wait here: they are refused unless
/// a slot is idle.
///
/// Each run that arrives gets exactly one of: a refusal, or a send followed by
/// one report of its end or its loss.
class runner_queue
{
public:
    /// Maximum expected wait with which an online run is accepted.
    static constexpr duration max_wait = std::chrono::seconds(5);

    runner_queue(std::int64_t slots, std::int64_t harm_weight);

    /// Applies a change of the pool's settings; see batch_slot_limit for
    /// `harm_weight`.
    void set_bounds(std::int64_t slots, std::int64_t harm_weight);

    /// Adds a run. A run that is already known is ignored.
    queue_actions arrive(const queued_run& run, time_point now);

    /// Records the first byte of a run's response.
    void first_byte(const std::string& id, time_point now);

    /// Records the end of a run that was sent.
    queue_actions
    finished(const std::string& id, run_result end, time_point now);

    /// Cancels a run on behalf of its caller. A waiting run is removed without
    /// an action; a run that was sent is cancelled.
    queue_actions cancel(const std::string& id, time_point now);

    /// Handles a load report of the runner that describes its load at some time
    /// within the last `lag`. After an ownership change, runs that a previous
    /// owner sent still count; see `inherit`.
    queue_actions
    load_reported(std::int64_t in_progress, duration lag, time_point now);

    /// Counts the runs that a previous owner sent, as in the runner's last
    /// report, until later reports show that they have ended.
    void inherit(std::int64_t in_progress);

    /// Refuses all waiting and new runs; runs that were sent continue.
    queue_actions leaving();

    /// Accepts runs again, after the runner stopped leaving or its ownership
    /// was regained.
    void reopen();

    /// Handles the failure of the runner: refuses the waiting runs and reports
    /// those that were sent as lost.
    queue_actions died();

    /// Refuses waiting runs whose deadline can no longer be met and cancels
    /// sent ones that are past it.
    queue_actions tick(time_point now);

    runner_summary summary(time_point now) const;

    /// Returns the number of runs that are in progress on the runner.
    std::int64_t in_progress() const;

    bool knows(const std::string& id) const;

private:
    struct sent_run
    {
        queued_run run;
        time_point sent_at;
        bool has_first_byte = false;
        bool cancelling = false;
        time_point cancelled_at;
        std::int64_t batch_runs_at_start = 0;
        std::int64_t all_runs_at_start = 0;
        duration charged_time = duration::zero();
    };

    queue_actions arrive_online(const queued_run& run, time_point now);
    queue_actions arrive_batch(const queued_run& run, time_point now);
    void advance(queue_actions& actions, time_point now);
    void send(const queued_run& run, queue_actions& actions, time_point now);
    void preempt_batch_runs(queue_actions& actions, time_point now);
    bool can_send(const queued_run& run) const;
    void record_count(time_point now);
    std::int64_t mean_count(time_point from, time_point to) const;
    bool exceeds_batch_share(const std::string& member, time_point now);
    std::int64_t count(work_class kind) const;
    /// Returns the number of online runs in progress and waiting.
    std::int64_t count_online() const;
    /// Returns the number of batch runs that must not be cancelled for online
    /// runs.
    std::int64_t count_not_repeatable_batch() const;
    std::int64_t idle_batch_slots(time_point now) const;
    duration expected_wait(const std::string& member) const;
    bool can_meet(time_point deadline, duration wait, time_point now) const;
    void update_service_time(duration time);

    concurrency_limit limit;
    batch_slot_limit batch_limit;
    fair_queue waiting;
    std::map<std::string, sent_run> sent;
    std::map<std::string, time_point> batch_requesters;
    /// Number of own runs in progress after each change, oldest first.
    std::deque<std::pair<time_point, std::int64_t>> run_counts;
    std::int64_t inherited = 0;
    std::int64_t suspects_sent = 0;
    bool closed = false;
    reason closed_reason = reason::outcome_unknown;
    duration mean_service_time = duration::zero();
    duration short_service_time = duration::zero();
    duration mean_latency = duration::zero();
};

} // namespace chicory::online

#endif
