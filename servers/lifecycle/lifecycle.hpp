/// Public header of the lifecycle library, which starts and stops daemons.
#ifndef CHICORY_SERVERS_LIFECYCLE_LIFECYCLE_HPP
#define CHICORY_SERVERS_LIFECYCLE_LIFECYCLE_HPP

#include "servers/lifecycle/daemon_lifecycle.hpp"
#include "servers/lifecycle/daemon_program.hpp"
#include "servers/lifecycle/stop_signals.hpp"

#endif
