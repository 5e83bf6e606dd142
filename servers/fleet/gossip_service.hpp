#ifndef CHICORY_SERVERS_FLEET_GOSSIP_SERVICE_HPP
#define CHICORY_SERVERS_FLEET_GOSSIP_SERVICE_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "policy/membership/membership.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicory::fleet
{

/// Runs the membership protocol over UDP.
class gossip_service
{
public:
    /// Called after each change of the view, and when a member reports a higher
    /// revision.
    using change_hook = std::function<void()>;

    gossip_service(
        boost::asio::io_context& io,
        membership::vm self,
        metrics& shared_counters,
        change_hook hook);

    /// Binds the UDP socket and starts the protocol. Error: unavailable if the
    /// socket cannot be bound; the text names the address and port.
    result<void> start(const net::endpoint& local_endpoint);

    /// Applies an update from outside the protocol.
    void on_update(
        const membership::member_update& update,
        membership::update_source source = membership::update_source::member);

    /// Handles the VM list's entry for this VM, which shows the address and
    /// ports at which others reach it.
    void on_own_listing(const membership::vm& listed);

    /// Sets the configuration revision in force on this node.
    void set_revision(std::int64_t revision);

    /// Announces that this VM is leaving, or that it no longer intends to
    /// leave.
    void leave();
    void stay();

    const membership::gossip& state() const;

private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> tick();
    void send(const std::vector<membership::outgoing_gossip>& messages);
    void report_changes();

    boost::asio::io_context& context;
    boost::asio::ip::udp::socket socket;
    membership::gossip members;
    metrics& counters;
    change_hook on_change;
    std::uint64_t reported_version = 0;
    std::int64_t reported_revision = 0;
    std::map<std::string, membership::vm_state> logged;
};

} // namespace chicory::fleet

#endif
