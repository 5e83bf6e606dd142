#ifndef CHICORY_SERVERS_GATE_ONLINE_SESSION_HPP
#define CHICORY_SERVERS_GATE_ONLINE_SESSION_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "policy/online/online.hpp"
#include "servers/gate/gate_state.hpp"
#include "servers/gate/online_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace chicory::gate
{

/// Outcome of a session.
struct session_outcome
{
    /// Error that is still to be sent to the caller; empty when there is none.
    std::optional<api_error> failure;
    /// The whole response. The body of a streamed response is present only when
    /// the request has an idempotency key.
    net::http_response response;
    /// True when at least the head of a stream was sent to the caller.
    bool streamed = false;
    online::request_result result = online::request_result::unknown;
};

/// Runs one online request: sends the attempts that online::request_attempts
/// orders to the owners of runners, and writes the response that
/// online::response_assembler puts in order to the caller's connection.
class online_session
{
public:
    online_session(
        gate_state& state,
        net::http_exchange& exchange,
        const online_request& request,
        time_point deadline);

    /// Runs the request until it has ended. A response that is not streamed is
    /// returned unsent, so that it can be recorded before it is sent.
    boost::asio::awaitable<session_outcome> run();

private:
    /// State of the disconnect callback of the connection, which may be called
    /// after the session has ended.
    struct caller_watch
    {
        bool disconnected = false;
        std::weak_ptr<dispatching::attempt> attempt;
    };

    boost::asio::awaitable<void> apply(online::attempt_actions actions);
    boost::asio::awaitable<void>
    begin_attempt(online::start_attempt start, online::attempt_actions& next);
    boost::asio::awaitable<void> resume(std::uint32_t attempt);
    boost::asio::awaitable<online::attempt_actions>
    handle_message(wire::message value);
    boost::asio::awaitable<online::attempt_actions>
    handle_frame(const wire::response_frame& frame);
    boost::asio::awaitable<online::attempt_actions> finish_if_complete();
    online::attempt_actions
    handle_failure(const wire::response_failed& failure);
    void watch_caller();
    api_error make_failure(const online::finish_request& decision) const;

    gate_state& state;
    net::http_exchange& exchange;
    const online_request& request;
    time_point deadline;
    wire::dispatch dispatch;
    online::request_attempts attempts;
    online::response_assembler assembler;
    std::shared_ptr<dispatching::attempt> current_attempt;
    std::shared_ptr<caller_watch> watch;
    net::http_response response;
    bool head_sent = false;
    /// True after a runner died while it ran this request. The quarantine
    /// notice may arrive later than the failure.
    bool suspect = false;
    reason last_failure = reason::no_runner;
    std::optional<online::finish_request> final_decision;
};

} // namespace chicory::gate

#endif
