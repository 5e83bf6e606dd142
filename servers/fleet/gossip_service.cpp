#include "servers/fleet/gossip_service.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace chicory::fleet
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds tick_interval(50);
constexpr std::size_t receive_buffer_size = 4096;

/// Returns the size of a datagram on the network in bytes, including IP and UDP
/// headers.
std::int64_t datagram_size(std::size_t content)
{
    return static_cast<std::int64_t>(
        content + membership::gossip_settings().header_bytes);
}

event event_for(membership::vm_state state)
{
    switch (state)
    {
    case membership::vm_state::alive:
        return event::vm_alive;
    case membership::vm_state::suspect:
        return event::vm_suspect;
    case membership::vm_state::leaving:
        return event::vm_leaving;
    case membership::vm_state::dead:
        break;
    }
    return event::vm_dead;
}

} // namespace

gossip_service::gossip_service(
    asio::io_context& io,
    membership::vm self,
    metrics& shared_counters,
    change_hook hook)
    : context(io), socket(io), members(
                                   membership::gossip_settings(),
                                   self,
                                   hash_bytes(self.id, self.incarnation),
                                   read_monotonic_clock()),
      counters(shared_counters), on_change(std::move(hook))
{
}

result<void> gossip_service::start(const net::endpoint& local_endpoint)
{
    boost::system::error_code code;
    const asio::ip::address address =
        asio::ip::make_address(local_endpoint.address, code);
    const udp::endpoint bound(address, local_endpoint.port);
    if (!code)
    {
        this->socket.open(bound.protocol(), code);
    }
    if (!code)
    {
        this->socket.bind(bound, code);
    }
    if (code)
    {
        return make_error(
            error_kind::unavailable,
            "UDP socket on " + local_endpoint.address + ":" +
                std::to_string(local_endpoint.port) +
                ": expected to bind it, found " + code.message());
    }
    this->socket.non_blocking(true);
    net::spawn_loop(
        this->context.get_executor(),
        "gossip messages",
        [this]
        {
            return this->receive();
        });
    net::spawn_loop(
        this->context.get_executor(),
        "gossip ticks",
        [this]
        {
            return this->tick();
        });
    return boost::outcome_v2::success();
}

asio::awaitable<void> gossip_service::receive()
{
    std::array<char, receive_buffer_size> buffer{};
    udp::endpoint sender;
    while (true)
    {
        const auto [code, size] = co_await this->socket.async_receive_from(
            asio::buffer(buffer), sender, as_result);
        if (code)
        {
            // The operating system reports here that the receiver of an earlier
            // datagram was unreachable.
            continue;
        }
        const std::string bytes(buffer.data(), size);
        this->counters.add("gossip_received_bytes_total", datagram_size(size));
        const result<membership::gossip_message> message =
            membership::decode_gossip(bytes);
        if (!message)
        {
            continue;
        }
        this->send(
            this->members.on_message(read_monotonic_clock(), message.value()));
        this->report_changes();
    }
}

asio::awaitable<void> gossip_service::tick()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        this->send(this->members.on_tick(read_monotonic_clock()));
        this->report_changes();
        timer.expires_after(tick_interval);
        co_await timer.async_wait(as_result);
    }
}

void gossip_service::send(
    const std::vector<membership::outgoing_gossip>& messages)
{
    for (const membership::outgoing_gossip& outgoing : messages)
    {
        boost::system::error_code code;
        const asio::ip::address address =
            asio::ip::make_address(outgoing.address, code);
        if (code)
        {
            continue;
        }
        const std::string bytes = membership::encode(outgoing.message);
        this->counters.add(
            "gossip_sent_bytes_total", datagram_size(bytes.size()));
        // A datagram that cannot be sent counts as dropped.
        this->socket.send_to(
            asio::buffer(bytes),
            udp::endpoint(address, outgoing.port),
            0,
            code);
    }
}

void gossip_service::report_changes()
{
    const bool changed =
        this->members.version() != this->reported_version ||
        this->members.highest_revision() != this->reported_revision;
    if (!changed)
    {
        return;
    }
    this->reported_version = this->members.version();
    this->reported_revision = this->members.highest_revision();
    for (const auto& [id, record] : this->members.table().records())
    {
        const auto [entry, first] =
            this->logged.try_emplace(id, record.status.state);
        if (!first && entry->second == record.status.state)
        {
            continue;
        }
        entry->second = record.status.state;
        log_event(
            event_for(record.status.state),
            {{"vm", id}, {"incarnation", record.status.incarnation}});
    }
    this->on_change();
}

void gossip_service::on_update(
    const membership::member_update& update, membership::update_source source)
{
    this->members.on_update(read_monotonic_clock(), update, source);
    this->report_changes();
}

void gossip_service::on_own_listing(const membership::vm& listed)
{
    this->members.update_own_details(read_monotonic_clock(), listed);
    this->report_changes();
}

void gossip_service::set_revision(std::int64_t revision)
{
    this->members.set_revision(revision);
}

void gossip_service::leave()
{
    this->members.leave(read_monotonic_clock());
    this->report_changes();
}

void gossip_service::stay()
{
    this->members.stay(read_monotonic_clock());
    this->report_changes();
}

const membership::gossip& gossip_service::state() const
{
    return this->members;
}

} // namespace chicory::fleet
