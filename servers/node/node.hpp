/// Public header of the node library: the chicory-node process of an entry VM.
#ifndef CHICORY_SERVERS_NODE_NODE_HPP
#define CHICORY_SERVERS_NODE_NODE_HPP

#include "servers/node/node_process.hpp"
#include "servers/node/node_settings.hpp"

#endif
