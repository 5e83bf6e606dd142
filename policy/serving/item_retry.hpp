#ifndef CHICORY_POLICY_SERVING_ITEM_RETRY_HPP
#define CHICORY_POLICY_SERVING_ITEM_RETRY_HPP

#include "core/core.hpp"

namespace chicory::serving
{

/// Returns the delay before the next run of an item, after `closed_runs`
/// consecutive runs in which the runner closed the connection before any new
/// event. Designed for bursts of crashes in which several runners crash under
/// the same item: an item never crashes runners by itself, so it waits for
/// less than a second, however often that happens.
duration choose_item_pause(int closed_runs);

} // namespace chicory::serving

#endif
