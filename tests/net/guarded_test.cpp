#include "net/net.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;

// Guards against a fault that operators reported: one malformed message ended
// the whole process, as the exception left its handler.
TEST(guarded, an_exception_of_a_handler_does_not_stop_others)
{
    asio::io_context context;
    bool called = false;
    asio::post(
        context,
        []
        {
            throw std::runtime_error("malformed");
        });
    asio::post(
        context,
        [&called]
        {
            called = true;
        });
    run_guarded(context);
    EXPECT_TRUE(called);
}

TEST(guarded, an_exception_of_a_coroutine_does_not_stop_others)
{
    asio::io_context context;
    const auto work = []() -> asio::awaitable<void>
    {
        throw std::runtime_error("malformed");
        co_return;
    };
    spawn_guarded(context.get_executor(), "test", work());
    bool called = false;
    asio::post(
        context,
        [&called]
        {
            called = true;
        });
    run_guarded(context);
    EXPECT_TRUE(called);
}

TEST(guarded, a_loop_that_throws_is_restarted)
{
    asio::io_context context;
    int starts = 0;
    const auto work = [&starts]() -> asio::awaitable<void>
    {
        ++starts;
        if (starts == 1)
        {
            throw std::runtime_error("malformed");
        }
        co_return;
    };
    spawn_loop(context.get_executor(), "test", work);
    run_guarded(context);
    EXPECT_EQ(starts, 2);
}

} // namespace

} // namespace chicory::net
