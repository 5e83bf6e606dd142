#include "policy/serving/item_plan.hpp"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

namespace chicory::serving
{

std::set<slot_id>
choose_deferred(time_point now, std::vector<planned_item> items, double slots)
{
    std::sort(
        items.begin(),
        items.end(),
        [](const planned_item& left, const planned_item& right)
        {
            return std::tie(left.due, left.id) < std::tie(right.due, right.id);
        });
    std::set<slot_id> deferred;
    std::priority_queue<std::pair<duration, const planned_item*>> planned;
    duration work = duration::zero();
    for (const planned_item& item : items)
    {
        if (now + item.expected_work > item.due)
        {
            deferred.insert(item.id);
            continue;
        }
        planned.emplace(item.expected_work, &item);
        work += item.expected_work;
        const double capacity =
            static_cast<double>((item.due - now).count()) * slots;
        while (static_cast<double>(work.count()) > capacity && !planned.empty())
        {
            const auto [longest, dropped] = planned.top();
            planned.pop();
            work -= longest;
            deferred.insert(dropped->id);
        }
    }
    return deferred;
}

} // namespace chicory::serving
