#ifndef CHICORY_SERVERS_NODE_SLOT_TRANSPORT_HPP
#define CHICORY_SERVERS_NODE_SLOT_TRANSPORT_HPP

#include "core/core.hpp"
#include "servers/node/node_members.hpp"
#include "servers/node/node_settings.hpp"
#include "wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>

namespace chicory::node
{

/// Sends and receives the datagrams between nodes and slot coordinators over
/// UDP. A datagram that cannot be sent is dropped without an error, just as if
/// the network had dropped it.
class slot_transport
{
public:
    using packet_hook = std::function<void(
        const std::string& sender, const wire::slot_packet& packet)>;

    /// `hook` is called for each packet received, including packets that this
    /// node sends to itself.
    slot_transport(
        boost::asio::io_context& io,
        const node_settings& initial_settings,
        const node_members& initial_members,
        metrics& counters,
        packet_hook hook);

    /// Binds the UDP port and starts to receive. Error: unavailable when the
    /// port cannot be bound.
    result<void> start();

    /// Sends a packet to a node, this one included.
    void send(const std::string& node, const wire::slot_packet& packet);

private:
    boost::asio::awaitable<void> receive();

    boost::asio::io_context& context;
    const node_settings& settings;
    const node_members& members;
    metrics& counters;
    packet_hook on_packet;
    boost::asio::ip::udp::socket socket;
};

} // namespace chicory::node

#endif
