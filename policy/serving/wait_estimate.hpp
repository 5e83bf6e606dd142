#ifndef CHICORY_POLICY_SERVING_WAIT_ESTIMATE_HPP
#define CHICORY_POLICY_SERVING_WAIT_ESTIMATE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <vector>

namespace chicory::serving
{

/// When runs in progress are expected to end, and so how long the request at
/// a place in a queue waits for a slot.
class wait_estimate
{
public:
    /// `starts` are the times at which the runs in progress began, `mean` is
    /// the mean length of a run.
    wait_estimate(
        time_point now, const std::vector<time_point>& starts, duration mean);

    /// Returns the wait of the request with `position` others before it.
    duration wait_of(std::size_t position) const;

private:
    duration mean_run;
    /// Time left of each run, the shortest first.
    std::vector<duration> remaining;
};

} // namespace chicory::serving

#endif
