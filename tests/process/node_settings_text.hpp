#ifndef CHICORY_TESTS_PROCESS_NODE_SETTINGS_TEXT_HPP
#define CHICORY_TESTS_PROCESS_NODE_SETTINGS_TEXT_HPP

#include "net/net.hpp"

#include <cstdint>
#include <string>

namespace chicory::process
{

/// Returns the settings of a chicory-node as TOML. The node listens for
/// requests and for readiness queries at the given addresses and uses the store
/// at a port on loopback. Its other ports are free ports.
std::string make_node_settings(
    const net::endpoint& requests,
    const net::endpoint& readiness,
    std::uint16_t store_port,
    const std::string& log_level);

} // namespace chicory::process

#endif
