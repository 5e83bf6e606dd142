#ifndef CHICORY_SERVERS_CONTROL_CLIENT_CLIENT_SETTINGS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_CLIENT_SETTINGS_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicory::control
{

/// Settings of chicoryctl.
struct client_settings
{
    /// Name of the operator in the history of the configuration.
    std::string operator_name;
    drivers::platform_settings platform;
    /// Caller-facing HTTP endpoints of the gates that `status` queries.
    std::vector<net::endpoint> gates;
    /// Store of chicory-node, for `quarantine`; the object store's endpoint
    /// unless set.
    net::endpoint record_store;
    /// Folder of the state charts.
    std::string charts;
};

/// Reads the settings file. Error: invalid_input with one line for each fault
/// of the file.
result<client_settings> read_client_settings(const std::string& path);

/// Parses an endpoint such as "127.0.0.1:8080" or "[::1]:8080". Error:
/// invalid_input.
result<net::endpoint> parse_endpoint(std::string_view text);

} // namespace chicory::control

#endif
