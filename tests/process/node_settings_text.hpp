#ifndef CHICORY_TESTS_PROCESS_NODE_SETTINGS_TEXT_HPP
#define CHICORY_TESTS_PROCESS_NODE_SETTINGS_TEXT_HPP

#include "net/net.hpp"

#include <cstdint>
#include <string>

namespace chicory::process
{

/// Returns settings of a chicory-node that listens for callers and for
/// questions after its readiness at these addresses and has the store at a
/// port on loopback. Its other ports are free ones.
std::string make_node_settings(
    const net::endpoint& requests,
    const net::endpoint& readiness,
    std::uint16_t store_port,
    const std::string& log_level);

} // namespace chicory::process

#endif
