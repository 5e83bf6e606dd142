#ifndef CHICORY_POLICY_SERVING_RUNNER_SLOTS_HPP
#define CHICORY_POLICY_SERVING_RUNNER_SLOTS_HPP

#include "policy/serving/failure_rate.hpp"
#include "policy/serving/placement_cost.hpp"
#include "policy/serving/runner_speed.hpp"
#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::serving
{

/// Time limits for runners that fail or are silent.
struct runner_slots_settings
{
    /// A runner that failed gets no work for this time, and then one run at a
    /// time until a run is completed.
    duration failure_backoff = std::chrono::milliseconds(400);
    /// A runner with work in progress from which no node received a byte for
    /// this time may have failed. Pieces arrive about 30 ms apart, and a lost
    /// packet is retransmitted after 200 ms.
    duration silence_limit = std::chrono::milliseconds(450);
    /// A suspect runner is tried with repeatable work. If there is none, it is
    /// tried with any work after this time.
    duration suspect_time = std::chrono::seconds(2);
    failure_rate_settings failures;
    runner_speed_settings speed;
    placement_cost_settings cost;
    /// Time over which the share of a runner's slots in use is averaged.
    duration share_window = std::chrono::seconds(5);
    /// Minimum time between two updates of that share.
    duration share_interval = std::chrono::milliseconds(5);
    /// A load that a runner stated is compared with the most runs that it had
    /// in this time and the one before, because the exact time at which the
    /// runner counted is unknown.
    duration peak_window = std::chrono::milliseconds(250);
    /// Runners whose costs differ by less are alike when a run is preempted, so
    /// that the due times of the runs decide.
    duration preemption_step = std::chrono::milliseconds(5);
};

/// A runner with the number of slots that may be used.
struct slot_runner
{
    std::string id;
    std::string zone;
    std::int64_t slots = 0;
    /// Number of tokens that the runner's memory holds; zero if unknown.
    std::int64_t token_capacity = 0;

    bool operator==(const slot_runner&) const = default;
};

/// Speeds and load of the runners whose speed is known.
struct runner_speeds
{
    /// Number of runners with a known speed.
    std::int64_t measured = 0;
    /// Speed relative to the usual one.
    double smallest = 0.0;
    double mean = 0.0;
    double largest = 0.0;
    /// Share of slots in use over the last seconds: the largest of a runner,
    /// and the mean.
    double busiest_share = 0.0;
    double mean_share = 0.0;
};

/// Counts the slots in use at each runner of a service and decides which
/// runners may get new work. Designed for runners that fail or become silent
/// with requests in progress while their connections stay open: such a runner
/// gets no more work while runs are in progress there, and then one run at a
/// time until a run is completed. See `failure_rate` for runners that respond
/// but fail their runs.
///
/// If a runner of the service states how long work takes there, runners are
/// chosen by `placement_cost`, which keeps the shares of slots in use even and
/// prefers faster runners; otherwise by zone and idle slots. A runner gets no
/// more tokens than its memory holds.
class runner_slots
{
public:
    explicit runner_slots(runner_slots_settings initial = {});

    /// Sets the runners that may get new work.
    void set_usable(const std::vector<slot_runner>& usable);

    /// Records that a run begins at a runner, which may be unknown. `tokens` is
    /// zero if unknown.
    void begin_run(const std::string& runner, std::int64_t tokens = 0);
    /// Records that a run is preempted. Its slot is free, its memory is not.
    void preempt_run(const std::string& runner, std::int64_t tokens);
    /// Records that a run ended at a runner.
    void
    end_run(const std::string& runner, std::int64_t tokens, bool was_preempted);

    /// Records a load that a runner stated.
    void on_load(
        time_point now, const std::string& runner, const load_sample& sample);

    /// Updates the shares of slots in use.
    void on_time(time_point now);

    /// Records the outcome of a run.
    void
    on_outcome(time_point now, const std::string& runner, slot_outcome outcome);

    /// Updates which runners are silent from the slots that a node reports.
    void record_silence(time_point now, const std::vector<held_slot>& held);

    /// Returns the best runner with an idle slot for a request, or nothing if
    /// there is none. Runners that are not degraded come first, then those of
    /// the lowest placement cost if speeds are known, otherwise those in the
    /// request's zone, then those with the most idle slots.
    std::optional<std::string>
    choose_idle_runner(time_point now, const slot_request& request) const;

    /// Returns the cost of a request at each runner for the choice of a run to
    /// preempt, in preemption steps. Without known speeds the zone decides: the
    /// cost is 0 in the request's zone and 1 elsewhere.
    std::map<std::string, std::int64_t>
    preemption_costs(time_point now, const slot_request& request) const;

    /// Returns whether the memory of a usable runner is limited.
    bool has_token_limit() const;
    /// Returns the tokens that the largest memory of a usable runner holds; the
    /// largest number if one has no known limit, zero if no runner is usable.
    std::int64_t largest_memory() const;
    /// Returns whether a request is larger than the memory of each usable
    /// runner.
    bool exceeds_every_memory(const slot_request& request) const;
    /// Returns whether the memory of a runner holds a request now, or once
    /// `freed` tokens of its runs and all preempted runs are gone.
    bool
    holds_tokens(const std::string& runner, const slot_request& request) const;
    bool may_hold_tokens(
        const std::string& runner,
        const slot_request& request,
        std::int64_t freed) const;
    /// Returns whether a runner with an idle slot will hold a request as soon
    /// as its preempted runs have ended.
    bool has_memory_soon(time_point now, const slot_request& request) const;

    /// Returns the mean time that work takes at a runner relative to the usual
    /// time; 1 without known speeds.
    double work_time(time_point now, const std::string& runner) const;
    /// Returns its mean over the usable runners.
    double mean_work_time(time_point now) const;
    /// Returns the speeds and load of the usable runners.
    runner_speeds speeds(time_point now) const;

    /// Returns whether a request may replace a run at a runner, which must not
    /// have more runs than slots.
    bool may_preempt(
        time_point now,
        const std::string& runner,
        const slot_request& request) const;

    /// Returns the number of idle slots of usable runners.
    std::int64_t idle_slots() const;
    /// Returns the number of all slots of usable runners.
    std::int64_t total_slots() const;

private:
    struct runner_use
    {
        slot_runner runner;
        bool usable = true;
        std::int64_t used = 0;
        /// Runs that have not ended, preempted ones included.
        std::int64_t present = 0;
        /// Tokens of these runs, and of the preempted ones among them.
        std::int64_t tokens = 0;
        std::int64_t preempted_tokens = 0;
        runner_speed speed;
        /// Mean share of the slots in use.
        double share = 0.0;
        /// Most runs in the current and in the previous peak window.
        std::int64_t peak = 0;
        std::int64_t previous_peak = 0;
        /// Time since which the runner is suspect. Set by a failure or by
        /// silence, and reset when a run is completed.
        std::optional<time_point> suspect_since;
        /// Time at which any node last received bytes from the runner.
        time_point last_progress;
        time_point backoff_until;
        failure_rate failures;
    };

    /// Means over the usable runners, for runners without figures.
    struct usual_values
    {
        bool measured = false;
        double work_time = 1.0;
        double share = 0.0;
    };

    usual_values find_usual(time_point now) const;
    runner_use& find_or_add(const std::string& runner);
    double cost(
        time_point now,
        const runner_use& use,
        const slot_request& request,
        const usual_values& usual) const;
    static bool
    fits_memory(const runner_use& use, std::int64_t tokens, std::int64_t freed);
    std::optional<std::string> choose_measured_runner(
        time_point now,
        const slot_request& request,
        const usual_values& usual) const;

    /// Returns whether a request excludes all usable runners. An item may then
    /// use them again, because a runner that crashed under it may be back.
    bool is_every_runner_excluded(const slot_request& request) const;
    bool may_use(
        time_point now,
        const runner_use& use,
        const slot_request& request) const;

    runner_slots_settings settings;
    std::map<std::string, runner_use> runners;
    time_point share_updated_at;
    time_point peak_began_at;
};

} // namespace chicory::serving

#endif
