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

/// What a server bears of its clients.
struct http_server_limits
{
    /// Largest header in bytes; a longer one is answered with status 431.
    std::uint32_t header_bytes = 8192;
    /// Time that a kept connection may be idle.
    duration idle = std::chrono::seconds(120);
    /// Time to receive a header, from its first byte on.
    duration header = std::chrono::seconds(120);
    /// Time without progress while a body is received.
    duration body = std::chrono::seconds(60);
    /// Time without progress while an answer is sent.
    duration write = std::chrono::seconds(30);
};

/// One request and the way to answer it.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Method, target and headers; the body is empty until it is read.
    virtual const http_request& head() const = 0;

    /// Reads the whole body. Error: invalid_input when it is longer than
    /// `limit` bytes, unavailable when the connection broke.
    virtual boost::asio::awaitable<result<std::string>>
    read_body(std::size_t limit) = 0;

    /// Reads the next piece of the body; empty at its end.
    virtual boost::asio::awaitable<result<std::string>> read_some() = 0;

    /// Sends a whole response.
    virtual boost::asio::awaitable<result<void>>
    respond(http_response response) = 0;

    /// Sends the head of a response whose body follows in chunks.
    virtual boost::asio::awaitable<result<void>>
    start_stream(http_response head) = 0;

    /// Sends a piece of the body.
    virtual boost::asio::awaitable<result<void>>
    write_chunk(std::string_view bytes) = 0;

    /// Ends the body.
    virtual boost::asio::awaitable<result<void>> end_stream() = 0;

    /// Calls the hook once if the peer closes before the response is
    /// complete. Call after the body was read.
    virtual void watch_disconnect(std::function<void()> on_disconnect) = 0;
};

/// Answers one exchange. An exchange that is left unanswered gets status 500.
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

    /// Binds and starts accepting. Port 0 takes a free one. Error:
    /// unavailable with the address and the system's reason.
    result<void> listen(const endpoint& local);

    /// Returns the bound port.
    std::uint16_t port() const;

    /// Accepts no further connections and closes idle ones; exchanges in
    /// progress go on.
    void stop_accepting();

    /// Ends each connection with its next answer, and those that are idle at
    /// once; new connections are still accepted.
    void close_after_responses();

    /// Sets limits for what is received from now on.
    void set_limits(const http_server_limits& limits);

    /// Returns the number of exchanges in progress.
    std::size_t in_progress() const;

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace chicory::net

#endif
