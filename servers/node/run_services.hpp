#ifndef CHICORY_SERVERS_NODE_RUN_SERVICES_HPP
#define CHICORY_SERVERS_NODE_RUN_SERVICES_HPP

#include "core/core.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/node_memory.hpp"
#include "servers/node/node_settings.hpp"
#include "servers/node/runner_caller.hpp"
#include "servers/node/slot_client.hpp"
#include "servers/node/stop_state.hpp"

namespace chicory::node
{

/// Services that the online calls and the items of a node share to execute
/// requests on runners.
struct run_services
{
    fleet_state& fleet;
    slot_client& slots;
    runner_caller& runners;
    metrics& counters;
    const response_size_limits& limits;
    stop_state& stop;
    const std::shared_ptr<node_memory>& memory;
};

} // namespace chicory::node

#endif
