#include "experiments/bench/shared_server.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::bench
{

namespace
{

/// Tolerance for rounding errors in sums of work; far below the clock
/// resolution of 1 us.
constexpr double work_slack_us = 0.01;

double to_us(duration length)
{
    return static_cast<double>(length.count());
}

} // namespace

shared_server::shared_server(std::int64_t initial_slots) : slots(initial_slots)
{
}

void shared_server::start(
    std::int64_t run,
    duration first_byte_work,
    duration total_work,
    time_point now)
{
    this->advance(now);
    const double first = this->work_us + to_us(first_byte_work);
    const double end = this->work_us + to_us(total_work);
    this->runs[run] = {first, end};
    this->milestones.emplace(first, server_event{run, false});
    this->milestones.emplace(end, server_event{run, true});
}

void shared_server::remove(std::int64_t run, time_point now)
{
    this->advance(now);
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
    {
        return;
    }
    const auto [first, end] = found->second;
    for (const double milestone_us : {first, end})
    {
        const auto [begin, range_end] =
            this->milestones.equal_range(milestone_us);
        const auto milestone = std::find_if(
            begin,
            range_end,
            [run](const auto& entry)
            {
                return entry.second.run == run;
            });
        if (milestone != range_end)
        {
            this->milestones.erase(milestone);
        }
    }
    this->runs.erase(found);
}

std::optional<time_point> shared_server::next_milestone_time() const
{
    if (this->milestones.empty())
    {
        return std::nullopt;
    }
    const double remaining_us =
        std::max(0.0, this->milestones.begin()->first - this->work_us);
    const double wait_us = std::ceil(remaining_us / this->speed());
    return this->last_update + duration(static_cast<std::int64_t>(wait_us));
}

std::optional<server_event> shared_server::pop_due_milestone(time_point now)
{
    this->advance(now);
    const auto first = this->milestones.begin();
    if (first == this->milestones.end() ||
        first->first > this->work_us + work_slack_us)
    {
        return std::nullopt;
    }
    const server_event due = first->second;
    this->milestones.erase(first);
    return due;
}

std::int64_t shared_server::size() const
{
    return static_cast<std::int64_t>(this->runs.size());
}

bool shared_server::contains(std::int64_t run) const
{
    return this->runs.contains(run);
}

double shared_server::speed() const
{
    const std::int64_t busy = std::max(this->slots, this->size());
    return static_cast<double>(this->slots) / static_cast<double>(busy);
}

void shared_server::advance(time_point now)
{
    this->work_us += to_us(now - this->last_update) * this->speed();
    this->last_update = now;
}

} // namespace chicory::bench
