#ifndef CHICORY_CORE_LOG_BUDGET_HPP
#define CHICORY_CORE_LOG_BUDGET_HPP

#include "core/event.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chicory
{

/// Number of lines of one event that were dropped.
struct dropped_lines
{
    event value;
    std::int64_t count = 0;

    bool operator==(const dropped_lines&) const = default;
};

/// Limits the lines of each event per second, so that the log stays readable
/// and cheap under load. Warnings and errors have a higher limit, because a
/// failed request matters more than a completed one.
class log_budget
{
public:
    /// Maximum lines per second of one event below the severity warning, and
    /// of one event at warning or above.
    static constexpr std::int64_t info_lines = 60;
    static constexpr std::int64_t warning_lines = 300;

    /// Returns whether a line may be written now. Counts the line as admitted
    /// or as dropped.
    bool admit(time_point now, event value, severity level);

    /// Returns the dropped lines of each event that were not returned before,
    /// at most once per second, and resets their counts.
    std::vector<dropped_lines> collect_dropped_lines(time_point now);

private:
    struct usage
    {
        time_point period_start;
        std::int64_t admitted = 0;
        std::int64_t dropped = 0;
    };

    static void begin_period(usage& use, time_point now);

    std::map<event, usage> events;
    time_point last_collected;
};

} // namespace chicory

#endif
