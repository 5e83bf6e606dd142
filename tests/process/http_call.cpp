#include "tests/process/http_call.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <unistd.h>

#include <utility>

namespace chicory::process
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

const std::string loopback = "127.0.0.1";
constexpr int min_port = 10000;
constexpr int port_count = 20000;
constexpr int ports_per_process = 61;

} // namespace

net::http_response
call(std::uint16_t port, net::http_request request, duration limit)
{
    asio::io_context context(1);
    net::http_client client(context.get_executor());
    net::http_response response;
    response.status = 0;
    const net::endpoint server{loopback, port};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            result<net::http_response> outcome =
                co_await client.request(server, std::move(request), limit);
            if (outcome)
            {
                response = std::move(outcome.value());
            }
        },
        asio::detached);
    context.run();
    return response;
}

partial_response call_keeping_partial_response(
    std::uint16_t port, net::http_request request, duration limit)
{
    asio::io_context context(1);
    net::http_client client(context.get_executor());
    partial_response partial;
    partial.response.status = 0;
    const net::endpoint server{loopback, port};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            net::open_outcome opened =
                co_await client.open(server, std::move(request), limit);
            if (opened.stream == nullptr)
            {
                co_return;
            }
            partial.response = opened.stream->head();
            while (true)
            {
                const result<std::string> piece =
                    co_await opened.stream->read_some(limit);
                partial.is_complete = piece && piece.value().empty();
                if (!piece || piece.value().empty())
                {
                    co_return;
                }
                partial.response.body += piece.value();
            }
        },
        asio::detached);
    context.run();
    return partial;
}

net::http_response get(std::uint16_t port, const std::string& target)
{
    net::http_request request;
    request.target = target;
    return call(port, std::move(request));
}

net::http_response
post(std::uint16_t port, const std::string& target, const std::string& body)
{
    net::http_request request;
    request.method = "POST";
    request.target = target;
    request.headers["content-type"] = "application/json";
    request.body = body;
    return call(port, std::move(request));
}

json::value parse_body(const net::http_response& response)
{
    boost::system::error_code failed;
    json::value parsed = json::parse(response.body, failed);
    return failed ? json::value() : parsed;
}

std::uint16_t find_free_port()
{
    // The ports are below the ephemeral range, so that no outgoing connection
    // can occupy a port between this call and the start of its server.
    static std::uint16_t next = static_cast<std::uint16_t>(
        min_port + (::getpid() * ports_per_process) % port_count);
    asio::io_context context(1);
    const asio::ip::address local = asio::ip::make_address(loopback);
    while (true)
    {
        ++next;
        if (next >= min_port + port_count)
        {
            next = min_port;
        }
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        boost::system::error_code tcp_failed;
        boost::system::error_code udp_failed;
        acceptor.bind({local, next}, tcp_failed);
        socket.bind({local, next}, udp_failed);
        if (!tcp_failed && !udp_failed)
        {
            return next;
        }
    }
}

} // namespace chicory::process
