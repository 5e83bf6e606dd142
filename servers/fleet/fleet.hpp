/// Public header of the fleet library: the membership protocol over UDP.
#ifndef CHICORY_SERVERS_FLEET_FLEET_HPP
#define CHICORY_SERVERS_FLEET_FLEET_HPP

#include "servers/fleet/gossip_service.hpp"

#endif
