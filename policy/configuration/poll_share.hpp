#ifndef CHICORY_POLICY_CONFIGURATION_POLL_SHARE_HPP
#define CHICORY_POLICY_CONFIGURATION_POLL_SHARE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

namespace chicory::configuration
{

/// Rates of reading the revision row.
struct poll_share_settings
{
    /// Reads per second of all members together.
    double fleet_reads_per_second = 16.0;
    /// Minimum time between two reads by one member.
    duration min_interval = std::chrono::milliseconds(800);
    /// Maximum deviation from the interval, as a fraction of it. The deviation
    /// prevents members from reading at the same times.
    double jitter = 0.2;
};

/// Schedules the reads of one member so that the total read rate of all members
/// does not depend on their number. A member is a process that reads the row.
class poll_share
{
public:
    poll_share(poll_share_settings initial, std::uint64_t seed);

    /// Returns the time of the next read. `members` is the number of all known
    /// entry VMs, including those considered dead: an isolated member considers
    /// the others dead and must not use their share of the rate.
    time_point next(time_point now, std::size_t members);

private:
    poll_share_settings settings;
    std::mt19937_64 generator;
};

} // namespace chicory::configuration

#endif
