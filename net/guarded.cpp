#include "net/guarded.hpp"

#include "core/core.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <utility>

namespace chicory::net
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Pause before a loop begins again; an error that comes at once each time
/// must not take the processor.
constexpr std::chrono::milliseconds restart_pause(200);

void report(const std::string& name, const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& known)
    {
        log_event(
            event::unexpected_error, {{"work", name}, {"error", known.what()}});
    }
    catch (...)
    {
        log_event(
            event::unexpected_error, {{"work", name}, {"error", "unknown"}});
    }
}

asio::awaitable<void>
repeat(std::string name, std::function<asio::awaitable<void>()> make)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        std::exception_ptr failure;
        try
        {
            co_await make();
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        if (failure == nullptr)
        {
            co_return;
        }
        report(name, failure);
        timer.expires_after(restart_pause);
        co_await timer.async_wait(as_result);
    }
}

} // namespace

void spawn_guarded(
    const asio::any_io_executor& executor,
    std::string name,
    asio::awaitable<void> work)
{
    asio::co_spawn(
        executor,
        std::move(work),
        [name = std::move(name)](const std::exception_ptr& failure)
        {
            if (failure != nullptr)
            {
                report(name, failure);
            }
        });
}

void spawn_loop(
    const asio::any_io_executor& executor,
    std::string name,
    std::function<asio::awaitable<void>()> make)
{
    std::string label = name;
    spawn_guarded(
        executor, std::move(label), repeat(std::move(name), std::move(make)));
}

void run_guarded(asio::io_context& context)
{
    while (true)
    {
        try
        {
            context.run();
            return;
        }
        catch (...)
        {
            report("handler", std::current_exception());
        }
    }
}

} // namespace chicory::net
