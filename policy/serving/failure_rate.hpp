#ifndef CHICORY_POLICY_SERVING_FAILURE_RATE_HPP
#define CHICORY_POLICY_SERVING_FAILURE_RATE_HPP

#include "core/core.hpp"

#include <chrono>

namespace chicory::serving
{

/// Thresholds and backoff times for runners with failed runs.
struct failure_rate_settings
{
    /// Weight of a single run in the failure rate. Three consecutive failures
    /// make a runner degraded, while occasional failures among many runs do
    /// not.
    double run_weight = 1.0 / 8.0;
    /// Failure rate at which a runner becomes degraded, and failure rate below
    /// which it has recovered.
    double degraded_threshold = 0.3;
    double recovered_threshold = 0.15;
    /// Time after which the weight of a failure is halved, as its cause may
    /// have been resolved.
    duration half_life = std::chrono::seconds(3);
    /// A degraded runner gets no work for this time after a failure. The time
    /// doubles with each further failure, up to the maximum.
    duration initial_backoff = std::chrono::milliseconds(400);
    duration max_backoff = std::chrono::milliseconds(3200);
};

/// Failure rate of the runs at one runner. Designed for runners that report
/// themselves ready but immediately fail every request: as they are always
/// idle, they would attract the requests of the whole fleet.
class failure_rate
{
public:
    explicit failure_rate(failure_rate_settings initial = {});

    /// Records a successful run.
    void on_success(time_point now);
    /// Records a failed run.
    void on_failure(time_point now);

    /// Returns whether the runner is degraded and may get only one run at a
    /// time.
    bool is_degraded(time_point now) const;

    /// Returns whether the runner is in backoff and must not get any work.
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
