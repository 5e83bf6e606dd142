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

/// Times by which runners are judged.
struct runner_slots_settings
{
    /// A runner that failed gets one run at a time until one is completed,
    /// and none for this time.
    duration failure_backoff = std::chrono::milliseconds(400);
    /// A runner of which no node had a byte for so long, with work under way,
    /// may be gone. Between two pieces lie some 30 ms; a lost packet comes
    /// again after 200 ms.
    duration silence_limit = std::chrono::milliseconds(450);
    /// A suspect runner is tried with work that may be repeated; where there
    /// is none, with any work after this time.
    duration suspect_time = std::chrono::seconds(2);
    failure_rate_settings failures;
};

/// A runner with the slots that may be used.
struct slot_runner
{
    std::string id;
    std::string zone;
    std::int64_t slots = 0;

    bool operator==(const slot_runner&) const = default;
};

/// Counts the slots in use at each runner of a service and judges which
/// runners may get new work. Answers the load pattern of runners that fail or
/// go silent with requests under way, whose connections stay: they get no more
/// work until a run is completed there. For runners that answer and fail, see
/// `failure_rate`.
class runner_slots
{
public:
    explicit runner_slots(runner_slots_settings initial = {});

    /// Sets the runners that may get new work.
    void set_usable(const std::vector<slot_runner>& usable);

    /// Takes that a run begins at a runner, known or not, or ends there.
    void begin_run(const std::string& runner);
    void end_run(const std::string& runner);

    /// Takes how a run ended.
    void
    on_outcome(time_point now, const std::string& runner, slot_outcome outcome);

    /// Takes from a node's slots which runners are silent.
    void record_silence(time_point now, const std::vector<held_slot>& held);

    /// Returns the runner with an idle slot for a request, the best first by
    /// whether it is trusted, its zone and idle slots; nothing when none has.
    std::optional<std::string>
    choose_idle_runner(time_point now, const slot_request& request) const;

    /// Returns whether a request could take the place of a run at a runner
    /// that has no more runs than slots.
    bool may_preempt(
        time_point now,
        const std::string& runner,
        const slot_request& request) const;

    bool is_in_zone(const std::string& runner, const std::string& zone) const;

    /// Slots of usable runners: the idle ones, and all.
    std::int64_t idle_slots() const;
    std::int64_t total_slots() const;

private:
    struct runner_use
    {
        slot_runner runner;
        bool usable = true;
        std::int64_t used = 0;
        /// Since when the runner is suspect; set by a failure or by silence
        /// until a run is completed.
        std::optional<time_point> suspect_since;
        /// When a node last had bytes from the runner.
        time_point last_progress;
        time_point backoff_until;
        failure_rate failures;
    };

    bool may_use(
        time_point now,
        const runner_use& use,
        const slot_request& request) const;

    runner_slots_settings settings;
    std::map<std::string, runner_use> runners;
};

} // namespace chicory::serving

#endif
