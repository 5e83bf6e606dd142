#ifndef CHICORY_SERVERS_CONTROL_CONTROL_PROCESS_HPP
#define CHICORY_SERVERS_CONTROL_CONTROL_PROCESS_HPP

#include "backend/backend.hpp"
#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "net/net.hpp"
#include "policy/membership/membership.hpp"
#include "servers/control/configuration_watch.hpp"
#include "servers/control/orders_service.hpp"
#include "servers/control/vm_watch.hpp"
#include "servers/fleet/fleet.hpp"
#include "servers/lifecycle/lifecycle.hpp"
#include "servers/settings/settings.hpp"
#include "wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace chicory::control
{

/// Maintains the view of the fleet and the configuration on one VM and sends
/// both to the gate and the batch process of the VM.
class control_process
{
public:
    control_process(boost::asio::io_context& io, vm_settings initial_settings);

    /// Starts to listen for subscribers and to watch the fleet and the
    /// configuration. Error: unavailable when a port cannot be bound.
    result<void> start();

private:
    void accept(const std::shared_ptr<wire::link>& accepted);
    void handle_message(
        const std::shared_ptr<wire::link>& sender, wire::message value);
    void on_subscribe(
        const std::shared_ptr<wire::link>& subscriber,
        wire::subscriber_kind kind);
    void on_gate_subscribed(const std::shared_ptr<wire::link>& subscriber);
    void start_gate_timer();
    void leave_without_gate();
    void on_leaving(
        const std::shared_ptr<wire::link>& sender,
        const wire::leaving_notice& notice);
    void on_closed(const std::shared_ptr<wire::link>& closed);
    void push(const wire::message& value);
    void schedule_view();
    void push_view();
    void announce();
    void drain();

    boost::asio::io_context& context;
    vm_settings settings;
    metrics counters;
    net::http_client client;
    std::unique_ptr<ports::table_service> table;
    std::unique_ptr<ports::vm_list> list;
    std::unique_ptr<backend::backend_server> backend;
    fleet::gossip_service members;
    configuration_watch configuration;
    vm_watch vms;
    orders_service orders;
    wire::link_server links;
    std::set<std::shared_ptr<wire::link>> subscribers;
    /// Gate that subscribed last; empty while it is disconnected. A VM
    /// without a gate owns no runners.
    std::shared_ptr<wire::link> gate;
    boost::asio::steady_timer gate_timer;
    /// Link to the process that announced that this VM is leaving; expires
    /// when that process disconnects.
    std::weak_ptr<wire::link> leaving_announcer;
    bool leaving = false;
    boost::asio::steady_timer view_timer;
    bool is_view_scheduled = false;
    std::uint64_t pushed_version = 0;
    daemon_lifecycle lifecycle;
    stop_signals signals;
    boost::asio::steady_timer stop_timer;
};

} // namespace chicory::control

#endif
