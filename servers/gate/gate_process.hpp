#ifndef CHICORY_SERVERS_GATE_GATE_PROCESS_HPP
#define CHICORY_SERVERS_GATE_GATE_PROCESS_HPP

#include "servers/gate/caller_server.hpp"
#include "servers/gate/claim_sweeper.hpp"
#include "servers/gate/runner_owner.hpp"
#include "servers/lifecycle/lifecycle.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace chicory::gate
{

/// Connects the components of a gate process, all on one Asio context.
class gate_process
{
public:
    gate_process(boost::asio::io_context& context, vm_settings settings);

    /// Starts to listen for callers and for links of other processes. Error:
    /// unavailable when a port cannot be bound.
    result<void> start();

private:
    void begin_leaving();
    void drain();
    void stop_when_idle();
    std::string describe_unfinished() const;
    void handle_message(const wire::message& value, const reply_hook& reply);
    void send_to_all_gates(const wire::message& notice);
    void announce_leaving();

    boost::asio::io_context& context;
    vm_settings settings;
    metrics counters;
    dispatching::fleet_cache fleet;
    net::http_client client;
    std::unique_ptr<backend::backend_server> servers;
    dispatching::dispatcher owners;
    online::quarantine suspects;
    runner_owner owner;
    std::unique_ptr<ports::table_service> table;
    claim_keeper claims;
    claim_sweeper sweeper;
    gate_state state;
    caller_server callers;
    wire::link_server links;
    dispatching::control_subscription control;
    boost::asio::steady_timer drain_timer;
    daemon_lifecycle lifecycle;
    stop_signals signals;
};

} // namespace chicory::gate

#endif
