#ifndef CHICORY_SERVERS_CONTROL_CONFIGURATION_WATCH_HPP
#define CHICORY_SERVERS_CONTROL_CONFIGURATION_WATCH_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "net/net.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/membership/membership.hpp"
#include "servers/control/peer_configuration.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace chicory::control
{

/// Connects the watch to the membership state and to its process.
struct watch_hooks
{
    /// Returns the membership state.
    std::function<const membership::gossip&()> members;
    /// Called after each adoption.
    std::function<void(const configuration::table_set&)> on_adopted;
    /// Returns the metrics of the process in the Prometheus text format.
    std::function<std::string()> render_metrics;
};

/// Keeps the configuration of one node at the newest revision. Polls the
/// revision row at the node's share of the fleet's read rate, fetches changes
/// from peers that have a higher revision, and loads the first configuration
/// from peers while the table service is unavailable.
class configuration_watch
{
public:
    /// The client and the table service must outlive the watch.
    configuration_watch(
        boost::asio::io_context& io,
        net::http_client& http,
        ports::table_service& service,
        watch_hooks initial_hooks,
        std::uint64_t seed);

    /// Starts to serve the configuration to peers and to watch for changes.
    /// Error: unavailable when the port cannot be bound.
    result<void> start(const net::endpoint& local);

    /// Returns the adopted configuration and its retained changes.
    const configuration::adoption& state() const;

    /// Returns the TCP port on which peers are served.
    std::uint16_t port() const;

private:
    boost::asio::awaitable<void> start_cold();
    boost::asio::awaitable<void> poll();
    boost::asio::awaitable<void> follow_peers();
    boost::asio::awaitable<void> read_newer();
    boost::asio::awaitable<result<void>> read_changes();
    boost::asio::awaitable<result<void>> read_all();
    boost::asio::awaitable<bool> update_from_peer(std::string id);
    boost::asio::awaitable<void> fetch_start_tables(
        configuration::cold_start& start_attempt, std::string id);
    std::vector<std::string> live_peers() const;
    net::endpoint find_peer(const std::string& id) const;
    void handle_offer_outcome(result<configuration::offer_outcome> offered);
    void record_table_service_outcome(const result<void>& outcome);

    boost::asio::io_context& context;
    net::http_client& client;
    ports::table_service& table;
    watch_hooks hooks;
    configuration::adoption adopted;
    configuration::poll_share share;
    peer_configuration_server server;
    bool table_available = true;
    bool reading = false;
};

} // namespace chicory::control

#endif
