#ifndef CHICORY_POLICY_CONFIGURATION_POLL_SHARE_HPP
#define CHICORY_POLICY_CONFIGURATION_POLL_SHARE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

namespace chicory::configuration
{

/// How often the fleet reads the row of the revision.
struct poll_share_settings
{
    /// Reads a second of all members together.
    double fleet_reads_per_second = 16.0;
    /// Shortest time between two reads of one member.
    duration min_interval = std::chrono::milliseconds(800);
    /// Largest deviation from the interval, as a fraction of it. It keeps
    /// members from reading in step.
    double jitter = 0.2;
};

/// Spaces the reads of one member so that the reads of all members together
/// stay at a rate that does not depend on their number.
class poll_share
{
public:
    poll_share(poll_share_settings initial, std::uint64_t seed);

    /// Returns when to read next. `members` counts every entry VM that is
    /// known, also those believed dead: a member that is cut off must not take
    /// the share of the others.
    time_point next(time_point now, std::size_t members);

private:
    poll_share_settings settings;
    std::mt19937_64 generator;
};

} // namespace chicory::configuration

#endif
