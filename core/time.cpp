#include "core/time.hpp"

#include <ctime>

namespace chicory
{

time_point read_monotonic_clock()
{
    const auto since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since_start));
}

boot_time_point read_boot_clock()
{
    std::timespec now{};
    // Cannot fail: Linux has this clock since version 2.6.39.
    clock_gettime(CLOCK_BOOTTIME, &now);
    return boot_time_point(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::duration_cast<duration>(
            std::chrono::nanoseconds(now.tv_nsec)));
}

std::int64_t read_wall_clock_ms()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
        .count();
}

} // namespace chicory
