#ifndef CHICORY_POLICY_SERVING_ITEM_PLAN_HPP
#define CHICORY_POLICY_SERVING_ITEM_PLAN_HPP

#include "policy/serving/slot_messages.hpp"

#include <set>
#include <vector>

namespace chicory::serving
{

/// An item with its due time and remaining work.
struct planned_item
{
    slot_id id;
    time_point due;
    duration expected_work = duration::zero();
};

/// Returns the items to defer when not all items can be completed in time.
/// Designed for more batch work than there are idle slots: if items were
/// ordered by due time alone, all of them would be slightly late. Processes the
/// items by due time and defers the longest one whenever the accumulated work
/// does not fit before the next due time, which minimizes the number of
/// deferred items (Moore-Hodgson algorithm). `slots` is the mean number of
/// slots available to batch.
std::set<slot_id>
choose_deferred(time_point now, std::vector<planned_item> items, double slots);

} // namespace chicory::serving

#endif
