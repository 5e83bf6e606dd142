#include "policy/serving/failure_rate.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::serving
{

failure_rate::failure_rate(failure_rate_settings initial)
    : settings(initial), next_backoff(initial.initial_backoff)
{
}

double failure_rate::rate_at(time_point now) const
{
    const double passed = static_cast<double>((now - this->updated_at).count());
    const double half_life =
        static_cast<double>(this->settings.half_life.count());
    return this->rate * std::exp2(-passed / half_life);
}

void failure_rate::on_success(time_point now)
{
    this->rate = this->rate_at(now) * (1.0 - this->settings.run_weight);
    this->updated_at = now;
    this->next_backoff = this->settings.initial_backoff;
    if (this->rate < this->settings.recovered_threshold)
    {
        this->degraded = false;
    }
}

void failure_rate::on_failure(time_point now)
{
    const double before = this->rate_at(now);
    this->rate = before + this->settings.run_weight * (1.0 - before);
    this->updated_at = now;
    if (this->rate >= this->settings.degraded_threshold)
    {
        this->degraded = true;
    }
    if (this->degraded)
    {
        // Failures of concurrent runs count as a single failure for the
        // backoff.
        if (now >= this->backoff_until)
        {
            this->backoff_until = now + this->next_backoff;
            this->next_backoff =
                std::min(this->next_backoff * 2, this->settings.max_backoff);
        }
    }
}

bool failure_rate::is_degraded(time_point now) const
{
    return this->degraded &&
           this->rate_at(now) >= this->settings.recovered_threshold;
}

bool failure_rate::is_in_backoff(time_point now) const
{
    return now < this->backoff_until;
}

} // namespace chicory::serving
