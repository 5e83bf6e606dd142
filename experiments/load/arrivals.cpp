#include "experiments/load/arrivals.hpp"

namespace chicory::load
{

arrivals::arrivals(arrival_settings initial_settings, std::uint64_t seed)
    : settings(initial_settings), generator(seed)
{
}

duration arrivals::next()
{
    // Thinning: candidates are drawn at the maximum rate and accepted with a
    // probability equal to the current rate divided by the maximum rate.
    const bool bursts = this->settings.pattern == arrival_pattern::bursts;
    const double factor = bursts ? this->settings.burst_factor : 1.0;
    std::exponential_distribution<double> gap(
        this->settings.rate_per_s * factor);
    std::uniform_real_distribution<double> acceptance(0.0, 1.0);
    while (true)
    {
        this->now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(this->generator)));
        const bool in_burst =
            this->now % this->settings.burst_period >=
            this->settings.burst_period - this->settings.burst_length;
        if (!bursts || in_burst || acceptance(this->generator) * factor < 1.0)
        {
            return this->now;
        }
    }
}

} // namespace chicory::load
