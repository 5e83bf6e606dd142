#ifndef CHICORY_POLICY_SERVING_RUNNER_SPEED_HPP
#define CHICORY_POLICY_SERVING_RUNNER_SPEED_HPP

#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstdint>

namespace chicory::serving
{

/// Time constants of the estimate of a runner's speed.
struct runner_speed_settings
{
    /// Age at which a stated figure has lost most of its value for the moment,
    /// because the figure changes many times a second.
    duration momentary_lifetime = std::chrono::milliseconds(100);
    /// Time over which stated figures are averaged.
    duration average_window = std::chrono::seconds(5);
    /// Number of samples at which the average of a runner's own figures and the
    /// value that is usual for other runners have the same weight.
    double prior_samples = 2.0;
    /// Age at which a stated number of requests has lost most of its value: a
    /// run takes some 500 ms.
    duration work_lifetime = std::chrono::milliseconds(300);
};

/// Estimates from the load that a runner states in its responses how long work
/// takes there, relative to the usual time, and how much work others sent to
/// it. Designed for runners whose speed differs permanently and also changes
/// many times a second: the last figure counts for a moment, the average counts
/// afterwards, and both lose weight as they age.
class runner_speed
{
public:
    explicit runner_speed(runner_speed_settings initial = {});

    /// Records a load that was stated at a time. `own_runs` is the number of
    /// runs that the recording process had there at that time. A load without a
    /// time figure has no effect.
    void on_load(
        time_point stated_at, const runner_load& load, std::int64_t own_runs);

    /// Returns whether a time figure was ever recorded.
    bool is_measured() const;

    /// Returns the weight of the runner's own average, from 0 for no figures to
    /// nearly 1 for many recent ones.
    double confidence(time_point now) const;

    /// Returns the age of the newest figure.
    duration age(time_point now) const;

    /// Returns the mean time that work takes, relative to the usual time.
    /// `usual` is the value for a runner without figures.
    double average_time(time_point now, double usual) const;

    /// Returns the time that work that begins now takes, relative to the usual
    /// time.
    double current_time(time_point now, double usual) const;

    /// Returns the expected number of requests that others have there. `usual`
    /// is the number for a runner without recent figures.
    double work_of_others(time_point now, double usual) const;

private:
    runner_speed_settings settings;
    bool measured = false;
    time_point newest_at;
    double newest = 1.0;
    double others = 0.0;
    /// Sum and number of the figures, weighted by age, as of `newest_at`.
    double sum = 0.0;
    double weight = 0.0;
};

} // namespace chicory::serving

#endif
