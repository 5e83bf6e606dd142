// Guards against a response whose head breaks off and that is taken for a
// whole one with an empty or a short body.

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds time_limit(20);

struct tested_head
{
    const char* name;
    std::string bytes;
    /// How a connection ends after the last byte.
    bool resets = false;
};

const std::string informational =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string status_line =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: t1\r\nX-Response-Stamp: stamp\r\n";
const std::string with_length = status_line + "Content-Length: 4\r\n\r\n";
const std::string with_chunks =
    status_line + "Transfer-Encoding: chunked\r\n\r\n";

class cut_head_test : public testing::TestWithParam<tested_head>
{
protected:
    cut_head_test()
        : client(this->io.get_executor()),
          acceptor(
              this->io,
              asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(this->io, this->serve(), asio::detached);
    }

    /// Responds on each connection to a first request wholly and to the next
    /// one with `bytes`, and ends the connection.
    asio::awaitable<void> serve()
    {
        while (true)
        {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_result);
            if (failed)
            {
                co_return;
            }
            std::string received;
            const std::array<std::string, 2> responses = {
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: t0\r\n"
                "Content-Length: 2\r\n\r\nok",
                this->bytes};
            for (const std::string& response : responses)
            {
                auto [code, size] = co_await asio::async_read_until(
                    socket,
                    asio::dynamic_buffer(received),
                    "\r\n\r\n",
                    as_result);
                received.erase(0, size);
                co_await asio::async_write(
                    socket, asio::buffer(response), as_result);
            }
            if (this->GetParam().resets)
            {
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            socket.close();
        }
    }

    /// Sends a request and returns the body of the response, or an error.
    result<std::string> call(const std::string& attempt)
    {
        result<std::string> outcome = std::string();
        asio::co_spawn(
            this->io,
            [&]() -> asio::awaitable<void>
            {
                http_request request;
                request.headers["x-attempt-id"] = attempt;
                open_limits limits;
                limits.head = time_limit;
                limits.connect = time_limit;
                limits.echoed_header = "x-attempt-id";
                const endpoint target{
                    "127.0.0.1", this->acceptor.local_endpoint().port()};
                open_outcome opened = co_await this->client.open(
                    target, std::move(request), std::move(limits), nullptr);
                outcome = opened.failure;
                if (opened.stream != nullptr)
                {
                    outcome = co_await read_whole(
                        *opened.stream,
                        read_monotonic_clock() + duration(time_limit),
                        1000);
                }
                this->io.stop();
            },
            asio::detached);
        this->io.restart();
        this->io.run();
        return outcome;
    }

    asio::io_context io{1};
    http_client client;
    asio::ip::tcp::acceptor acceptor;
    std::string bytes;
};

} // namespace

TEST_P(cut_head_test, is_a_failure_at_each_byte)
{
    const std::string& head = this->GetParam().bytes;
    for (std::size_t size = 0; size <= head.size(); ++size)
    {
        this->bytes = head.substr(0, size);
        // The cut response comes on a connection that is used again, and the
        // next call gets a whole one on another connection.
        const result<std::string> first = this->call("t0");
        ASSERT_TRUE(first.has_value()) << size;
        EXPECT_EQ(first.value(), "ok");
        const result<std::string> cut = this->call("t1");
        EXPECT_FALSE(cut.has_value()) << "cut after " << size << " bytes";
    }
}

INSTANTIATE_TEST_SUITE_P(
    all,
    cut_head_test,
    testing::Values(
        tested_head{"length", with_length},
        tested_head{"length_reset", with_length, true},
        tested_head{"chunks", with_chunks},
        tested_head{"chunks_reset", with_chunks, true},
        // Without a length the head is whole only with its blank line, after
        // which an end of the connection is the end of an empty body.
        tested_head{"end_of_connection", status_line + "\r"},
        tested_head{"end_of_connection_reset", status_line + "\r\n", true},
        tested_head{"informational", informational + with_length},
        tested_head{"informational_reset", informational + with_chunks, true}),
    [](const testing::TestParamInfo<tested_head>& tested)
    {
        return std::string(tested.param.name);
    });

} // namespace chicory::net
