#ifndef CHICORY_POLICY_SERVING_FAILURE_RATE_HPP
#define CHICORY_POLICY_SERVING_FAILURE_RATE_HPP

#include "core/core.hpp"

#include <chrono>

namespace chicory::serving
{

/// Bounds by which the share of failed runs is judged.
struct failure_rate_settings
{
    /// Weight of a run in the share. Three failures in a row make a runner
    /// doubtful, and no mean of some failures among many runs does.
    double run_weight = 1.0 / 8.0;
    /// Share from which on a runner is doubtful, and below which it is trusted
    /// again.
    double degraded_threshold = 0.3;
    double recovered_threshold = 0.15;
    /// Time after which a failure counts for half: the trouble may be over.
    duration half_life = std::chrono::seconds(3);
    /// A doubtful runner gets nothing for this time after a failure, twice as
    /// long after each further one, up to the longest.
    duration initial_backoff = std::chrono::milliseconds(400);
    duration max_backoff = std::chrono::milliseconds(3200);
};

/// Share of the runs at one runner that failed. Answers the load pattern of
/// runners that fail at once what they are sent while they call themselves
/// sound: always idle, they would draw the requests of the whole fleet.
class failure_rate
{
public:
    explicit failure_rate(failure_rate_settings initial = {});

    void on_success(time_point now);
    void on_failure(time_point now);

    /// Returns whether the runner is to get one run at a time at most.
    bool is_degraded(time_point now) const;

    /// Returns whether it is to get nothing now.
    bool is_in_backoff(time_point now) const;

private:
    double rate_at(time_point now) const;

    failure_rate_settings settings;
    double rate = 0.0;
    time_point updated_at;
    bool degraded = false;
    duration next_backoff;
    time_point backoff_until;
};

} // namespace chicory::serving

#endif
