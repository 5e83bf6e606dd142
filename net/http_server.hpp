#ifndef CHICORY_NET_HTTP_SERVER_HPP
#define CHICORY_NET_HTTP_SERVER_HPP

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
#include <string_view>

namespace chicory::net
{

/// Limits on what clients of a server may send, and on how slowly.
struct http_server_limits
{
    /// Largest header in bytes; a longer one gets a response with status 431.
    std::uint32_t header_bytes = 8192;
    /// Time that a connection may be idle between two requests.
    duration idle = std::chrono::seconds(120);
    /// Time to receive a header, from its first byte on.
    duration header = std::chrono::seconds(120);
    /// Time without progress while a body is received.
    duration body = std::chrono::seconds(60);
    /// Time without progress while a response is sent.
    duration write = std::chrono::seconds(30);
};

/// Side that closed a connection.
enum class connection_side
{
    peer,
    server,
};

/// One request, with methods that send its response.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Returns the method, target and headers; the body is empty.
    virtual const http_request& head() const = 0;

    /// Reads the whole body. Errors: invalid_input when it is longer than
    /// `limit` bytes, unavailable when the connection broke.
    virtual boost::asio::awaitable<result<std::string>>
    read_body(std::size_t limit) = 0;

    /// Reads the next piece of the body; returns an empty string at its end.
    /// Error: unavailable when the connection broke.
    virtual boost::asio::awaitable<result<std::string>> read_some() = 0;

    /// Sends a whole response. Error, as of the other methods that send:
    /// unavailable when the connection broke.
    virtual boost::asio::awaitable<result<void>>
    respond(http_response response) = 0;

    /// Sends the head of a response whose body is sent in chunks.
    virtual boost::asio::awaitable<result<void>>
    start_stream(http_response head) = 0;

    /// Sends a piece of the body.
    virtual boost::asio::awaitable<result<void>>
    write_chunk(std::string_view bytes) = 0;

    /// Sends a piece of the body without waiting for the peer: bytes that the
    /// connection does not accept at once are buffered and sent later. The
    /// buffer has no limit; see `unsent_bytes`. Must not be mixed with
    /// `write_chunk` in one response.
    virtual result<void> send_chunk(std::string_view bytes) = 0;

    /// Returns the number of buffered bytes.
    virtual std::size_t unsent_bytes() const = 0;

    /// Sets the function that is called when the connection has accepted some
    /// of the buffered bytes. Its argument is false when they are lost because
    /// the connection broke.
    virtual void
    set_progress_hook(std::function<void(bool is_open)> on_progress) = 0;

    /// Sends the end of the body. Must be called when no bytes are buffered.
    virtual boost::asio::awaitable<result<void>> end_stream() = 0;

    /// Calls `on_disconnect` once with the side that closed the connection if
    /// that happens before the response is complete. Must be called after the
    /// body was read.
    virtual void
    watch_disconnect(std::function<void(connection_side)> on_disconnect) = 0;
};

/// Handles one exchange. When the handler sends no response, the server sends
/// one with status 500.
using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// HTTP/1.1 server with keep-alive on one executor.
class http_server
{
public:
    http_server(boost::asio::any_io_executor executor, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Binds to an address and starts accepting. Port 0 selects a free port.
    /// Errors: invalid_input when the address is not an IP address; unavailable
    /// with the address and the reason of the operating system.
    result<void> listen(const endpoint& local);

    /// Returns the bound port.
    std::uint16_t port() const;

    /// Stops accepting connections and closes idle ones. Exchanges in progress
    /// are completed. Requests on established connections that arrive within
    /// half a second are handled; later ones are refused with status 503.
    void stop_accepting();

    /// Closes each connection after its next response, which says so. New
    /// connections are still accepted, for one request each.
    void close_after_responses();

    /// Closes the connections that are idle after a request.
    void close_idle_connections();

    /// Stops accepting and ends all requests at once. One without a response
    /// gets status 503 if it has not arrived whole, so that its handler has not
    /// begun to execute it, and 504 otherwise; responses that have begun are
    /// broken off. Handlers must not execute a request before its whole body
    /// was read.
    void answer_unfinished();

    /// Sets the limits for requests that are received after this call.
    void set_limits(const http_server_limits& limits);

    /// Returns the number of requests that have begun to arrive and whose
    /// responses are not complete. It includes idle connections that are being
    /// closed, until it is known that no request arrived before, and, after
    /// `stop_accepting`, new ones whose first request may be on its way.
    std::size_t in_progress() const;

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace chicory::net

#endif
