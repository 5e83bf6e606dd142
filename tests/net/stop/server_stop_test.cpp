// Guards against requests that end without a response because their server
// stops: a request may have arrived, wholly or in part, in the backlog, in the
// socket or in the server's own buffer.

#include "net/net.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::chrono::seconds max_wait(20);
/// Steps of the server at which a stop is played. More than a server needs for
/// a request, as `the_steps_reach_the_end_of_a_request` checks.
constexpr int max_steps = 40;

const std::string request = "POST /x HTTP/1.1\r\nHost: a.example\r\n"
                            "Content-Length: 4\r\n\r\nbody";

enum class stop_kind
{
    close_idle_connections,
    stop_accepting,
};

/// A client that writes and reads bytes on one connection.
class raw_client
{
public:
    raw_client(asio::io_context& io, std::uint16_t port) : socket(io)
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        this->socket.non_blocking(true);
    }

    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    /// Reads what has arrived. `failure` tells whether the connection has
    /// ended, and how.
    void poll()
    {
        std::string bytes(65536, '\0');
        while (!this->failure)
        {
            boost::system::error_code code;
            const std::size_t size =
                this->socket.read_some(asio::buffer(bytes), code);
            if (code == asio::error::would_block)
            {
                return;
            }
            this->failure = code;
            this->received += bytes.substr(0, size);
        }
    }

    /// Returns whether a response has arrived whole.
    bool has_response() const
    {
        return this->received.starts_with("HTTP/1.1 200") &&
               this->received.ends_with("\r\n\r\nbody");
    }

    std::string received;
    boost::system::error_code failure;

private:
    asio::ip::tcp::socket socket;
};

class server_stop_test : public testing::TestWithParam<stop_kind>
{
protected:
    server_stop_test()
        : server(std::make_unique<http_server>(
              io.get_executor(),
              [this](http_exchange& exchange)
              {
                  return this->handle(exchange);
              }))
    {
        EXPECT_TRUE(this->server->listen({"127.0.0.1", 0}));
    }

    asio::awaitable<void> handle(http_exchange& exchange)
    {
        ++this->handled;
        if (this->responds_before_the_body)
        {
            co_await exchange.respond(make_text_response(503, "refused"));
            co_return;
        }
        exchange.watch_disconnect(
            [this](connection_side)
            {
                ++this->disconnects;
            });
        const result<std::string> body = co_await exchange.read_body(100);
        if (body)
        {
            co_await exchange.respond(make_text_response(200, body.value()));
        }
    }

    void stop()
    {
        if (this->GetParam() == stop_kind::stop_accepting)
        {
            this->server->stop_accepting();
        }
        else
        {
            this->server->close_after_responses();
            this->server->close_idle_connections();
        }
    }

    /// Runs the server until a condition holds or the connection of a client
    /// has ended.
    void run_until(raw_client& client, const std::function<bool()>& condition)
    {
        const time_point until = read_monotonic_clock() + duration(max_wait);
        client.poll();
        while (!condition() && !client.failure)
        {
            ASSERT_LT(read_monotonic_clock(), until)
                << "received \"" << client.received << "\", " << this->handled
                << " handled, " << this->server->in_progress()
                << " in progress";
            this->io.restart();
            this->io.run_for(1ms);
            client.poll();
        }
    }

    void wait_for_response(raw_client& client)
    {
        this->run_until(
            client,
            [&client]
            {
                return client.has_response();
            });
    }

    /// Runs that many steps of the server. Returns whether it had as many.
    bool run_steps(int count)
    {
        this->io.restart();
        for (int step = 0; step < count; ++step)
        {
            if (this->io.poll_one() == 0)
            {
                return false;
            }
        }
        return true;
    }

    asio::io_context io{1};
    int handled = 0;
    int disconnects = 0;
    bool responds_before_the_body = false;
    std::unique_ptr<http_server> server;
};

/// A test for each number of steps after which the server is stopped.
class server_stop_step_test : public server_stop_test
{
};

} // namespace

// Guards against a stop that closes a connection whose request has been read
// from the socket but not handled yet.
TEST_P(server_stop_step_test, a_request_on_a_new_connection_gets_its_response)
{
    for (int steps = 0; steps < max_steps; ++steps)
    {
        this->server = std::make_unique<http_server>(
            this->io.get_executor(),
            [this](http_exchange& exchange)
            {
                return this->handle(exchange);
            });
        ASSERT_TRUE(this->server->listen({"127.0.0.1", 0}));
        raw_client client(this->io, this->server->port());
        client.write(request);
        this->run_steps(steps);
        this->stop();
        this->wait_for_response(client);
        EXPECT_TRUE(client.has_response())
            << "stopped after " << steps << " steps, " << this->handled
            << " handled in all, received \"" << client.received << '"';
    }
    EXPECT_EQ(this->disconnects, 0);
}

TEST_P(server_stop_step_test, a_request_on_a_kept_connection_gets_its_response)
{
    for (int steps = 0; steps < max_steps; ++steps)
    {
        this->server = std::make_unique<http_server>(
            this->io.get_executor(),
            [this](http_exchange& exchange)
            {
                return this->handle(exchange);
            });
        ASSERT_TRUE(this->server->listen({"127.0.0.1", 0}));
        raw_client client(this->io, this->server->port());
        client.write(request);
        this->wait_for_response(client);
        this->run_steps(max_steps);
        client.received.clear();
        client.write(request);
        this->run_steps(steps);
        this->stop();
        this->wait_for_response(client);
        EXPECT_TRUE(client.has_response())
            << "stopped after " << steps << " steps, received \""
            << client.received << '"';
    }
    EXPECT_EQ(this->disconnects, 0);
}

// Checks that the tests above stop the server at each step of a request.
TEST_P(server_stop_step_test, the_steps_reach_the_end_of_a_request)
{
    raw_client client(this->io, this->server->port());
    client.write(request);
    EXPECT_FALSE(this->run_steps(max_steps));
    client.poll();
    EXPECT_TRUE(client.has_response());
}

// Guards against a close that crosses the next request of a caller that was
// not told to use the connection no more.
TEST_P(server_stop_test, a_kept_connection_is_told_before_it_is_closed)
{
    raw_client client(this->io, this->server->port());
    client.write(request);
    this->wait_for_response(client);
    EXPECT_EQ(client.received.find("Connection: close"), std::string::npos);
    this->server->close_after_responses();
    this->run_steps(max_steps);
    client.poll();
    EXPECT_FALSE(client.failure) << client.failure.message();
    client.received.clear();
    client.write(request);
    this->wait_for_response(client);
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
}

// Guards against a process that exits while a request is in its socket. The
// stop and the exit may come in one step of the process.
TEST_P(server_stop_test, a_request_that_is_not_read_yet_is_in_progress)
{
    raw_client client(this->io, this->server->port());
    client.write(request);
    this->wait_for_response(client);
    this->run_steps(max_steps);
    client.received.clear();
    client.write(request);
    this->stop();
    EXPECT_EQ(this->server->in_progress(), 1U);
    this->wait_for_response(client);
    EXPECT_TRUE(client.has_response());
    this->run_steps(max_steps);
    EXPECT_EQ(this->server->in_progress(), 0U);
}

// Guards against a stop that takes a server for idle while the head of a
// request is on its way.
TEST_P(server_stop_test, a_request_whose_head_is_half_read_is_in_progress)
{
    raw_client client(this->io, this->server->port());
    client.write(request.substr(0, 20));
    this->run_steps(max_steps);
    EXPECT_EQ(this->server->in_progress(), 1U);
    this->stop();
    EXPECT_EQ(this->server->in_progress(), 1U);
    this->run_steps(max_steps);
    client.write(request.substr(20));
    this->wait_for_response(client);
    EXPECT_TRUE(client.has_response());
    this->run_steps(max_steps);
    EXPECT_EQ(this->server->in_progress(), 0U);
}

// Guards against a stop that loses requests of callers whose connection was
// established before the listener was closed.
TEST_P(server_stop_test, a_request_that_follows_its_connection_gets_a_response)
{
    raw_client client(this->io, this->server->port());
    this->stop();
    EXPECT_EQ(
        this->server->in_progress(),
        this->GetParam() == stop_kind::stop_accepting ? 1U : 0U);
    this->run_steps(max_steps);
    client.write(request);
    this->wait_for_response(client);
    EXPECT_TRUE(client.has_response());
}

// Guards against a stop that never ends because a caller sends nothing.
TEST_P(server_stop_test, a_stopped_server_does_not_wait_for_silent_callers)
{
    raw_client silent(this->io, this->server->port());
    raw_client slow(this->io, this->server->port());
    slow.write(request.substr(0, 20));
    this->run_steps(max_steps);
    this->server->stop_accepting();
    EXPECT_GT(this->server->in_progress(), 0U);
    const time_point until = read_monotonic_clock() + duration(max_wait);
    while (this->server->in_progress() > 0)
    {
        ASSERT_LT(read_monotonic_clock(), until);
        this->io.restart();
        this->io.run_for(1ms);
    }
    silent.poll();
    slow.poll();
    EXPECT_EQ(silent.failure, asio::error::eof);
    EXPECT_TRUE(slow.received.starts_with("HTTP/1.1 503")) << slow.received;
}

// Guards against a refusal that its caller cannot read, because the connection
// is reset when it is closed with unread bytes.
TEST_P(server_stop_test, a_response_before_the_body_is_not_followed_by_a_reset)
{
    this->responds_before_the_body = true;
    raw_client client(this->io, this->server->port());
    client.write(
        "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
        "300000\r\n\r\n" +
        std::string(100000, 'x'));
    this->run_steps(3);
    this->stop();
    this->run_until(
        client,
        []
        {
            return false;
        });
    EXPECT_EQ(this->handled, 1);
    EXPECT_TRUE(client.received.starts_with("HTTP/1.1 503"));
    EXPECT_EQ(client.failure, asio::error::eof) << client.failure.message();
}

namespace
{

std::string name_of_stop(const testing::TestParamInfo<stop_kind>& tested)
{
    return tested.param == stop_kind::stop_accepting ? "stop_accepting"
                                                     : "close_idle_connections";
}

const auto all_stops = testing::Values(
    stop_kind::close_idle_connections, stop_kind::stop_accepting);

INSTANTIATE_TEST_SUITE_P(all, server_stop_test, all_stops, name_of_stop);
INSTANTIATE_TEST_SUITE_P(all, server_stop_step_test, all_stops, name_of_stop);

} // namespace

} // namespace chicory::net
