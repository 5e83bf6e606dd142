/// Public header of the dispatch library: the code that gates and batch
/// processes share to reach runners through their owners.
#ifndef CHICORY_SERVERS_DISPATCH_DISPATCH_HPP
#define CHICORY_SERVERS_DISPATCH_DISPATCH_HPP

#include "servers/dispatch/control_subscription.hpp"
#include "servers/dispatch/dispatcher.hpp"
#include "servers/dispatch/fleet_cache.hpp"
#include "servers/dispatch/message_queue.hpp"
#include "servers/dispatch/owner_choice.hpp"
#include "servers/dispatch/route_access.hpp"

#endif
