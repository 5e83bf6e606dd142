/// Public header of the lifecycle library: how a daemon starts and stops.
#ifndef CHICORY_SERVERS_LIFECYCLE_LIFECYCLE_HPP
#define CHICORY_SERVERS_LIFECYCLE_LIFECYCLE_HPP

#include "servers/lifecycle/daemon_lifecycle.hpp"
#include "servers/lifecycle/daemon_program.hpp"
#include "servers/lifecycle/stop_signals.hpp"

#endif
