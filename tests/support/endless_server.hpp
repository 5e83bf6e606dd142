#ifndef CHICORY_TESTS_SUPPORT_ENDLESS_SERVER_HPP
#define CHICORY_TESTS_SUPPORT_ENDLESS_SERVER_HPP

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace chicory::testing_support
{

/// Bytes that a server or a client sends: a beginning and, unless it is empty,
/// a part that is repeated until the peer closes the connection.
struct endless_bytes
{
    std::string begin;
    std::string repeated;
};

/// Number of bytes after which a test concludes that its peer reads without a
/// limit.
inline constexpr std::size_t max_endless_bytes = std::size_t(64) << 20U;

/// Writes until the peer closes the connection. Returns the number of bytes
/// written, `max_endless_bytes` plus one piece at most.
inline boost::asio::awaitable<std::size_t>
send_endlessly(boost::asio::ip::tcp::socket& socket, endless_bytes source)
{
    constexpr std::size_t piece_size = 16384;
    constexpr auto as_result =
        boost::asio::as_tuple(boost::asio::use_awaitable);
    std::string piece;
    while (!source.repeated.empty() && piece.size() < piece_size)
    {
        piece += source.repeated;
    }
    auto [code, sent] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(source.begin), as_result);
    std::size_t total = sent;
    while (!code && !piece.empty() && total < max_endless_bytes)
    {
        auto [failure, count] = co_await boost::asio::async_write(
            socket, boost::asio::buffer(piece), as_result);
        code = failure;
        total += count;
    }
    co_return total;
}

/// Responds to the requests of all connections with the entries of `responses`
/// in order, and repeats the last entry after that.
class endless_server
{
public:
    explicit endless_server(boost::asio::io_context& io)
        : context(io), acceptor(
                           io,
                           boost::asio::ip::tcp::endpoint(
                               boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        boost::asio::co_spawn(
            this->context, this->accept(), boost::asio::detached);
    }

    net::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::vector<endless_bytes> responses;
    std::size_t requests = 0;
    std::size_t open_connections = 0;
    /// Number of endless responses that stopped because the peer closed the
    /// connection or `max_endless_bytes` was reached.
    std::size_t unfinished_responses = 0;
    /// Largest number of bytes written for one response.
    std::size_t max_sent_bytes = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (true)
        {
            boost::asio::ip::tcp::socket socket =
                co_await this->acceptor.async_accept(
                    boost::asio::use_awaitable);
            boost::asio::co_spawn(
                this->context,
                this->serve(std::move(socket)),
                boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        constexpr auto as_result =
            boost::asio::as_tuple(boost::asio::use_awaitable);
        ++this->open_connections;
        std::string received;
        while (true)
        {
            auto [code, size] = co_await boost::asio::async_read_until(
                socket,
                boost::asio::dynamic_buffer(received),
                "\r\n\r\n",
                as_result);
            if (code)
            {
                break;
            }
            received.clear();
            const endless_bytes& response = this->responses.at(
                std::min(this->requests++, this->responses.size() - 1));
            const std::size_t sent = co_await send_endlessly(socket, response);
            this->max_sent_bytes = std::max(this->max_sent_bytes, sent);
            if (!response.repeated.empty())
            {
                ++this->unfinished_responses;
                break;
            }
        }
        --this->open_connections;
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace chicory::testing_support

#endif
