#include "policy/serving/failure_rate.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::serving
{

failure_rate::failure_rate(failure_rate_settings initial)
    : settings(initial), next_pause(initial.pause)
{
}

double failure_rate::share_at(time_point now) const
{
    const double passed = static_cast<double>((now - this->changed).count());
    const double half_life =
        static_cast<double>(this->settings.half_life.count());
    return this->share * std::exp2(-passed / half_life);
}

void failure_rate::on_success(time_point now)
{
    this->share = this->share_at(now) * (1.0 - this->settings.run_weight);
    this->changed = now;
    this->next_pause = this->settings.pause;
    if (this->share < this->settings.trusted_share)
    {
        this->doubtful = false;
    }
}

void failure_rate::on_failure(time_point now)
{
    const double before = this->share_at(now);
    this->share = before + this->settings.run_weight * (1.0 - before);
    this->changed = now;
    if (this->share >= this->settings.doubtful_share)
    {
        this->doubtful = true;
    }
    if (this->doubtful)
    {
        // Failures of runs that were under way together are one.
        if (now >= this->paused_until)
        {
            this->paused_until = now + this->next_pause;
            this->next_pause =
                std::min(this->next_pause * 2, this->settings.longest_pause);
        }
    }
}

bool failure_rate::is_doubtful(time_point now) const
{
    return this->doubtful &&
           this->share_at(now) >= this->settings.trusted_share;
}

bool failure_rate::is_paused(time_point now) const
{
    return now < this->paused_until;
}

} // namespace chicory::serving
