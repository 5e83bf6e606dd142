#ifndef CHICORY_SERVERS_NODE_PEER_EXCHANGE_HPP
#define CHICORY_SERVERS_NODE_PEER_EXCHANGE_HPP

#include "net/net.hpp"
#include "platform/platform.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/node_members.hpp"
#include "servers/node/node_settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <random>
#include <string>
#include <vector>

namespace chicory::node
{

/// HTTP exchange between nodes: forwards calls of other nodes to the store, for
/// nodes that the store does not serve, and sends this node's state to nodes
/// that cannot read it from the store.
class peer_exchange
{
public:
    peer_exchange(
        boost::asio::io_context& io,
        const node_settings& initial_settings,
        platform::store_client& initial_store,
        fleet_state& initial_fleet,
        node_members& initial_members);

    /// Starts the synchronization from other nodes.
    void start();

    /// Handles a request of another node.
    boost::asio::awaitable<void> handle_request(net::http_exchange& exchange);

    /// Returns nodes that may forward calls to the store. Nodes of this node's
    /// availability zone come first.
    std::vector<net::endpoint> choose_relays();

private:
    boost::asio::awaitable<void> forward_to_store(net::http_exchange& exchange);
    boost::asio::awaitable<void> sync_from_peers();
    std::string encode_state() const;
    void apply_state(const std::string& encoded);
    std::vector<net::endpoint> choose_sync_peers();

    boost::asio::io_context& context;
    const node_settings& settings;
    platform::store_client& store;
    fleet_state& fleet;
    node_members& members;
    net::http_client http;
    std::mt19937_64 generator;
};

} // namespace chicory::node

#endif
