#ifndef CHICORY_SERVERS_DISPATCH_MESSAGE_QUEUE_HPP
#define CHICORY_SERVERS_DISPATCH_MESSAGE_QUEUE_HPP

#include "wire/wire.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>

namespace chicory::dispatching
{

/// Queue of messages with one reading coroutine. All calls must be made on the
/// same executor.
class message_queue
{
public:
    explicit message_queue(boost::asio::any_io_executor executor);

    /// Adds a message and wakes the reader.
    void push(wire::message value);

    /// Wakes the reader without a message.
    void interrupt();

    /// Returns the next message, or nothing when none arrives within `limit` or
    /// the wait is interrupted.
    boost::asio::awaitable<std::optional<wire::message>> pop(duration limit);

private:
    std::deque<wire::message> messages;
    boost::asio::steady_timer wake_timer;
};

} // namespace chicory::dispatching

#endif
