#ifndef CHICORY_NET_HTTP_CLIENT_HPP
#define CHICORY_NET_HTTP_CLIENT_HPP

#include "core/core.hpp"
#include "net/endpoint.hpp"
#include "net/http_message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicory::net
{

/// Whether a failed request may have reached the server. Only `not_sent` proves
/// that it did not.
enum class send_state
{
    not_sent,
    maybe_sent,
};

/// A response whose body is read in pieces. Destroying it closes the connection
/// unless the body was read to its end.
class http_stream
{
public:
    virtual ~http_stream() = default;

    /// Returns the status and headers of the response; the body is empty.
    virtual const http_response& head() const = 0;

    /// Returns the next piece of the body, or an empty string at its end.
    /// Errors: timeout when nothing was received for `silence`, unavailable
    /// when the connection broke, malformed when the received bytes are not
    /// valid HTTP, cancelled when `close` was called during the read.
    virtual boost::asio::awaitable<result<std::string>>
    read_some(duration silence) = 0;

    /// Closes the connection. A read in progress fails.
    virtual void close() = 0;
};

/// Reads the whole body of a response. `on_piece` is called after each received
/// piece; it may be empty. Errors: those of `read_some`; timeout when the body
/// is not complete by `until`; malformed when it is longer than `max_bytes`.
boost::asio::awaitable<result<std::string>> read_whole(
    http_stream& stream,
    time_point until,
    std::size_t max_bytes,
    std::function<void()> on_piece = {});

/// Cancels a call while `http_client::open` is in progress.
class http_cancellation
{
public:
    /// Closes the connection of the call in progress. A later call with this
    /// object that has to connect fails too.
    void cancel();

    bool is_cancelled() const;

    /// Sets the function that closes the connection in use; empty when no
    /// connection is in use.
    void set_close(std::function<void()> hook);

private:
    std::function<void()> close;
    bool cancelled = false;
};

/// Size limits of a response. A call whose response exceeds them fails and its
/// connection is closed.
struct response_limits
{
    /// Largest head, and largest informational head (1xx) before it.
    std::uint32_t head_bytes = 16384;
    /// Largest body of a response that is read as a whole.
    std::size_t body_bytes = std::size_t(4) << 20U;
    /// Total size of the discarded bodies of late responses to earlier
    /// requests on the same connection.
    std::size_t discarded_bytes = std::size_t(256) << 10U;
};

/// Limits of one call.
struct open_limits
{
    /// Time to connect, when no idle connection can be reused.
    duration connect = std::chrono::seconds(2);
    /// Time from the start of the call to the head of the response.
    duration head = std::chrono::seconds(2);
    /// Called once the connection is established, just before the request is
    /// written; when it returns false, the call fails as not sent. Empty to
    /// send always.
    std::function<bool()> may_send;
    /// Name of a header that the server repeats from the request. A response
    /// with another value of it belongs to an earlier request and is
    /// discarded. Empty for a server that repeats none.
    std::string echoed_header;
    response_limits response;
};

/// Result of `http_client::open`.
struct open_outcome
{
    /// Null when the request failed.
    std::unique_ptr<http_stream> stream;
    send_state sent = send_state::not_sent;
    error failure;
};

/// HTTP/1.1 client that reuses idle connections. An idle connection is reused
/// only when it is not readable: a readable one was closed by the server or
/// carries bytes that belong to no request. A request is never sent twice.
class http_client
{
public:
    explicit http_client(boost::asio::any_io_executor executor);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the head of the response. `limit` bounds
    /// connecting, sending and waiting for the head together.
    boost::asio::awaitable<open_outcome>
    open(endpoint server, http_request request, duration limit);

    /// Sends a request like the other overload, with separate limits.
    /// `cancellation` may be null; it must outlive the call and is not used
    /// after the call has returned.
    boost::asio::awaitable<open_outcome> open(
        endpoint server,
        http_request request,
        open_limits limits,
        http_cancellation* cancellation);

    /// Returns whether a server accepts a new connection within `limit`. The
    /// connection is closed again.
    boost::asio::awaitable<bool> can_connect(endpoint server, duration limit);

    /// Sends a request and reads the whole response, up to the sizes in
    /// `bounds`. Errors: unavailable when the request was certainly not sent,
    /// outcome_unknown otherwise.
    boost::asio::awaitable<result<http_response>> request(
        endpoint server,
        http_request request,
        duration limit,
        response_limits bounds = {});

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace chicory::net

#endif
