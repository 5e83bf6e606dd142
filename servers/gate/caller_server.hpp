#ifndef CHICORY_SERVERS_GATE_CALLER_SERVER_HPP
#define CHICORY_SERVERS_GATE_CALLER_SERVER_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "servers/dispatch/dispatch.hpp"
#include "servers/gate/claim_keeper.hpp"
#include "servers/gate/gate_state.hpp"
#include "servers/gate/key_guard.hpp"
#include "servers/gate/online_request.hpp"
#include "servers/settings/settings.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>

namespace chicory::gate
{

/// Serves the callers' HTTP calls: online requests, redirects of batch calls,
/// the list of entry points, health and metrics.
class caller_server
{
public:
    caller_server(gate_state& state, claim_keeper& claims);

    /// Starts to listen on the gate's HTTP address. Errors: invalid_input when
    /// it is not an IP address; unavailable when it cannot be bound.
    result<void> listen();
    /// Stops accepting connections and closes idle ones. Requests in progress
    /// are completed.
    void stop_accepting();
    /// Returns the number of requests in progress.
    std::size_t in_progress() const;

private:
    boost::asio::awaitable<void> handle(net::http_exchange& exchange);
    boost::asio::awaitable<void> handle_online(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    handle_entry_points(net::http_exchange& exchange);
    boost::asio::awaitable<void> redirect_batch(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    refuse(net::http_exchange& exchange, api_error failure);
    boost::asio::awaitable<void>
    respond_to_used_key(net::http_exchange& exchange, key_response reply);
    boost::asio::awaitable<void>
    serve(net::http_exchange& exchange, const online_request& request);

    gate_state& state;
    claim_keeper& claims;
    const vm_settings& settings;
    dispatching::fleet_cache& fleet;
    metrics& counters;
    net::http_server server;
};

} // namespace chicory::gate

#endif
