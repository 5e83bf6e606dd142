// Guards against two failures when a server responds before it has read a long
// request and then closes the connection: the response is lost although it had
// arrived whole, and a part of a body that has no length is taken for the whole
// one. The reset is an error of the write; the read sees only an end.

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

namespace chicory::net
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds time_limit(20);
/// More than the buffers of both sockets hold.
constexpr std::size_t upload_bytes = std::size_t(16) << 20U;

struct early_response
{
    const char* name;
    std::string bytes;
    /// Status of the head that the client must return; 0 if it must fail. A
    /// refusal is known from its head, whatever follows.
    int head_status = 0;
    /// Status and body if the response is whole; status 0 if it is not.
    int status = 0;
    std::string body = {};
};

const std::string framing_length =
    "HTTP/1.1 503 Busy\r\nX-Attempt-Id: t\r\nContent-Length: 4\r\n\r\n";
const std::string framing_chunks =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string framing_end = "HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\n\r\n";

class early_response_test
    : public testing::TestWithParam<std::tuple<early_response, bool>>
{
protected:
    early_response_test()
        : client(this->io.get_executor()),
          acceptor(
              this->io,
              asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(this->io, this->serve(), asio::detached);
    }

    /// Reads the head of a request only, responds, and closes the connection a
    /// moment later, when the client is blocked in its write.
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
            ++this->connections;
            std::string received;
            co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", as_result);
            const auto& [response, resets] = this->GetParam();
            co_await asio::async_write(
                socket, asio::buffer(response.bytes), as_result);
            asio::steady_timer timer(this->io);
            timer.expires_after(50ms);
            co_await timer.async_wait(as_result);
            if (resets)
            {
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            socket.close();
        }
    }

    asio::awaitable<void> call()
    {
        http_request request;
        request.method = "POST";
        request.headers["x-attempt-id"] = "t";
        request.body.assign(upload_bytes, 'x');
        open_limits limits;
        limits.head = time_limit;
        limits.connect = time_limit;
        limits.echoed_header = "x-attempt-id";
        const endpoint target{
            "127.0.0.1", this->acceptor.local_endpoint().port()};
        open_outcome opened = co_await this->client.open(
            target, std::move(request), std::move(limits), nullptr);
        this->status = 0;
        this->head_status = 0;
        this->failure = opened.failure.kind;
        if (opened.stream != nullptr)
        {
            this->head_status = opened.stream->head().status;
            const result<std::string> read = co_await read_whole(
                *opened.stream,
                read_monotonic_clock() + duration(time_limit),
                1000);
            this->status = read ? opened.stream->head().status : 0;
            this->body = read ? read.value() : std::string();
        }
        this->io.stop();
    }

    asio::io_context io{1};
    http_client client;
    asio::ip::tcp::acceptor acceptor;
    int connections = 0;
    int status = 0;
    /// Status of the head, also if the body is not known to be whole.
    int head_status = 0;
    std::string body;
    error_kind failure = error_kind::timeout;
};

} // namespace

TEST_P(early_response_test, is_returned_if_it_is_known_to_be_whole)
{
    const early_response& expected = std::get<0>(this->GetParam());
    for (int number = 1; number <= 3; ++number)
    {
        asio::co_spawn(this->io, this->call(), asio::detached);
        this->io.restart();
        this->io.run();
        EXPECT_EQ(this->status, expected.status);
        EXPECT_EQ(this->body, expected.body);
        EXPECT_EQ(this->head_status, expected.head_status);
        // The connection is not used again.
        EXPECT_EQ(this->connections, number);
    }
}

INSTANTIATE_TEST_SUITE_P(
    all,
    early_response_test,
    testing::Combine(
        testing::Values(
            early_response{"length", framing_length + "busy", 503, 503, "busy"},
            early_response{"length_cut", framing_length + "bu", 503},
            early_response{
                "chunks",
                framing_chunks + "2\r\nhi\r\n0\r\n\r\n",
                200,
                200,
                "hi"},
            early_response{"chunks_cut", framing_chunks + "2\r\nhi\r\n", 200},
            early_response{"end_of_connection", framing_end + "a part", 200},
            early_response{"end_of_connection_no_body", framing_end, 200},
            early_response{"head_cut", "HTTP/1.1 503 Busy\r\nX-Att"},
            early_response{"none", ""}),
        testing::Bool()),
    [](const auto& tested)
    {
        return std::string(std::get<0>(tested.param).name) +
               (std::get<1>(tested.param) ? "_reset" : "_closed");
    });

} // namespace chicory::net
