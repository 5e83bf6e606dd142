#ifndef CHICORY_EXPERIMENTS_LOAD_ARRIVALS_HPP
#define CHICORY_EXPERIMENTS_LOAD_ARRIVALS_HPP

#include "core/core.hpp"

#include <cstdint>
#include <random>

namespace chicory::load
{

/// How requests arrive.
enum class arrival_pattern
{
    /// Exponentially distributed gaps at a constant rate.
    poisson,
    /// Exponentially distributed gaps; the rate is multiplied during bursts.
    bursts,
};

inline constexpr enum_table<arrival_pattern, 2> arrival_pattern_names = {{
    {arrival_pattern::poisson, "poisson"},
    {arrival_pattern::bursts, "bursts"},
}};

/// Rate and burst pattern of an open-loop arrival process.
struct arrival_settings
{
    arrival_pattern pattern = arrival_pattern::poisson;
    double rate_per_s = 10.0;
    /// Factor by which the rate is multiplied during a burst.
    double burst_factor = 5.0;
    duration burst_length = std::chrono::seconds(1);
    duration burst_period = std::chrono::seconds(5);
};

/// Draws the intended start time of each request. The times do not depend on
/// the latency of earlier requests (open loop).
class arrivals
{
public:
    arrivals(arrival_settings initial_settings, std::uint64_t seed);

    /// Returns the next intended start time, relative to the start of the load.
    duration next();

private:
    arrival_settings settings;
    std::mt19937_64 generator;
    duration now{0};
};

} // namespace chicory::load

#endif
