#ifndef CHICORY_SERVERS_BATCH_JOB_SERVER_HPP
#define CHICORY_SERVERS_BATCH_JOB_SERVER_HPP

#include "net/net.hpp"
#include "servers/batch/job_table.hpp"
#include "servers/batch/refusal.hpp"
#include "servers/batch/result_reader.hpp"
#include "servers/batch/submission.hpp"
#include "servers/dispatch/dispatch.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <variant>

namespace chicory::batch
{

/// Handles the HTTP calls of callers on jobs:
/// `POST /v1/batches?route=NAME`, `GET /v1/batches/ID`,
/// `GET /v1/batches/ID/results` and `POST /v1/batches/ID/cancel`.
class job_server
{
public:
    using accepted_hook = std::function<void()>;
    using cancelled_hook = std::function<void(const std::string& job)>;

    job_server(
        boost::asio::any_io_executor executor,
        dispatching::fleet_cache& fleet,
        job_table& table,
        ports::object_store& objects,
        const lifecycles& charts,
        identifier_source& identifiers,
        metrics& counters);

    void set_accepted_hook(accepted_hook hook);

    /// Sets the callback that is called for each job that a call to this
    /// process cancelled, after the row was written and before the response is
    /// sent.
    void set_cancelled_hook(cancelled_hook hook);

    /// Binds the port and starts to serve. Error: unavailable when the port
    /// cannot be bound.
    result<void> listen(const net::endpoint& local);

    void stop_accepting();

    std::size_t in_progress() const;

private:
    boost::asio::awaitable<void> handle(net::http_exchange& exchange);
    boost::asio::awaitable<void> submit(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    show(net::http_exchange& exchange, stored_job job);
    boost::asio::awaitable<void>
    cancel(net::http_exchange& exchange, stored_job job);
    boost::asio::awaitable<void>
    send_results(net::http_exchange& exchange, stored_job job);
    boost::asio::awaitable<void>
    respond(net::http_exchange& exchange, net::http_response response);
    boost::asio::awaitable<void>
    refuse(net::http_exchange& exchange, refusal failure);
    boost::asio::awaitable<std::variant<stored_job, refusal>>
    find_job(net::http_request head, std::string job);
    bool may_access(const net::http_request& head, const job_record& job) const;

    dispatching::fleet_cache& fleet;
    job_table& table;
    const lifecycles& charts;
    identifier_source& identifiers;
    metrics& counters;
    submission submissions;
    result_reader results;
    accepted_hook on_accepted;
    cancelled_hook on_cancelled;
    net::http_server server;
};

} // namespace chicory::batch

#endif
