#include "core/log_budget.hpp"

#include <chrono>

namespace chicory
{

namespace
{

constexpr std::chrono::seconds budget_time(1);

} // namespace

void log_budget::begin_second(usage& use, time_point now)
{
    use.second = now;
    use.admitted = 0;
}

bool log_budget::admit(time_point now, event value, severity level)
{
    usage& use = this->events[value];
    if (use.admitted == 0 || now - use.second >= duration(budget_time))
    {
        begin_second(use, now);
    }
    const std::int64_t bound =
        level >= severity::warning ? warning_lines : info_lines;
    if (use.admitted >= bound)
    {
        ++use.left_out;
        return false;
    }
    ++use.admitted;
    return true;
}

std::vector<dropped_lines> log_budget::collect_dropped_lines(time_point now)
{
    std::vector<dropped_lines> lines;
    if (now - this->last_taken < duration(budget_time))
    {
        return lines;
    }
    this->last_taken = now;
    for (auto& [value, use] : this->events)
    {
        if (use.left_out > 0)
        {
            lines.push_back({value, use.left_out});
            use.left_out = 0;
        }
    }
    return lines;
}

} // namespace chicory
