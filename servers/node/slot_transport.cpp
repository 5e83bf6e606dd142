#include "servers/node/slot_transport.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_datagram_bytes = 65536;

} // namespace

slot_transport::slot_transport(
    asio::io_context& io,
    const node_settings& initial_settings,
    const node_members& initial_members,
    metrics& initial_counters,
    packet_hook hook)
    : context(io), settings(initial_settings), members(initial_members),
      counters(initial_counters), on_packet(std::move(hook)), socket(io)
{
}

result<void> slot_transport::start()
{
    boost::system::error_code code;
    const udp::endpoint local(
        asio::ip::make_address(this->settings.address, code),
        this->settings.slot_port);
    this->socket.open(local.protocol(), code);
    if (!code)
    {
        this->socket.bind(local, code);
    }
    if (code)
    {
        return make_error(
            error_kind::unavailable,
            "cannot bind UDP " + this->settings.address + ":" +
                std::to_string(this->settings.slot_port) + ": " +
                code.message());
    }
    this->socket.non_blocking(true);
    net::spawn_loop(
        this->context.get_executor(),
        "slot packets",
        [this]
        {
            return this->receive();
        });
    return boost::outcome_v2::success();
}

void slot_transport::send(
    const std::string& node, const wire::slot_packet& packet)
{
    if (node == this->settings.vm_id)
    {
        // Delivered later from the event loop, because the sender may be in
        // the middle of a scheduling decision.
        asio::post(
            this->context,
            [this, packet]
            {
                this->on_packet(this->settings.vm_id, packet);
            });
        return;
    }
    const std::optional<membership::vm> receiver = this->members.find(node);
    boost::system::error_code code;
    if (!receiver)
    {
        return;
    }
    const asio::ip::address address =
        asio::ip::make_address(receiver->address, code);
    if (code)
    {
        return;
    }
    this->socket.send_to(
        asio::buffer(
            this->settings.vm_id + '\n' + wire::encode_slot_packet(packet)),
        udp::endpoint(address, receiver->link_port),
        0,
        code);
}

asio::awaitable<void> slot_transport::receive()
{
    std::string buffer(max_datagram_bytes, '\0');
    udp::endpoint sender;
    while (true)
    {
        const auto [code, size] = co_await this->socket.async_receive_from(
            asio::buffer(buffer), sender, as_result);
        if (code)
        {
            // The system reports here that the receiver of an earlier datagram
            // was unreachable.
            continue;
        }
        const std::string_view bytes(buffer.data(), size);
        const std::size_t name_end = bytes.find('\n');
        if (name_end == std::string_view::npos)
        {
            continue;
        }
        const result<wire::slot_packet> packet =
            wire::decode_slot_packet(bytes.substr(name_end + 1));
        if (!packet)
        {
            this->counters.add("slot_packets_rejected_total");
            continue;
        }
        this->on_packet(std::string(bytes.substr(0, name_end)), packet.value());
    }
}

} // namespace chicory::node
