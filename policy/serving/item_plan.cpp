#include "policy/serving/item_plan.hpp"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

namespace chicory::serving
{

std::set<slot_id>
choose_put_off(time_point now, std::vector<planned_item> items, double slots)
{
    std::sort(
        items.begin(),
        items.end(),
        [](const planned_item& left, const planned_item& right)
        {
            return std::tie(left.due, left.id) < std::tie(right.due, right.id);
        });
    std::set<slot_id> put_off;
    std::priority_queue<std::pair<duration, const planned_item*>> kept;
    duration work = duration::zero();
    for (const planned_item& item : items)
    {
        if (now + item.expected_work > item.due)
        {
            put_off.insert(item.id);
            continue;
        }
        kept.emplace(item.expected_work, &item);
        work += item.expected_work;
        const double room =
            static_cast<double>((item.due - now).count()) * slots;
        while (static_cast<double>(work.count()) > room && !kept.empty())
        {
            const auto [longest, dropped] = kept.top();
            kept.pop();
            work -= longest;
            put_off.insert(dropped->id);
        }
    }
    return put_off;
}

} // namespace chicory::serving
