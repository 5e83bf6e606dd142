#ifndef CHICORY_POLICY_SERVING_ITEM_RETRY_HPP
#define CHICORY_POLICY_SERVING_ITEM_RETRY_HPP

#include "core/core.hpp"

namespace chicory::serving
{

/// Returns how long an item waits before its next run, after `closed` runs in
/// a row in which the runner closed the connection before any new event.
/// Answers the load pattern of an item that crashes each runner that begins
/// it: it costs three runners at once, then one in a while.
duration choose_item_pause(int closed_runs);

} // namespace chicory::serving

#endif
