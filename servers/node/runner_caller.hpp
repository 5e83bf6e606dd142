#ifndef CHICORY_SERVERS_NODE_RUNNER_CALLER_HPP
#define CHICORY_SERVERS_NODE_RUNNER_CALLER_HPP

#include "net/net.hpp"
#include "platform/platform.hpp"
#include "policy/serving/serving.hpp"
#include "servers/node/fleet_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace chicory::node
{

/// Outcome of the delivery of a request to a runner.
enum class delivery_outcome
{
    /// The runner responded; the response is in `stream`.
    responding,
    /// No connection was established; the request was not run.
    not_sent,
    /// The runner refused the request; it was not run.
    not_run,
    /// The runner is not registered, or another runner has its address; the
    /// request was not run.
    wrong_runner,
    /// The runner has other weights than the request names; it was not run.
    other_weights,
    /// The request was not sent because the runner is leaving.
    leaving,
    /// The request was sent and no response came; it may have run.
    unknown,
};

/// Result of sending a request to a runner.
struct runner_outcome
{
    delivery_outcome delivery = delivery_outcome::not_sent;
    std::unique_ptr<net::http_stream> stream;
    std::string failure;
    /// True when the runner closed the connection after the request was sent.
    bool closed = false;
    /// Load that the head of the response stated.
    serving::runner_load load = {};
    /// Reason for which the runner cannot run this request although it is
    /// neither full nor leaving; nothing if it did not refuse the request or is
    /// full or leaving.
    std::optional<serving::hold_reason> unsuitable = {};
};

/// Sends requests to runners and records in the runner directory which runners
/// are unreachable, replaced or leaving.
class runner_caller
{
public:
    /// Called with a runner when it announces for the first time that it is
    /// leaving.
    using leaving_hook = std::function<void(const serving::runner_entry&)>;

    runner_caller(
        boost::asio::any_io_executor executor,
        fleet_state& initial_fleet,
        net::response_limits initial_limits,
        leaving_hook hook);

    /// Sends a request to a runner that is in the directory. `head_limit` is
    /// the maximum time until the response begins.
    boost::asio::awaitable<runner_outcome> send(
        const std::string& runner,
        net::http_request request,
        duration head_limit,
        net::http_cancellation& cancellation);

    /// Checks whether a runner that closed the connection of a run still
    /// accepts connections.
    boost::asio::awaitable<serving::runner_probe>
    probe(const std::string& runner);

private:
    void record_leaving(
        const serving::runner_entry& target_runner,
        const net::http_response& head);

    net::http_client http;
    fleet_state& fleet;
    net::response_limits response_limits;
    leaving_hook on_leaving;
};

/// Returns whether an error means that the runner closed the connection.
bool is_closed(const error& failure);

/// Return the outcome with which a slot is released. An end of which nothing
/// else is known is `crashed` if the runner closed the connection.
serving::slot_outcome to_slot_outcome(const error& stream_failure);
serving::slot_outcome to_slot_outcome(const runner_outcome& outcome);

} // namespace chicory::node

#endif
