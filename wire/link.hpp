#ifndef CHICORY_WIRE_LINK_HPP
#define CHICORY_WIRE_LINK_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "wire/message.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace chicory::wire
{

/// A TCP connection that carries messages, each preceded by its length as four
/// big-endian bytes. A link is closed when the peer closes it, a frame is
/// malformed, nothing was received for the silence limit, or more bytes are
/// queued than the queue limit allows.
class link : public std::enable_shared_from_this<link>
{
public:
    using message_hook =
        std::function<void(const std::shared_ptr<link>&, message)>;
    using closed_hook = std::function<void(const std::shared_ptr<link>&)>;

    virtual ~link() = default;

    /// Queues a message. A message for a closed link is dropped.
    virtual void send(const message& value) = 0;

    /// Closes the link. The `on_closed` callback runs once, asynchronously.
    virtual void close() = 0;

    virtual bool is_open() const = 0;

    /// Returns whether a connection was ever established. When it returns
    /// false, no queued message can have reached the peer.
    virtual bool was_connected() const = 0;

    /// Returns the time of the last received message, heartbeats included, or
    /// nothing before the first message of the peer.
    virtual std::optional<time_point> last_received() const = 0;

    /// Returns the number of bytes that are queued for writing.
    virtual std::size_t queued_bytes() const = 0;

    void set_message_hook(message_hook hook)
    {
        this->on_message = std::move(hook);
    }

    void set_closed_hook(closed_hook hook)
    {
        this->on_closed = std::move(hook);
    }

protected:
    message_hook on_message;
    closed_hook on_closed;
};

/// Opens a link to a server. Connects in the background; messages sent before
/// the connection is established are queued.
std::shared_ptr<link> open_link(
    boost::asio::any_io_executor executor,
    net::endpoint server,
    link::message_hook on_message,
    link::closed_hook on_closed);

/// Accepts links from other processes.
class link_server
{
public:
    using accept_hook = std::function<void(const std::shared_ptr<link>&)>;

    /// Calls `on_accept` with each new link, so that it can set the callbacks
    /// of the link.
    link_server(boost::asio::any_io_executor executor, accept_hook on_accept);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

    /// Binds to an address and starts accepting. Port 0 selects a free port.
    /// Error: unavailable with the address and the reason of the operating
    /// system.
    result<void> listen(const net::endpoint& local);

    /// Returns the bound port.
    std::uint16_t port() const;

    /// Stops accepting links; open links are not closed.
    void stop_accepting();

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace chicory::wire

#endif
