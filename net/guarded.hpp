#ifndef CHICORY_NET_GUARDED_HPP
#define CHICORY_NET_GUARDED_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace chicory::net
{

/// Starts a coroutine. An exception that leaves it is logged with the name and
/// does not affect other coroutines.
void spawn_guarded(
    const boost::asio::any_io_executor& executor,
    std::string name,
    boost::asio::awaitable<void> work);

/// Starts a coroutine that runs as long as the process. When an exception
/// leaves it, the exception is logged with the name, and `make_work` is called
/// after a pause for a coroutine that replaces it. Otherwise a single malformed
/// message would stop the process from handling any further ones.
void spawn_loop(
    const boost::asio::any_io_executor& executor,
    std::string name,
    std::function<boost::asio::awaitable<void>()> make_work);

/// Runs a context until it is stopped or has no work left. An exception that
/// leaves a handler is logged and ends that handler only.
void run_guarded(boost::asio::io_context& context);

} // namespace chicory::net

#endif
