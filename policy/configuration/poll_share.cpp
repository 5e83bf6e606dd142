#include "policy/configuration/poll_share.hpp"

#include <algorithm>

namespace chicory::configuration
{

namespace
{

constexpr double microseconds_per_second = 1e6;

} // namespace

poll_share::poll_share(poll_share_settings initial, std::uint64_t seed)
    : settings(initial), generator(seed)
{
}

time_point poll_share::next(time_point now, std::size_t members)
{
    const double shared_interval = static_cast<double>(members) *
                                   microseconds_per_second /
                                   this->settings.fleet_reads_per_second;
    const double min_interval =
        static_cast<double>(this->settings.min_interval.count());
    std::uniform_real_distribution<double> jitter_factor(
        1.0 - this->settings.jitter, 1.0 + this->settings.jitter);
    const double interval = std::max(shared_interval, min_interval) *
                            jitter_factor(this->generator);
    return now + duration(static_cast<duration::rep>(interval));
}

} // namespace chicory::configuration
