#ifndef CHICORY_SERVERS_CONTROL_PEER_CONFIGURATION_HPP
#define CHICORY_SERVERS_CONTROL_PEER_CONFIGURATION_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "policy/configuration/configuration.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicory::control
{

/// Response of a peer: the requested changes, or all rows.
using peer_response = std::variant<
    configuration::table_set,
    std::vector<configuration::history_entry>>;

/// Serves the adopted configuration to other control processes over HTTP as
/// `GET /configuration?after=REVISION`. The TCP port has the same number as
/// the gossip port.
class peer_configuration_server
{
public:
    /// The adoption must outlive the server.
    peer_configuration_server(
        boost::asio::io_context& io,
        const configuration::adoption& initial_adoption);

    /// Sets the function that returns the response body for `GET /metrics`.
    void set_metrics_hook(std::function<std::string()> hook);

    /// Starts to listen. Error: unavailable when the port cannot be bound.
    result<void> start(const net::endpoint& local);

    /// Returns the bound TCP port.
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> handle_exchange(net::http_exchange& exchange);

    const configuration::adoption& adopted;
    std::function<std::string()> render_metrics;
    net::http_server server;
};

/// Requests the changes after a revision from a peer; zero requests all rows.
/// Errors: unavailable, timeout, invalid_input.
boost::asio::awaitable<result<peer_response>> fetch_from_peer(
    net::http_client& client, net::endpoint peer, std::int64_t after);

} // namespace chicory::control

#endif
