#include "servers/dispatch/message_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace chicory::dispatching
{

namespace asio = boost::asio;

message_queue::message_queue(asio::any_io_executor executor)
    : wake_timer(std::move(executor))
{
}

void message_queue::push(wire::message value)
{
    this->messages.push_back(std::move(value));
    this->wake_timer.cancel();
}

void message_queue::interrupt()
{
    this->wake_timer.cancel();
}

asio::awaitable<std::optional<wire::message>> message_queue::pop(duration limit)
{
    if (this->messages.empty())
    {
        this->wake_timer.expires_after(limit);
        co_await this->wake_timer.async_wait(
            asio::as_tuple(asio::use_awaitable));
    }
    if (this->messages.empty())
    {
        co_return std::nullopt;
    }
    wire::message next = std::move(this->messages.front());
    this->messages.pop_front();
    co_return next;
}

} // namespace chicory::dispatching
