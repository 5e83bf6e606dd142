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

/// Exchange between nodes: passes calls of the store on for nodes that it
/// does not serve, and tells what this node knows to nodes that cannot read
/// it from the store.
class peer_exchange
{
public:
    peer_exchange(
        boost::asio::io_context& io,
        const node_settings& source,
        platform::store_client& its_store,
        fleet_state& known,
        node_members& initial_members);

    void start();

    /// Answers another node.
    boost::asio::awaitable<void> handle_request(net::http_exchange& exchange);

    /// Returns nodes that may pass calls of the store on, some of the own
    /// zone first.
    std::vector<net::endpoint> choose_relays();

private:
    boost::asio::awaitable<void> pass_on(net::http_exchange& exchange);
    boost::asio::awaitable<void> learn();
    std::string tell() const;
    void hear(const std::string& told);
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
