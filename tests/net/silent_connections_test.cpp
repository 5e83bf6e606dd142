// Guards against calls that time out one after the other: all open connections
// to a server go silent at one moment, while new ones work, and each call takes
// another idle connection that is silent too.

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds call_limit(200);

class silent_connections_test : public testing::TestWithParam<int>
{
protected:
    silent_connections_test()
        : client(this->io.get_executor()),
          acceptor(
              this->io,
              asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(this->io, this->accept(), asio::detached);
    }

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_result);
            if (failed)
            {
                co_return;
            }
            asio::co_spawn(
                this->io,
                this->serve(std::move(socket), ++this->connections),
                asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, int number)
    {
        std::string received;
        while (true)
        {
            auto [code, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", as_result);
            if (code)
            {
                co_return;
            }
            received.erase(0, size);
            if (number <= this->silent)
            {
                continue;
            }
            // All calls of a group are in progress at the same time.
            asio::steady_timer timer(this->io);
            timer.expires_after(20ms);
            co_await timer.async_wait(as_result);
            co_await asio::async_write(
                socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                as_result);
        }
    }

    asio::awaitable<void> call()
    {
        const endpoint target{
            "127.0.0.1", this->acceptor.local_endpoint().port()};
        http_request request;
        const result<http_response> response = co_await this->client.request(
            target, std::move(request), call_limit);
        ++(response ? this->succeeded : this->failed);
    }

    /// Makes calls at the same time and waits for them.
    void call_at_once(int count)
    {
        this->succeeded = 0;
        this->failed = 0;
        for (int number = 0; number < count; ++number)
        {
            asio::co_spawn(this->io, this->call(), asio::detached);
        }
        while (this->succeeded + this->failed < count)
        {
            this->io.run_one();
        }
    }

    asio::io_context io{1};
    http_client client;
    asio::ip::tcp::acceptor acceptor;
    int connections = 0;
    /// Connections up to this number respond no more.
    int silent = 0;
    int succeeded = 0;
    int failed = 0;
};

} // namespace

TEST_P(silent_connections_test, cost_one_time_limit_in_all)
{
    const int idle = this->GetParam();
    this->call_at_once(idle);
    ASSERT_EQ(this->succeeded, idle);
    ASSERT_EQ(this->connections, idle);
    this->silent = idle;
    this->call_at_once(1);
    EXPECT_EQ(this->failed, 1);
    // The connections that were idle through the same time are not tried.
    for (int number = 0; number < 5; ++number)
    {
        this->call_at_once(1);
        EXPECT_EQ(this->succeeded, 1) << number;
    }
    EXPECT_EQ(this->connections, idle + 1);
}

// Connections that carried a response meanwhile are still used: one slow
// response must not make a client connect again.
TEST_P(silent_connections_test, connections_that_responded_meanwhile_are_kept)
{
    const int idle = this->GetParam() + 1;
    this->call_at_once(idle);
    this->silent = 1;
    this->call_at_once(idle);
    EXPECT_EQ(this->failed, 1);
    this->call_at_once(idle - 1);
    EXPECT_EQ(this->succeeded, idle - 1);
    EXPECT_EQ(this->connections, idle);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    silent_connections_test,
    testing::Values(1, 10, 60),
    [](const auto& tested)
    {
        return std::to_string(tested.param) + "_idle";
    });

} // namespace chicory::net
