#include "net/net.hpp"
#include "tests/support/endless_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <ostream>
#include <string>

namespace chicory::net
{

namespace asio = boost::asio;

namespace
{

using testing_support::endless_bytes;
using testing_support::endless_server;

constexpr std::chrono::seconds time_limit(20);

/// An endless sequence of bytes and the name of its test case.
struct endless_case
{
    std::string name;
    endless_bytes bytes;
};

std::ostream& operator<<(std::ostream& out, const endless_case& value)
{
    return out << value.name;
}

std::string make_case_name(const testing::TestParamInfo<endless_case>& tested)
{
    return tested.param.name;
}

/// Runs a coroutine until it ends, and expects that it ends within the time
/// limit without an exception.
void run(asio::io_context& io, std::function<asio::awaitable<void>()> body)
{
    bool done = false;
    asio::co_spawn(
        io,
        body(),
        [&done](const std::exception_ptr& failure)
        {
            EXPECT_FALSE(failure);
            done = true;
        });
    const time_point until = read_monotonic_clock() + duration(time_limit);
    while (!done && read_monotonic_clock() < until)
    {
        io.run_one_for(std::chrono::milliseconds(5));
    }
    EXPECT_TRUE(done);
}

/// Waits until the server has detected that its connections were closed, and
/// expects that this happened before it had sent all its bytes.
void await_close(asio::io_context& io, const endless_server& server)
{
    const time_point until = read_monotonic_clock() + duration(time_limit);
    while (server.open_connections > 0 && read_monotonic_clock() < until)
    {
        io.run_one_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(server.open_connections, 0U);
    EXPECT_LT(server.max_sent_bytes, testing_support::max_endless_bytes);
}

const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_case> response_cases = {
    {"header_lines", {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}},
    {"one_header_line", {"HTTP/1.1 200 OK\r\nX-A: ", "bbbb"}},
    {"status_line", {"HTTP/1.1 200 ", "O"}},
    {"no_http", {"", "no answer "}},
    {"empty_lines", {"", "\r\n"}},
    {"informational_heads", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
    {"chunk_size", {chunked_head, "0"}},
    {"chunk_extension", {chunked_head + "5;a=", "b"}},
    {"trailers", {chunked_head + "0\r\n", "X-A: b\r\n"}},
    {"chunks", {chunked_head, "4\r\nabcd\r\n"}},
    {"body_without_length", {"HTTP/1.1 200 OK\r\n\r\n", "x"}},
    {"body_of_a_huge_length",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x"}},
};

class endless_response : public testing::TestWithParam<endless_case>
{
};

// Guards against a client that reads without a size limit: a faulty server
// sends bytes that are no response, at full speed, until the client closes the
// connection.
TEST_P(endless_response, fails_and_its_connection_is_closed)
{
    asio::io_context io;
    endless_server server(io);
    server.responses = {this->GetParam().bytes};
    http_client client(io.get_executor());
    const auto body = [&]() -> asio::awaitable<void>
    {
        http_request request;
        const result<http_response> response = co_await client.request(
            server.address(), std::move(request), time_limit);
        EXPECT_FALSE(response);
        if (!response)
        {
            // The request was sent, so the error must not state that it was
            // not run.
            EXPECT_EQ(response.error().kind, error_kind::outcome_unknown);
        }
    };
    run(io, body);
    await_close(io, server);
}

INSTANTIATE_TEST_SUITE_P(
    all, endless_response, testing::ValuesIn(response_cases), &make_case_name);

TEST(endless_late_response, on_a_reused_connection_fails)
{
    asio::io_context io;
    endless_server server(io);
    server.responses = {
        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n", ""},
        {"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n", "x"}};
    http_client client(io.get_executor());
    const auto body = [&]() -> asio::awaitable<void>
    {
        for (const char* attempt : {"a", "b"})
        {
            open_limits limits;
            limits.head = time_limit;
            limits.echoed_header = "x-attempt-id";
            http_request request;
            request.headers["x-attempt-id"] = attempt;
            open_outcome outcome = co_await client.open(
                server.address(),
                std::move(request),
                std::move(limits),
                nullptr);
            const bool is_first = server.requests == 1;
            EXPECT_EQ(outcome.stream != nullptr, is_first);
            if (outcome.stream != nullptr)
            {
                co_await outcome.stream->read_some(time_limit);
            }
            else
            {
                EXPECT_EQ(outcome.failure.kind, error_kind::malformed);
            }
        }
    };
    run(io, body);
    await_close(io, server);
}

TEST(informational_head, is_ignored)
{
    asio::io_context io;
    endless_server server(io);
    server.responses = {
        {"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
         ""}};
    http_client client(io.get_executor());
    const auto body = [&]() -> asio::awaitable<void>
    {
        http_request request;
        const result<http_response> response = co_await client.request(
            server.address(), std::move(request), time_limit);
        EXPECT_TRUE(response);
        if (response)
        {
            EXPECT_EQ(response.value().status, 200);
            EXPECT_EQ(response.value().body, "ok");
        }
    };
    run(io, body);
}

const std::string post_head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_case> request_cases = {
    {"header_lines", {"POST / HTTP/1.1\r\n", "X-A: b\r\n"}},
    {"one_header_line", {"POST / HTTP/1.1\r\nX-A: ", "bbbb"}},
    {"request_line", {"POST /", "a"}},
    {"no_http", {"", "no request "}},
    {"chunk_size", {post_head, "0"}},
    {"chunk_extension", {post_head + "5;a=", "b"}},
    {"trailers", {post_head + "0\r\n", "X-A: b\r\n"}},
    {"chunks", {post_head, "4\r\nabcd\r\n"}},
    {"body_of_a_huge_length",
     {"POST / HTTP/1.1\r\nContent-Length: 9000000000000\r\n\r\n", "x"}},
};

class endless_request : public testing::TestWithParam<endless_case>
{
};

TEST_P(endless_request, fails_and_its_connection_is_closed)
{
    asio::io_context io;
    http_server server(
        io.get_executor(),
        [](http_exchange& exchange) -> asio::awaitable<void>
        {
            constexpr std::size_t max_bytes = 100000;
            const result<std::string> read =
                co_await exchange.read_body(max_bytes);
            EXPECT_FALSE(read);
            http_response response;
            response.status = 413;
            co_await exchange.respond(std::move(response));
        });
    ASSERT_TRUE(server.listen({"127.0.0.1", 0}));
    const auto body = [&]() -> asio::awaitable<void>
    {
        asio::ip::tcp::socket socket(io);
        const asio::ip::tcp::endpoint target(
            asio::ip::make_address("127.0.0.1"), server.port());
        co_await socket.async_connect(target, asio::use_awaitable);
        const std::size_t sent = co_await testing_support::send_endlessly(
            socket, this->GetParam().bytes);
        EXPECT_LT(sent, testing_support::max_endless_bytes);
    };
    run(io, body);
    EXPECT_EQ(server.in_progress(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    all, endless_request, testing::ValuesIn(request_cases), &make_case_name);

} // namespace

} // namespace chicory::net
