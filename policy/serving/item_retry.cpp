#include "policy/serving/item_retry.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::serving
{

namespace
{

/// Runs in a row that may fail by chance, as when several runners stop.
constexpr int closed_by_chance = 3;
constexpr duration first_pause = std::chrono::seconds(5);
/// An item must run again within 20 s, or it counts as lost.
constexpr duration longest_pause = std::chrono::seconds(15);

} // namespace

duration choose_item_pause(int closed)
{
    if (closed < closed_by_chance)
    {
        return duration::zero();
    }
    const int doublings = std::min(closed - closed_by_chance, 2);
    return std::min<duration>(longest_pause, first_pause * (1 << doublings));
}

} // namespace chicory::serving
