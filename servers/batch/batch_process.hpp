#ifndef CHICORY_SERVERS_BATCH_BATCH_PROCESS_HPP
#define CHICORY_SERVERS_BATCH_BATCH_PROCESS_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "net/net.hpp"
#include "servers/batch/chunk_holder.hpp"
#include "servers/batch/commit_runner.hpp"
#include "servers/batch/item_feeder.hpp"
#include "servers/batch/job_server.hpp"
#include "servers/batch/job_table.hpp"
#include "servers/dispatch/dispatch.hpp"
#include "servers/lifecycle/lifecycle.hpp"
#include "servers/settings/settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace chicory::batch
{

/// Connects the batch policy to the HTTP server, the platform services and the
/// owners of runners. Runs on one thread.
class batch_process
{
public:
    batch_process(
        boost::asio::io_context& context,
        vm_settings settings,
        lifecycles charts);

    /// Starts to listen. Error: unavailable when the port cannot be bound.
    result<void> start();

private:
    boost::asio::awaitable<void> drain();
    std::string describe_unfinished() const;

    boost::asio::io_context& context;
    vm_settings settings;
    lifecycles charts;
    metrics counters;
    identifier_source identifiers;
    dispatching::fleet_cache fleet;
    net::http_client client;
    std::unique_ptr<ports::table_service> service;
    std::unique_ptr<ports::object_store> objects;
    job_table table;
    dispatching::dispatcher owners;
    dispatching::control_subscription control;
    commit_runner commits;
    item_feeder feeder;
    chunk_holder holder;
    job_server server;
    daemon_lifecycle lifecycle;
    stop_signals signals;
};

} // namespace chicory::batch

#endif
