#include "core/log_budget.hpp"

#include <chrono>

namespace chicory
{

namespace
{

constexpr std::chrono::seconds budget_period(1);

} // namespace

void log_budget::begin_period(usage& use, time_point now)
{
    use.period_start = now;
    use.admitted = 0;
}

bool log_budget::admit(time_point now, event value, severity level)
{
    usage& use = this->events[value];
    if (use.admitted == 0 || now - use.period_start >= duration(budget_period))
    {
        begin_period(use, now);
    }
    const std::int64_t max_lines =
        level >= severity::warning ? warning_lines : info_lines;
    if (use.admitted >= max_lines)
    {
        ++use.dropped;
        return false;
    }
    ++use.admitted;
    return true;
}

std::vector<dropped_lines> log_budget::collect_dropped_lines(time_point now)
{
    std::vector<dropped_lines> lines;
    if (now - this->last_collected < duration(budget_period))
    {
        return lines;
    }
    this->last_collected = now;
    for (auto& [value, use] : this->events)
    {
        if (use.dropped > 0)
        {
            lines.push_back({value, use.dropped});
            use.dropped = 0;
        }
    }
    return lines;
}

} // namespace chicory
