#ifndef CHICORY_POLICY_SERVING_PLACEMENT_COST_HPP
#define CHICORY_POLICY_SERVING_PLACEMENT_COST_HPP

#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstdint>

namespace chicory::serving
{

/// Weights of the expected time of a request at a runner.
struct placement_cost_settings
{
    /// Time from sending a request to an idle runner of usual speed until its
    /// first event: some 450 tokens of the prompt, and the step in progress.
    duration first_event = std::chrono::milliseconds(10);
    /// Time that a runner in another zone adds. Zones lie 0.5 to 4.4 ms apart
    /// one way.
    duration zone_distance = std::chrono::milliseconds(5);
    /// Time that a runner adds whose slots are all in use. With 8 slots, one
    /// run costs 10 ms, more than the speeds of runners and the distance of
    /// zones differ, so that the shares of slots in use remain even.
    duration full_runner = std::chrono::milliseconds(80);
    /// Weight of the share of slots that was in use above the mean over the
    /// last seconds, and its limit in runs. Without it the fastest runner gets
    /// every request while most runners are idle. Without the limit a runner
    /// that has just started gets all requests.
    double past_weight = 4.0;
    double max_past_runs = 1.0;
};

/// A runner as seen by the process that decides on a placement.
struct placement_candidate
{
    std::int64_t slots = 1;
    /// Requests that run or wait at the runner.
    double runs = 0.0;
    /// Share of slots in use over the last seconds, less the mean of all
    /// runners.
    double past_excess = 0.0;
    /// Time that work takes, relative to the usual time.
    double work_time = 1.0;
    bool is_in_zone = true;
};

/// Returns the cost of a placement in microseconds; the runner with the lowest
/// cost is the best one. For online work it is the expected time to the first
/// event, plus the time that even load is worth. For batch items the speed
/// counts the other way and the distance does not count: an item runs for
/// seconds, and no caller waits for its first event, so that it leaves the
/// faster runners to online work.
double placement_cost(
    const placement_candidate& candidate,
    work_kind kind,
    const placement_cost_settings& settings);

} // namespace chicory::serving

#endif
