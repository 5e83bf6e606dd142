#include "policy/serving/wait_estimate.hpp"

#include <algorithm>
#include <cstdint>

namespace chicory::serving
{

wait_estimate::wait_estimate(
    time_point now, const std::vector<time_point>& starts, duration mean)
    : mean_run(mean)
{
    this->remaining.reserve(starts.size());
    std::int64_t overdue = 0;
    for (const time_point started : starts)
    {
        if (started + mean <= now)
        {
            ++overdue;
            continue;
        }
        this->remaining.push_back(started + mean - now);
    }
    // The end of a run that is longer than the mean cannot be predicted. Such
    // runs are expected to end one after the other over half of the mean
    // duration.
    for (std::int64_t index = 1; index <= overdue; ++index)
    {
        this->remaining.push_back(mean * index / (2 * overdue));
    }
    std::sort(this->remaining.begin(), this->remaining.end());
}

duration wait_estimate::wait_of(std::size_t position) const
{
    if (this->remaining.empty())
    {
        return this->mean_run;
    }
    const auto rounds =
        static_cast<std::int64_t>(position / this->remaining.size());
    return this->remaining[position % this->remaining.size()] +
           this->mean_run * rounds;
}

} // namespace chicory::serving
