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
/// Pause before a failed loop is restarted, so that one that fails immediately
/// each time does not use a whole processor core.
constexpr std::chrono::milliseconds restart_pause(200);

void log_failure(const std::string& name, const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& caught)
    {
        log_event(
            event::unexpected_error,
            {{"work", name}, {"error", caught.what()}});
    }
    catch (...)
    {
        log_event(
            event::unexpected_error, {{"work", name}, {"error", "unknown"}});
    }
}

asio::awaitable<void> run_with_restarts(
    std::string name, std::function<asio::awaitable<void>()> make_work)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        std::exception_ptr failure;
        try
        {
            co_await make_work();
        }
        catch (...)
        {
            failure = std::current_exception();
        }
        if (failure == nullptr)
        {
            co_return;
        }
        log_failure(name, failure);
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
                log_failure(name, failure);
            }
        });
}

void spawn_loop(
    const asio::any_io_executor& executor,
    std::string name,
    std::function<asio::awaitable<void>()> make_work)
{
    std::string label = name;
    spawn_guarded(
        executor,
        std::move(label),
        run_with_restarts(std::move(name), std::move(make_work)));
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
            log_failure("handler", std::current_exception());
        }
    }
}

} // namespace chicory::net
