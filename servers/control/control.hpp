/// Public header of the control library, which maintains the view of the fleet
/// and the configuration on one VM.
#ifndef CHICORY_SERVERS_CONTROL_CONTROL_HPP
#define CHICORY_SERVERS_CONTROL_CONTROL_HPP

#include "servers/control/configuration_watch.hpp"
#include "servers/control/control_process.hpp"
#include "servers/control/orders_service.hpp"
#include "servers/control/peer_configuration.hpp"
#include "servers/control/vm_watch.hpp"
#include "servers/fleet/fleet.hpp"

#endif
