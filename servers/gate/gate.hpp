/// Public header of the gate library: the HTTP server for callers, admission
/// control and the queues in front of runners.
#ifndef CHICORY_SERVERS_GATE_GATE_HPP
#define CHICORY_SERVERS_GATE_GATE_HPP

#include "servers/gate/caller_server.hpp"
#include "servers/gate/gate_process.hpp"
#include "servers/gate/runner_owner.hpp"

#endif
