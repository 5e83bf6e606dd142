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

/// Keeps the view of the fleet and the configuration of one VM and tells its
/// gate and its batch process.
class control_process
{
public:
    control_process(boost::asio::io_context& io, vm_settings source);

    /// Starts to listen and to watch. Error: unavailable when a port cannot
    /// be bound.
    result<void> start();

private:
    void accept(const std::shared_ptr<wire::link>& accepted);
    void take(const std::shared_ptr<wire::link>& sender, wire::message value);
    void on_subscribe(
        const std::shared_ptr<wire::link>& subscriber,
        wire::subscriber_kind kind);
    void on_gate_back(const std::shared_ptr<wire::link>& subscriber);
    void await_gate();
    void withdraw_without_gate();
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
    metrics numbers;
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
    /// Last gate that subscribed; a VM whose gate has gone owns no runner.
    std::shared_ptr<wire::link> gate;
    boost::asio::steady_timer gate_timer;
    /// Neighbour that said that this VM is leaving, until it is back.
    std::weak_ptr<wire::link> leaver;
    bool leaving = false;
    boost::asio::steady_timer view_timer;
    bool view_waits = false;
    std::uint64_t pushed_version = 0;
    daemon_lifecycle life;
    stop_signals signals;
    boost::asio::steady_timer stop_timer;
};

} // namespace chicory::control

#endif
