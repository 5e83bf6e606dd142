#include "policy/serving/item_retry.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::serving
{

namespace
{

/// Number of consecutive runs that may fail by coincidence, for example because
/// several runners stop at the same time.
constexpr int immediate_retries = 3;
constexpr duration initial_pause = std::chrono::seconds(5);
/// An item must run again within 20 s; otherwise it counts as lost.
constexpr duration max_pause = std::chrono::seconds(15);

} // namespace

duration choose_item_pause(int closed_runs)
{
    if (closed_runs < immediate_retries)
    {
        return duration::zero();
    }
    const int doublings = std::min(closed_runs - immediate_retries, 2);
    return std::min<duration>(max_pause, initial_pause * (1 << doublings));
}

} // namespace chicory::serving
