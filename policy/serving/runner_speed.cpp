#include "policy/serving/runner_speed.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::serving
{

namespace
{

constexpr double percent = 100.0;

/// Returns the weight of information of an age, which falls to 1/e within its
/// lifetime.
double weigh(duration age, duration lifetime)
{
    const duration positive = std::max(duration::zero(), age);
    return std::exp(
        -static_cast<double>(positive.count()) /
        static_cast<double>(lifetime.count()));
}

} // namespace

runner_speed::runner_speed(runner_speed_settings initial) : settings(initial)
{
}

void runner_speed::on_load(
    time_point stated_at, const runner_load& load, std::int64_t own_runs)
{
    if (load.time_percent <= 0)
    {
        return;
    }
    const double figure = static_cast<double>(load.time_percent) / percent;
    const duration window = this->settings.average_window;
    if (this->measured && stated_at < this->newest_at)
    {
        const double share = weigh(this->newest_at - stated_at, window);
        this->sum += share * figure;
        this->weight += share;
        return;
    }
    const double kept =
        this->measured ? weigh(stated_at - this->newest_at, window) : 0.0;
    this->sum = this->sum * kept + figure;
    this->weight = this->weight * kept + 1.0;
    this->newest = figure;
    this->newest_at = stated_at;
    this->others = static_cast<double>(std::max<std::int64_t>(
        0, std::int64_t(load.running) + load.waiting - own_runs));
    this->measured = true;
}

bool runner_speed::is_measured() const
{
    return this->measured;
}

duration runner_speed::age(time_point now) const
{
    return std::max(duration::zero(), now - this->newest_at);
}

double runner_speed::confidence(time_point now) const
{
    const double current =
        this->weight * weigh(this->age(now), this->settings.average_window);
    return current / (current + this->settings.prior_samples);
}

double runner_speed::average_time(time_point now, double usual) const
{
    if (!this->measured)
    {
        return usual;
    }
    const double own = this->sum / this->weight;
    return usual + this->confidence(now) * (own - usual);
}

double runner_speed::current_time(time_point now, double usual) const
{
    const double average = this->average_time(now, usual);
    if (!this->measured)
    {
        return average;
    }
    return average + weigh(this->age(now), this->settings.momentary_lifetime) *
                         (this->newest - average);
}

double runner_speed::work_of_others(time_point now, double usual) const
{
    if (!this->measured)
    {
        return usual;
    }
    return usual + weigh(this->age(now), this->settings.work_lifetime) *
                       (this->others - usual);
}

} // namespace chicory::serving
