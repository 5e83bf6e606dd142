#ifndef CHICORY_POLICY_SERVING_ITEM_PLAN_HPP
#define CHICORY_POLICY_SERVING_ITEM_PLAN_HPP

#include "policy/serving/slot_messages.hpp"

#include <set>
#include <vector>

namespace chicory::serving
{

/// An item with what is left to do until its due time.
struct planned_item
{
    slot_id id;
    time_point due;
    duration expected_work = duration::zero();
};

/// Chooses the items that are put off when not all can be in time. Answers
/// the load pattern of more batch work than idle slots: by due times alone,
/// all items would come a little too late. Goes through the items by due time
/// and puts off the longest whenever the work so far does not fit before the
/// next due time, which puts off as few as can be (Moore and Hodgson).
/// `slots` is the mean number of slots that batch has.
std::set<slot_id>
choose_deferred(time_point now, std::vector<planned_item> items, double slots);

} // namespace chicory::serving

#endif
