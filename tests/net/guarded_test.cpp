#include "net/net.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;

// Operators saw one malformed message take a whole process down.
TEST(guarded, a_handler_that_throws_ends_nothing_else)
{
    asio::io_context context;
    bool reached = false;
    asio::post(
        context,
        []
        {
            throw std::runtime_error("malformed");
        });
    asio::post(
        context,
        [&reached]
        {
            reached = true;
        });
    run_guarded(context);
    EXPECT_TRUE(reached);
}

TEST(guarded, a_coroutine_that_throws_ends_nothing_else)
{
    asio::io_context context;
    const auto work = []() -> asio::awaitable<void>
    {
        throw std::runtime_error("malformed");
        co_return;
    };
    spawn_guarded(context.get_executor(), "test", work());
    bool reached = false;
    asio::post(
        context,
        [&reached]
        {
            reached = true;
        });
    run_guarded(context);
    EXPECT_TRUE(reached);
}

TEST(guarded, a_loop_that_throws_begins_again)
{
    asio::io_context context;
    int begun = 0;
    const auto work = [&begun]() -> asio::awaitable<void>
    {
        ++begun;
        if (begun == 1)
        {
            throw std::runtime_error("malformed");
        }
        co_return;
    };
    spawn_loop(context.get_executor(), "test", work);
    run_guarded(context);
    EXPECT_EQ(begun, 2);
}

} // namespace

} // namespace chicory::net
