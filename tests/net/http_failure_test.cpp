#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

namespace chicory::net
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds patience(10);

/// A server whose handler is the test's, and a client.
class http_failure : public testing::Test
{
protected:
    http_failure() : client(context.get_executor())
    {
    }

    void serve(http_handler handler)
    {
        this->server = std::make_unique<http_server>(
            this->context.get_executor(), std::move(handler));
        const result<void> bound =
            this->server->listen({"127.0.0.1", this->target.port});
        ASSERT_TRUE(bound.has_value());
        this->target = {"127.0.0.1", this->server->port()};
    }

    void run(const std::function<asio::awaitable<void>()>& body)
    {
        asio::co_spawn(
            this->context,
            body(),
            [this](const std::exception_ptr&)
            {
                this->context.stop();
            });
        this->context.run();
        this->context.restart();
    }

    asio::awaitable<int> ask(std::string path)
    {
        http_request request;
        request.target = std::move(path);
        result<http_response> response = co_await this->client.request(
            this->target, std::move(request), patience);
        co_return response ? response.value().status : 0;
    }

    asio::io_context context;
    std::unique_ptr<http_server> server;
    http_client client;
    endpoint target{"127.0.0.1", 0};
};

asio::awaitable<void> answer_ok(http_exchange& exchange)
{
    http_response response;
    co_await exchange.respond(std::move(response));
}

} // namespace

TEST_F(http_failure, a_kept_connection_that_the_server_closed_is_not_used)
{
    this->serve(&answer_ok);
    const auto body = [this]() -> asio::awaitable<void>
    {
        const int first = co_await this->ask("/");
        EXPECT_EQ(first, 200);
        // The server goes and another one takes its port.
        this->server->stop_accepting();
        this->serve(&answer_ok);
        const int second = co_await this->ask("/");
        EXPECT_EQ(second, 200);
    };
    this->run(body);
}

TEST_F(http_failure, a_server_that_does_not_answer_leaves_the_request_unknown)
{
    http_request request;
    bool answered = false;
    const auto body = [&]() -> asio::awaitable<void>
    {
        open_outcome outcome = co_await this->client.open(
            this->target, request, std::chrono::milliseconds(50));
        answered = true;
        EXPECT_EQ(outcome.stream, nullptr);
        EXPECT_EQ(outcome.sent, send_state::maybe_sent);
        EXPECT_EQ(outcome.failure.kind, error_kind::timeout);
    };
    this->serve(
        [](http_exchange&) -> asio::awaitable<void>
        {
            asio::steady_timer never(co_await asio::this_coro::executor);
            never.expires_after(patience);
            co_await never.async_wait(asio::use_awaitable);
        });
    this->run(body);
    EXPECT_TRUE(answered);
}

TEST_F(http_failure, a_silent_stream_ends_in_a_timeout)
{
    this->serve(
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            http_response head;
            co_await exchange.start_stream(std::move(head));
            co_await exchange.write_chunk("first");
            asio::steady_timer never(co_await asio::this_coro::executor);
            never.expires_after(patience);
            co_await never.async_wait(asio::use_awaitable);
        });
    const auto body = [this]() -> asio::awaitable<void>
    {
        http_request request;
        open_outcome outcome =
            co_await this->client.open(this->target, request, patience);
        result<std::string> first =
            co_await outcome.stream->read_some(patience);
        EXPECT_EQ(first.value(), "first");
        result<std::string> second =
            co_await outcome.stream->read_some(std::chrono::milliseconds(50));
        EXPECT_FALSE(second.has_value());
        EXPECT_EQ(second.error().kind, error_kind::timeout);
    };
    this->run(body);
}

TEST_F(http_failure, a_caller_that_goes_away_is_noticed)
{
    bool noticed = false;
    this->serve(
        [&](http_exchange& exchange) -> asio::awaitable<void>
        {
            http_response head;
            co_await exchange.start_stream(std::move(head));
            co_await exchange.write_chunk("first");
            asio::steady_timer gone(co_await asio::this_coro::executor);
            gone.expires_after(patience);
            exchange.watch_disconnect(
                [&]()
                {
                    noticed = true;
                    gone.cancel();
                });
            boost::system::error_code code;
            co_await gone.async_wait(
                asio::redirect_error(asio::use_awaitable, code));
            this->context.stop();
        });
    const auto body = [this]() -> asio::awaitable<void>
    {
        http_request request;
        open_outcome outcome =
            co_await this->client.open(this->target, request, patience);
        co_await outcome.stream->read_some(patience);
        outcome.stream.reset();
        asio::steady_timer wait(co_await asio::this_coro::executor);
        wait.expires_after(patience);
        co_await wait.async_wait(asio::use_awaitable);
    };
    this->run(body);
    EXPECT_TRUE(noticed);
}

TEST_F(http_failure, a_body_over_the_limit_is_an_error_and_closes)
{
    this->serve(
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            result<std::string> body = co_await exchange.read_body(10);
            http_response response;
            response.status = body ? 200 : 413;
            co_await exchange.respond(std::move(response));
        });
    const auto body = [this]() -> asio::awaitable<void>
    {
        http_request request{"POST", "/", {}, std::string(100, 'x')};
        result<http_response> response = co_await this->client.request(
            this->target, std::move(request), patience);
        EXPECT_EQ(response.value().status, 413);
        const int next = co_await this->ask("/");
        EXPECT_EQ(next, 200);
    };
    this->run(body);
}

TEST_F(http_failure, a_stopped_server_finishes_what_is_in_progress)
{
    this->serve(
        [this](http_exchange& exchange) -> asio::awaitable<void>
        {
            this->server->stop_accepting();
            co_await answer_ok(exchange);
        });
    const auto body = [this]() -> asio::awaitable<void>
    {
        const int status = co_await this->ask("/");
        EXPECT_EQ(status, 200);
        const int refused = co_await this->ask("/");
        EXPECT_EQ(refused, 0);
    };
    this->run(body);
}

// Operators saw a planned stop under load cut off requests that had just come.
TEST_F(http_failure, a_request_that_crosses_a_stop_is_answered)
{
    this->serve(&answer_ok);
    const auto body = [this]() -> asio::awaitable<void>
    {
        const int first = co_await this->ask("/");
        EXPECT_EQ(first, 200);
        // The second request is written on the kept connection; the server
        // has not read it when it stops.
        bool done = false;
        int second = 0;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void>
            {
                second = co_await this->ask("/");
                done = true;
            },
            asio::detached);
        while (!done)
        {
            this->context.poll_one();
            this->server->close_after_responses();
            asio::steady_timer pause(this->context);
            pause.expires_after(std::chrono::milliseconds(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        EXPECT_EQ(second, 200);
    };
    this->run(body);
}

TEST_F(http_failure, a_handler_that_throws_leaves_an_error_and_no_trace)
{
    this->serve(
        [](http_exchange&) -> asio::awaitable<void>
        {
            throw std::runtime_error("unexpected");
            co_return;
        });
    const auto body = [this]() -> asio::awaitable<void>
    {
        const int status = co_await this->ask("/");
        EXPECT_EQ(status, 500);
        EXPECT_EQ(this->server->in_progress(), 0U);
    };
    this->run(body);
}

namespace
{

/// Answers on one connection after the other with what the test gives for
/// each request, byte for byte.
class scripted_server
{
public:
    explicit scripted_server(asio::io_context& io)
        : context(io),
          acceptor(
              io,
              asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(this->context, this->accept(), asio::detached);
    }

    endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::vector<std::string> answers;
    /// Sends the last answer a byte at a time, for ever.
    bool trickles = false;
    std::size_t connections = 0;
    std::size_t requests = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true)
        {
            asio::ip::tcp::socket socket =
                co_await this->acceptor.async_accept(asio::use_awaitable);
            ++this->connections;
            asio::co_spawn(
                this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string received;
        while (true)
        {
            const std::size_t size = co_await asio::async_read_until(
                socket,
                asio::dynamic_buffer(received),
                "\r\n\r\n",
                asio::use_awaitable);
            received.erase(0, size);
            const std::string answer = this->answers.at(
                std::min(this->requests++, this->answers.size() - 1));
            co_await asio::async_write(
                socket, asio::buffer(answer), asio::use_awaitable);
            asio::steady_timer pause(this->context);
            while (this->trickles)
            {
                pause.expires_after(std::chrono::milliseconds(5));
                co_await pause.async_wait(asio::use_awaitable);
                co_await asio::async_write(
                    socket, asio::buffer("x", 1), asio::use_awaitable);
            }
        }
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
};

std::string make_answer(const std::string& attempt, const std::string& body)
{
    const std::string id =
        attempt.empty() ? "" : "X-Attempt-Id: " + attempt + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + id +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends a request with this attempt and returns the body, or nothing.
asio::awaitable<std::string>
ask_as(http_client& client, endpoint target, std::string attempt)
{
    http_request request;
    request.headers["x-attempt-id"] = std::move(attempt);
    open_limits limits;
    limits.head = patience;
    limits.echoed_header = "x-attempt-id";
    open_outcome outcome = co_await client.open(
        std::move(target), std::move(request), std::move(limits), nullptr);
    std::string body;
    while (outcome.stream != nullptr)
    {
        const result<std::string> piece =
            co_await outcome.stream->read_some(patience);
        if (!piece)
        {
            co_return std::string();
        }
        if (piece.value().empty())
        {
            break;
        }
        body += piece.value();
    }
    co_return body;
}

} // namespace

// Operators saw a late second copy of an answer on a connection that was in
// use again.
TEST_F(http_failure, a_late_second_copy_is_not_the_next_answer)
{
    scripted_server server(this->context);
    server.answers = {
        make_answer("a", "first"),
        make_answer("a", "first") + make_answer("b", "second")};
    const auto body = [&]() -> asio::awaitable<void>
    {
        const std::string first =
            co_await ask_as(this->client, server.address(), "a");
        EXPECT_EQ(first, "first");
        const std::string second =
            co_await ask_as(this->client, server.address(), "b");
        EXPECT_EQ(second, "second");
        EXPECT_EQ(server.connections, 1U);
    };
    this->run(body);
}

TEST_F(http_failure, a_copy_without_a_name_on_a_kept_connection_is_no_answer)
{
    scripted_server server(this->context);
    server.answers = {make_answer("a", "first"), make_answer("", "first")};
    const auto body = [&]() -> asio::awaitable<void>
    {
        const std::string first =
            co_await ask_as(this->client, server.address(), "a");
        EXPECT_EQ(first, "first");
        const std::string second =
            co_await ask_as(this->client, server.address(), "b");
        EXPECT_EQ(second, "");
    };
    this->run(body);
}

// A batch item keeps its name from run to run.
TEST_F(http_failure, a_name_that_is_sent_again_takes_another_connection)
{
    scripted_server server(this->context);
    server.answers = {make_answer("a", "first"), make_answer("a", "again")};
    const auto body = [&]() -> asio::awaitable<void>
    {
        const std::string first =
            co_await ask_as(this->client, server.address(), "a");
        EXPECT_EQ(first, "first");
        const std::string again =
            co_await ask_as(this->client, server.address(), "a");
        EXPECT_EQ(again, "again");
        EXPECT_EQ(server.connections, 2U);
    };
    this->run(body);
}

// Operators saw stalled answers that sent a byte now and then never end.
TEST_F(http_failure, an_answer_that_trickles_ends_with_its_bound)
{
    scripted_server server(this->context);
    server.answers = {"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"};
    server.trickles = true;
    const auto body = [&]() -> asio::awaitable<void>
    {
        http_request request;
        const result<http_response> answer = co_await this->client.request(
            server.address(), request, std::chrono::milliseconds(100));
        EXPECT_FALSE(answer);
    };
    this->run(body);
}

TEST_F(http_failure, a_request_that_must_not_be_sent_any_more_is_not)
{
    scripted_server server(this->context);
    server.answers = {make_answer("", "")};
    const auto body = [&]() -> asio::awaitable<void>
    {
        open_limits limits;
        limits.may_send = []
        {
            return false;
        };
        http_request request;
        const open_outcome outcome = co_await this->client.open(
            server.address(), request, std::move(limits), nullptr);
        EXPECT_EQ(outcome.stream, nullptr);
        EXPECT_EQ(outcome.sent, send_state::not_sent);
        EXPECT_EQ(server.requests, 0U);
    };
    this->run(body);
}

} // namespace chicory::net
