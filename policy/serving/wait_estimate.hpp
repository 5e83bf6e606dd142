#ifndef CHICORY_POLICY_SERVING_WAIT_ESTIMATE_HPP
#define CHICORY_POLICY_SERVING_WAIT_ESTIMATE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <vector>

namespace chicory::serving
{

/// Estimates how long requests in a queue wait for a slot, from the expected
/// end times of the runs in progress.
class wait_estimate
{
public:
    /// `starts` are the start times of the runs in progress, and `mean` is the
    /// mean duration of a run.
    wait_estimate(
        time_point now, const std::vector<time_point>& starts, duration mean);

    /// Returns the expected wait of the request at a position in the queue;
    /// zero is the first.
    duration wait_of(std::size_t position) const;

private:
    duration mean_run;
    /// Expected remaining time of each run, in ascending order.
    std::vector<duration> remaining;
};

} // namespace chicory::serving

#endif
