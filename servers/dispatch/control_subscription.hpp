#ifndef CHICORY_SERVERS_DISPATCH_CONTROL_SUBSCRIPTION_HPP
#define CHICORY_SERVERS_DISPATCH_CONTROL_SUBSCRIPTION_HPP

#include "servers/dispatch/fleet_cache.hpp"
#include "wire/wire.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace chicory::dispatching
{

/// Keeps a fleet cache up to date from the control process of the same VM. The
/// last known state remains valid while that process is down.
class control_subscription
{
public:
    control_subscription(
        boost::asio::any_io_executor executor,
        net::endpoint control,
        std::string vm_id,
        wire::subscriber_kind subscriber,
        fleet_cache& fleet);

    /// Connects to the control process, and reconnects after each loss until
    /// stopped.
    void start();
    void stop();

    /// Sends a message to the control process; drops it while there is no link.
    void send(const wire::message& value);

private:
    void connect();
    void receive(const wire::message& value);

    boost::asio::any_io_executor executor;
    net::endpoint control;
    std::string vm_id;
    wire::subscriber_kind kind;
    fleet_cache& fleet;
    boost::asio::steady_timer retry_timer;
    std::shared_ptr<wire::link> link;
    bool stopped = false;
};

} // namespace chicory::dispatching

#endif
