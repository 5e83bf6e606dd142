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

/// Send the run to the backend server now.
struct send_run
{
    std::string id;
};

/// Cancel a run that was sent; its end is to be reported by `finished`.
struct cancel_run
{
    std::string id;
    reason why = reason::outcome_unknown;
};

/// Answer that the run was refused; it was never sent.
struct refuse_run
{
    std::string id;
    reason why = reason::outcome_unknown;
    duration retry_after = duration::zero();
};

/// The run was on board when the runner died.
struct lost_run
{
    std::string id;
    std::uint64_t fingerprint = 0;
};

using queue_action = std::variant<send_run, cancel_run, refuse_run, lost_run>;
using queue_actions = std::vector<queue_action>;

/// How a run that was sent has ended.
enum class run_result
{
    completed,
    failed,
    cancelled,
    /// The backend server refused it and certainly did not run it.
    refused,
};

/// What an owner tells of its runner.
struct runner_summary
{
    std::int64_t online_in_progress = 0;
    std::int64_t online_queued = 0;
    std::int64_t batch_in_progress = 0;
    std::int64_t limit = 0;
    std::int64_t idle_batch_slots = 0;
    duration latency = duration::zero();
};

/// The only queue before one runner, held by its owner. It knows exactly which
/// runs are in the runner. Online runs wait only for online runs: a batch run
/// that is in the way is cancelled and the online one is sent at once. Batch
/// runs that must not be repeated are not cancelled; they get only slots that
/// the greatest recent burst would leave. Batch runs never wait here; they are
/// refused unless a slot is idle.
///
/// Each run that arrives gets exactly one of: a refusal, or a send followed by
/// one report of its end or its loss.
class runner_queue
{
public:
    /// Longest wait that is accepted for an online run.
    static constexpr duration max_wait = std::chrono::seconds(5);

    runner_queue(std::int64_t slots, std::int64_t harm_weight);

    /// Takes a change of the pool's settings.
    void set_bounds(std::int64_t slots, std::int64_t harm_weight);

    /// Takes a run. One that is here already is ignored.
    queue_actions arrive(const queued_run& run, time_point now);

    /// Takes the first byte of a run's answer.
    void first_byte(const std::string& id, time_point now);

    /// Takes the end of a run that was sent.
    queue_actions
    finished(const std::string& id, run_result end, time_point now);

    /// Takes back a run for its caller. A waiting run just goes; one that was
    /// sent is cancelled.
    queue_actions cancel(const std::string& id, time_point now);

    /// Takes a load report of the runner, `lag` old. After a hand-over, runs
    /// that a previous owner sent still count; see `inherit`.
    queue_actions
    load_reported(std::int64_t in_progress, duration lag, time_point now);

    /// Counts the runs of a previous owner, by the runner's last report, until
    /// later reports show that they have ended.
    void inherit(std::int64_t in_progress);

    /// Refuses what waits and all that comes; runs that were sent go on.
    queue_actions leaving();

    /// Accepts work again, for a runner that stays or a regained ownership.
    void reopen();

    /// Gives up all runs: waiting ones were not run, sent ones are lost.
    queue_actions died();

    /// Refuses waiting runs whose deadline can no longer be met and cancels
    /// sent ones that are past it.
    queue_actions tick(time_point now);

    runner_summary summary(time_point now) const;

    /// Returns the number of runs that are in the runner.
    std::int64_t in_progress() const;

    bool knows(const std::string& id) const;

private:
    struct sent_run
    {
        queued_run run;
        time_point sent;
        bool answered = false;
        bool cancelling = false;
        time_point cancelled;
        std::int64_t beside_batch = 0;
        std::int64_t beside_all = 0;
        duration charged = duration::zero();
    };

    queue_actions arrive_online(const queued_run& run, time_point now);
    queue_actions arrive_batch(const queued_run& run, time_point now);
    void advance(queue_actions& actions, time_point now);
    void send(const queued_run& run, queue_actions& actions, time_point now);
    void yield_to_online(queue_actions& actions, time_point now);
    bool may_send(const queued_run& run) const;
    void note_count(time_point now);
    std::int64_t mean_count(time_point from, time_point to) const;
    bool exceeds_batch_share(const std::string& member, time_point now);
    std::int64_t count(work_class kind) const;
    /// Returns the online runs in the runner and those that wait.
    std::int64_t count_online() const;
    /// Returns the batch runs that must not be cancelled for online ones.
    std::int64_t count_fixed_batch() const;
    std::int64_t idle_batch_slots(time_point now) const;
    duration expected_wait(const std::string& member) const;
    bool can_meet(time_point deadline, duration wait, time_point now) const;
    void learn_service_time(duration time);

    concurrency_limit limit;
    batch_slot_limit room;
    fair_queue waiting;
    std::map<std::string, sent_run> sent;
    std::map<std::string, time_point> batch_askers;
    /// Own runs in the runner after each change, oldest first.
    std::deque<std::pair<time_point, std::int64_t>> counts;
    std::int64_t inherited = 0;
    std::int64_t suspects_sent = 0;
    bool closed = false;
    reason closed_reason = reason::outcome_unknown;
    duration mean_service = duration::zero();
    duration short_service = duration::zero();
    duration mean_latency = duration::zero();
};

} // namespace chicory::online

#endif
