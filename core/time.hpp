#ifndef CHICORY_CORE_TIME_HPP
#define CHICORY_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace chicory
{

/// A length of time in microseconds, the resolution of the decision code.
using duration = std::chrono::microseconds;

/// The clock type of the decision code. It has no now(): decision code receives
/// the current time as an argument and never reads a clock.
struct monotonic_time
{
    using duration = chicory::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_time, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on the process's monotonic clock.
using time_point = monotonic_time::time_point;

/// Reads the monotonic clock. Decision code must not call this; only the code
/// around it that does input and output does.
time_point read_monotonic_clock();

/// The type of a clock that runs on while the machine is suspended. It has its
/// own type because its points in time cannot be compared with those of the
/// process's monotonic clock.
struct boot_time
{
    using duration = chicory::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on the clock that runs on during a suspension.
using boot_time_point = boot_time::time_point;

/// Reads the time since the machine was started, including the time for which
/// it was suspended.
boot_time_point read_boot_clock();

/// Reads the wall clock, in milliseconds since 1970-01-01 UTC.
std::int64_t read_wall_clock_ms();

} // namespace chicory

#endif
