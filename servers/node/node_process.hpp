#ifndef CHICORY_SERVERS_NODE_NODE_PROCESS_HPP
#define CHICORY_SERVERS_NODE_NODE_PROCESS_HPP

#include "platform/platform.hpp"
#include "servers/lifecycle/lifecycle.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/job_api.hpp"
#include "servers/node/job_runner.hpp"
#include "servers/node/job_store.hpp"
#include "servers/node/node_members.hpp"
#include "servers/node/node_settings.hpp"
#include "servers/node/online_call.hpp"
#include "servers/node/peer_exchange.hpp"
#include "servers/node/quarantine_records.hpp"
#include "servers/node/runner_caller.hpp"
#include "servers/node/slot_client.hpp"
#include "servers/node/slot_coordinator.hpp"
#include "servers/node/slot_topology.hpp"
#include "servers/node/slot_transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace chicory::node
{

/// The process of an entry VM: handles callers' requests, runs jobs, and takes
/// part in the coordination of slots.
class node_process
{
public:
    node_process(boost::asio::io_context& io, node_settings source);

    /// Starts listening and joins the fleet. Error: unavailable when a port
    /// cannot be bound.
    result<void> start();

private:
    boost::asio::awaitable<void> serve_caller(net::http_exchange& exchange);
    /// Reads the body of a caller's request and reserves memory for it while it
    /// arrives. Refuses a body that exceeds the limit with status 413, and one
    /// without memory as not run. Errors: invalid_input when the body is too
    /// long, overloaded when there is no memory, and those of the read.
    boost::asio::awaitable<result<std::string>> read_caller_body(
        net::http_exchange& exchange,
        const serving::serving_configuration& configuration,
        body_lease& held);
    /// Responds with status 413 and returns the error.
    boost::asio::awaitable<error>
    reject_long_body(net::http_exchange& exchange, std::size_t limit);
    /// Refuses a request for lack of memory.
    boost::asio::awaitable<void>
    refuse_body(net::http_exchange& exchange, std::size_t received);
    void set_memory_gauges();
    boost::asio::awaitable<void> serve_online(
        net::http_exchange& exchange,
        std::shared_ptr<const serving::serving_configuration> configuration,
        const serving::serving_route& route,
        std::string organisation,
        time_point arrived);
    boost::asio::awaitable<void> serve_submission(
        net::http_exchange& exchange,
        std::shared_ptr<const serving::serving_configuration> configuration,
        const serving::serving_route& route);
    boost::asio::awaitable<void> serve_readiness(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    serve_entry_addresses(net::http_exchange& exchange);
    /// Sets the gauges of the speeds and loads of the runners that this node
    /// coordinates.
    void set_speed_gauges();
    boost::asio::awaitable<void> serve_metrics(net::http_exchange& exchange);
    void handle_slot_packet(
        const std::string& sender, const wire::slot_packet& packet);
    void on_adopted(const serving::serving_configuration& configuration);
    void on_members_changed();
    void await_reload();
    bool is_ready() const;
    std::size_t open_requests() const;
    void call_later(duration delay, std::function<void()> hook);
    void announce();
    void drain();
    void await_drained();
    /// Ends the work in progress with answers, as the time for it is over.
    void end_open_work();
    /// Exits the process, after the work that is still in progress was ended
    /// with answers.
    void exit_when_answered();

    boost::asio::io_context& context;
    node_settings settings;
    std::uint64_t incarnation;
    metrics counters;
    stop_state stop;
    std::shared_ptr<node_memory> memory;
    platform::store_client store;
    fleet_state fleet;
    node_members members;
    peer_exchange peers;
    slot_transport packets;
    slot_topology topology;
    quarantine_records quarantines;
    slot_coordinator coordinator;
    slot_client slots;
    runner_caller runners;
    job_store jobs;
    job_runner job_work;
    job_api job_calls;
    net::http_server caller_server;
    net::http_server readiness_server;
    net::http_server entry_server;
    net::http_server peer_server;
    net::http_server metrics_server;
    daemon_lifecycle lifecycle;
    stop_signals signals;
    boost::asio::signal_set reload_signals;
    boost::asio::steady_timer drain_timer;
    /// True after `end_open_work` has ended the online requests.
    bool calls_ended = false;
    int exit_polls = 0;
    /// Online requests in progress.
    std::shared_ptr<std::set<std::shared_ptr<online_call>>> open_calls =
        std::make_shared<std::set<std::shared_ptr<online_call>>>();
};

} // namespace chicory::node

#endif
