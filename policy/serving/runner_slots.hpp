#ifndef CHICORY_POLICY_SERVING_RUNNER_SLOTS_HPP
#define CHICORY_POLICY_SERVING_RUNNER_SLOTS_HPP

#include "policy/serving/failure_rate.hpp"
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
};

/// A runner with the number of slots that may be used.
struct slot_runner
{
    std::string id;
    std::string zone;
    std::int64_t slots = 0;

    bool operator==(const slot_runner&) const = default;
};

/// Counts the slots in use at each runner of a service and decides which
/// runners may get new work. Designed for runners that fail or become silent
/// with requests in progress while their connections stay open: such a runner
/// gets no more work while runs are in progress there, and then one run at a
/// time until a run is completed. See `failure_rate` for runners that respond
/// but fail their runs.
class runner_slots
{
public:
    explicit runner_slots(runner_slots_settings initial = {});

    /// Sets the runners that may get new work.
    void set_usable(const std::vector<slot_runner>& usable);

    /// Records that a run begins at a runner, which may be unknown.
    void begin_run(const std::string& runner);
    /// Records that a run ended at a runner.
    void end_run(const std::string& runner);

    /// Records the outcome of a run.
    void
    on_outcome(time_point now, const std::string& runner, slot_outcome outcome);

    /// Updates which runners are silent from the slots that a node reports.
    void record_silence(time_point now, const std::vector<held_slot>& held);

    /// Returns the best runner with an idle slot for a request, or nothing if
    /// there is none. Runners that are not degraded come first, then those in
    /// the request's zone, then those with the most idle slots.
    std::optional<std::string>
    choose_idle_runner(time_point now, const slot_request& request) const;

    /// Returns whether a request may replace a run at a runner, which must not
    /// have more runs than slots.
    bool may_preempt(
        time_point now,
        const std::string& runner,
        const slot_request& request) const;

    /// Returns whether a runner is known and in the zone.
    bool is_in_zone(const std::string& runner, const std::string& zone) const;

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
        /// Time since which the runner is suspect. Set by a failure or by
        /// silence, and reset when a run is completed.
        std::optional<time_point> suspect_since;
        /// Time at which any node last received bytes from the runner.
        time_point last_progress;
        time_point backoff_until;
        failure_rate failures;
    };

    /// Returns whether a request excludes all usable runners. An item may then
    /// use them again, because a runner that crashed under it may be back.
    bool is_every_runner_excluded(const slot_request& request) const;
    bool may_use(
        time_point now,
        const runner_use& use,
        const slot_request& request) const;

    runner_slots_settings settings;
    std::map<std::string, runner_use> runners;
};

} // namespace chicory::serving

#endif
