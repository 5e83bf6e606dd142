#include "net/net.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace chicory::net
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<void> echo(http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(1000000);
    if (exchange.head().target == "/stream")
    {
        http_response head;
        co_await exchange.start_stream(std::move(head));
        for (int index = 0; index < 3; ++index)
        {
            co_await exchange.write_chunk("piece" + std::to_string(index));
        }
        co_await exchange.end_stream();
        co_return;
    }
    http_response response;
    response.headers["x-method"] = exchange.head().method;
    response.body = body.value();
    co_await exchange.respond(std::move(response));
}

/// Fixture with a client and an echo server, which run until a coroutine ends.
class http : public testing::Test
{
protected:
    http()
        : server(context.get_executor(), &echo), client(context.get_executor())
    {
        EXPECT_TRUE(this->server.listen({"127.0.0.1", 0}));
        this->target = {"127.0.0.1", this->server.port()};
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
    }

    asio::io_context context;
    http_server server;
    http_client client;
    endpoint target;
};

} // namespace

TEST_F(http, a_body_is_echoed_on_a_reused_connection)
{
    const auto body = [this]() -> asio::awaitable<void>
    {
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            http_request request{"POST", "/echo", {}, std::string(100000, 'x')};
            result<http_response> response = co_await this->client.request(
                this->target, std::move(request), std::chrono::seconds(5));
            EXPECT_TRUE(response.has_value());
            EXPECT_EQ(response.value().body.size(), 100000U);
            EXPECT_EQ(response.value().headers["x-method"], "POST");
        }
    };
    this->run(body);
}

TEST_F(http, a_stream_arrives_in_pieces_and_ends)
{
    const auto body = [this]() -> asio::awaitable<void>
    {
        http_request request{"POST", "/stream", {}, ""};
        open_outcome outcome = co_await this->client.open(
            this->target, std::move(request), std::chrono::seconds(5));
        EXPECT_NE(outcome.stream, nullptr);
        std::string whole;
        while (true)
        {
            result<std::string> piece =
                co_await outcome.stream->read_some(std::chrono::seconds(5));
            EXPECT_TRUE(piece.has_value());
            if (!piece || piece.value().empty())
            {
                break;
            }
            whole += piece.value();
        }
        EXPECT_EQ(whole, "piece0piece1piece2");
    };
    this->run(body);
}

TEST_F(http, a_refused_connection_is_certainly_not_sent)
{
    const endpoint closed = this->target;
    this->server.stop_accepting();
    const auto body = [this, closed]() -> asio::awaitable<void>
    {
        http_request request{"GET", "/", {}, ""};
        open_outcome outcome = co_await this->client.open(
            closed, std::move(request), std::chrono::seconds(5));
        EXPECT_EQ(outcome.stream, nullptr);
        EXPECT_EQ(outcome.sent, send_state::not_sent);
        EXPECT_EQ(outcome.failure.kind, error_kind::unavailable);
    };
    this->run(body);
}

} // namespace chicory::net
