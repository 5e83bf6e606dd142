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

/// How far a request got at a runner.
enum class delivery_outcome
{
    /// The runner answers; the answer is in `stream`.
    responding,
    /// No connection was made: not run.
    not_sent,
    /// The runner refused: not run.
    not_run,
    /// The runner is not the one meant, or is gone: not run.
    wrong_runner,
    /// Not sent: the runner is leaving.
    leaving,
    /// Sent, and no answer came: it may have run.
    unknown,
};

/// What sending a request to a runner came to.
struct runner_outcome
{
    delivery_outcome delivery = delivery_outcome::not_sent;
    std::unique_ptr<net::http_stream> stream;
    std::string failure;
    /// True when the runner closed the connection after the request was sent.
    bool closed = false;
};

/// Sends requests to runners and tells the directory what they show of them.
class runner_caller
{
public:
    /// Called with a runner when it says for the first time that it is leaving.
    using leaving_hook = std::function<void(const serving::runner_entry&)>;

    runner_caller(
        boost::asio::any_io_executor executor,
        fleet_state& known,
        net::response_limits bounds,
        leaving_hook hook);

    /// Sends a request to a runner that the directory knows. `head_limit`
    /// bounds the time until the answer begins.
    boost::asio::awaitable<runner_outcome> send(
        const std::string& runner,
        net::http_request request,
        duration head_limit,
        net::http_cancellation& cancellation);

private:
    void note_leaving(
        const serving::runner_entry& asked, const net::http_response& head);

    net::http_client http;
    fleet_state& fleet;
    net::response_limits answer;
    leaving_hook on_leaving;
};

/// Returns whether a failure is that the runner closed the connection.
bool is_closed(const error& failure);

/// Returns the outcome by which a slot is given back.
serving::slot_outcome to_slot_outcome(const error& stream_failure);
serving::slot_outcome to_slot_outcome(const runner_outcome& outcome);

} // namespace chicory::node

#endif
