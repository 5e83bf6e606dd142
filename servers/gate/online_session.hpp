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

/// How a session ended.
struct session_end
{
    /// Set when the caller is still to be answered with this error.
    std::optional<api_error> failure;
    /// The whole answer, unless it was streamed.
    net::http_response response;
    /// True when the caller has seen at least the head of a stream.
    bool streamed = false;
    online::request_result result = online::request_result::unknown;
};

/// Takes one online request through its attempts: binds
/// online::request_attempts and online::response_assembler to the owners of
/// runners and to the caller's connection.
class online_session
{
public:
    online_session(
        gate_state& state,
        net::http_exchange& exchange,
        const online_request& request,
        time_point deadline);

    /// Runs to the end. An answer that is not streamed is left to the caller
    /// of this function, so that it can be recorded first.
    boost::asio::awaitable<session_end> run();

private:
    /// Outlives the session, for the hook on the connection.
    struct caller_watch
    {
        bool gone = false;
        std::weak_ptr<dispatching::attempt> waiting;
    };

    boost::asio::awaitable<void> apply(online::attempt_actions actions);
    boost::asio::awaitable<void>
    begin_attempt(online::start_attempt order, online::attempt_actions& next);
    boost::asio::awaitable<void> resume(std::uint32_t attempt);
    boost::asio::awaitable<online::attempt_actions> take(wire::message value);
    boost::asio::awaitable<online::attempt_actions>
    take_bytes(const wire::response_frame& frame);
    boost::asio::awaitable<online::attempt_actions> complete_if_whole();
    online::attempt_actions take_failure(const wire::response_failed& failure);
    void watch_caller();
    api_error make_failure(const online::finish_request& verdict) const;

    gate_state& state;
    net::http_exchange& exchange;
    const online_request& request;
    time_point deadline;
    wire::dispatch dispatch;
    online::request_attempts attempts;
    online::response_assembler answer;
    std::shared_ptr<dispatching::attempt> current;
    std::shared_ptr<caller_watch> watch;
    net::http_response response;
    bool head_sent = false;
    /// True once a runner died with this request on board. The notice of it
    /// may come later than the failure.
    bool suspect = false;
    reason last_failure = reason::no_runner;
    std::optional<online::finish_request> verdict;
};

} // namespace chicory::gate

#endif
