#include "policy/serving/item_retry.hpp"

#include <algorithm>
#include <chrono>

namespace chicory::serving
{

namespace
{

constexpr duration first_pause = std::chrono::milliseconds(50);
constexpr int max_doublings = 4;

} // namespace

duration choose_item_pause(int closed_runs)
{
    if (closed_runs <= 0)
    {
        return duration::zero();
    }
    return first_pause * (1 << std::min(closed_runs - 1, max_doublings));
}

} // namespace chicory::serving
