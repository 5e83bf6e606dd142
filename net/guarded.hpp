#ifndef CHICORY_NET_GUARDED_HPP
#define CHICORY_NET_GUARDED_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace chicory::net
{

/// Runs a coroutine. An exception that leaves it is logged under the name and
/// ends nothing else.
void spawn_guarded(
    const boost::asio::any_io_executor& executor,
    std::string name,
    boost::asio::awaitable<void> work);

/// Runs a coroutine that is to last as long as the process. When an exception
/// leaves it, it is logged under the name and the coroutine is made and run
/// again after a pause, so that one message cannot make a process deaf.
void spawn_loop(
    const boost::asio::any_io_executor& executor,
    std::string name,
    std::function<boost::asio::awaitable<void>()> make);

/// Runs a context until it is stopped or has no work. An exception that leaves
/// a handler is logged and ends that handler only.
void run_guarded(boost::asio::io_context& context);

} // namespace chicory::net

#endif
