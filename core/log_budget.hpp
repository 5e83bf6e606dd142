#ifndef CHICORY_CORE_LOG_BUDGET_HPP
#define CHICORY_CORE_LOG_BUDGET_HPP

#include "core/event.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace chicory
{

/// Lines of one event that were left out.
struct dropped_lines
{
    event value;
    std::int64_t count = 0;

    bool operator==(const dropped_lines&) const = default;
};

/// Bounds the lines of each event in a second, so that a log stays readable
/// and cheap under load. Warnings and errors have a larger bound, as a failed
/// request matters more than a served one.
class log_budget
{
public:
    /// Lines of one event in a second.
    static constexpr std::int64_t info_lines = 60;
    static constexpr std::int64_t warning_lines = 300;

    /// Returns whether a line may be written now.
    bool admit(time_point now, event value, severity level);

    /// Returns what was left out in seconds that are over, each once.
    std::vector<dropped_lines> collect_dropped_lines(time_point now);

private:
    struct usage
    {
        time_point second;
        std::int64_t admitted = 0;
        std::int64_t left_out = 0;
    };

    static void begin_second(usage& use, time_point now);

    std::map<event, usage> events;
    time_point last_taken;
};

} // namespace chicory

#endif
