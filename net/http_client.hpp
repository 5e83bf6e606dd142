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

/// How far a request got before it failed. Only `not_sent` proves that the
/// server never saw it.
enum class send_state
{
    not_sent,
    maybe_sent,
};

/// A response whose body is read piece by piece. Destroying it closes the
/// connection unless the body was read to its end.
class http_stream
{
public:
    virtual ~http_stream() = default;

    /// Status and headers of the response; the body is empty.
    virtual const http_response& head() const = 0;

    /// Returns the next piece of the body, or an empty string at its end.
    /// Errors: timeout when nothing came for `silence`, unavailable when the
    /// connection broke, malformed when what came is no HTTP.
    virtual boost::asio::awaitable<result<std::string>>
    read_some(duration silence) = 0;

    /// Closes the connection; a read in progress fails.
    virtual void close() = 0;
};

/// Reads the whole body of a response. `on_piece` is called with each piece
/// that came and may be empty. Errors: those of `read_some`; timeout when the
/// body is not whole by `until`; malformed when it is longer than `most` bytes.
boost::asio::awaitable<result<std::string>> read_whole(
    http_stream& stream,
    time_point until,
    std::size_t most,
    std::function<void()> on_piece = {});

/// Ends a call from outside while `http_client::open` waits.
class http_cancellation
{
public:
    /// Closes the connection of the call in progress, and of a later one.
    void cancel();

    bool is_cancelled() const;

    /// Sets what closes the connection in use; empty when there is none.
    void set_close(std::function<void()> hook);

private:
    std::function<void()> close;
    bool cancelled = false;
};

/// Bytes that a client takes of an answer; one that exceeds them is given up
/// and its connection closed.
struct response_limits
{
    /// Lines of a head, all together, and of each informational head before it.
    std::uint32_t head_bytes = 16384;
    /// Whole body, where the caller takes it whole.
    std::size_t body_bytes = std::size_t(4) << 20U;
    /// Bodies that are skipped since they answer earlier requests, together.
    std::size_t discarded_bytes = std::size_t(256) << 10U;
};

/// Bounds of one call.
struct open_limits
{
    /// Time to connect, when no kept connection can be used.
    duration connect = std::chrono::seconds(2);
    /// Time from the start of the call to the head of the response.
    duration head = std::chrono::seconds(2);
    /// Asked when the connection stands, just before the request is written;
    /// false ends the call as not sent. Empty to send always.
    std::function<bool()> may_send;
    /// Header that the server repeats from the request; a response that
    /// carries another value there answers an earlier request and is
    /// skipped. Empty for a server that repeats none.
    std::string echoed_header;
    response_limits response;
};

/// What `http_client::open` gives.
struct open_outcome
{
    /// Null when the request failed.
    std::unique_ptr<http_stream> stream;
    send_state sent = send_state::not_sent;
    error failure;
};

/// HTTP/1.1 client that keeps idle connections open for further requests. A
/// request is sent on a kept connection only when that connection is not
/// readable, and is repeated on a fresh one only if nothing was written.
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

    /// Like the other one with separate bounds. `cancellation` may be null;
    /// it must outlive the call and is released when the call returns.
    boost::asio::awaitable<open_outcome> open(
        endpoint server,
        http_request request,
        open_limits limits,
        http_cancellation* cancellation);

    /// Sends a request and reads the whole response, of which `bounds` says
    /// how many bytes are taken. Errors: unavailable when certainly not sent,
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
