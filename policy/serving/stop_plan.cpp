#include "policy/serving/stop_plan.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::serving
{

namespace
{

/// Times of a stop with a long grace period; a shorter one is divided in the
/// same proportions as `full_grace`.
constexpr std::chrono::milliseconds full_grace(8000);
constexpr std::chrono::milliseconds keep_connections_time(2000);
constexpr std::chrono::milliseconds announce_time(2500);
/// Time before the end of the grace period at which unfinished work is ended.
constexpr std::chrono::milliseconds answer_reserve(400);
/// Time before the end of the grace period that is left for the exit.
constexpr std::chrono::milliseconds exit_reserve(200);

duration scale(duration full, duration grace)
{
    return std::min<duration>(
        full, full * grace.count() / duration(full_grace).count());
}

} // namespace

stop_plan::stop_plan(time_point signal_time, duration grace_period)
    : signalled(signal_time), grace(std::max(grace_period, duration::zero()))
{
}

time_point stop_plan::signalled_at() const
{
    return this->signalled;
}

time_point stop_plan::closes_connections_at() const
{
    return this->signalled + scale(keep_connections_time, this->grace);
}

time_point stop_plan::announced_at() const
{
    return this->signalled + scale(announce_time, this->grace);
}

time_point stop_plan::work_ends_at() const
{
    return this->signalled + this->grace - scale(answer_reserve, this->grace);
}

time_point stop_plan::exits_at() const
{
    return this->signalled + this->grace - scale(exit_reserve, this->grace);
}

bool stop_plan::admits(time_point latest_end) const
{
    return latest_end <= this->work_ends_at();
}

} // namespace chicory::serving
