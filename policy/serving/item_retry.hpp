#ifndef CHICORY_POLICY_SERVING_ITEM_RETRY_HPP
#define CHICORY_POLICY_SERVING_ITEM_RETRY_HPP

#include "core/core.hpp"

namespace chicory::serving
{

/// Returns the delay before the next run of an item, after `closed_runs`
/// consecutive runs in which the runner closed the connection before any new
/// event. Designed for an item that crashes every runner it runs on: it crashes
/// three runners without delay, and further ones only after a pause.
duration choose_item_pause(int closed_runs);

} // namespace chicory::serving

#endif
