#ifndef CHICORY_TESTS_SUPPORT_SCRIPTED_SERVER_HPP
#define CHICORY_TESTS_SUPPORT_SCRIPTED_SERVER_HPP

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace chicory::testing_support
{

/// A request that a scripted server received.
struct scripted_request
{
    /// Number of the connection, from zero.
    std::size_t connection = 0;
    /// Value of the header `X-Attempt-Id`.
    std::string attempt;
    /// Value of the header `Last-Event-Id`; empty if there is none.
    std::string after;
    /// Port of the server.
    std::uint16_t port = 0;
};

/// Bytes that a scripted server writes in response to a request.
struct scripted_response
{
    std::string bytes;
    /// Written on the same connection after a pause, in which another request
    /// may arrive.
    std::string late_bytes = {};
    /// Closes the connection after the bytes.
    bool closes = false;
};

/// Server that writes any bytes, such as responses that no proper server would
/// send.
class scripted_server
{
public:
    using respond_hook =
        std::function<scripted_response(const scripted_request&)>;

    scripted_server(boost::asio::io_context& io, respond_hook hook)
        : context(io), acceptor(
                           io,
                           boost::asio::ip::tcp::endpoint(
                               boost::asio::ip::make_address("127.0.0.1"), 0)),
          respond(std::move(hook))
    {
        boost::asio::co_spawn(
            this->context, this->accept(), boost::asio::detached);
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    std::vector<scripted_request> requests;

private:
    static std::string
    find_value(const std::string& head, const std::string& name)
    {
        std::string lower = net::to_lower(head);
        const std::size_t found = lower.find("\r\n" + name + ":");
        if (found == std::string::npos)
        {
            return std::string();
        }
        const std::size_t start =
            head.find_first_not_of(' ', found + name.size() + 3);
        return head.substr(start, head.find("\r\n", start) - start);
    }

    boost::asio::awaitable<void> accept()
    {
        while (true)
        {
            boost::asio::ip::tcp::socket socket =
                co_await this->acceptor.async_accept(
                    boost::asio::use_awaitable);
            boost::asio::co_spawn(
                this->context,
                this->serve(std::move(socket), this->connections++),
                boost::asio::detached);
        }
    }

    boost::asio::awaitable<void>
    serve(boost::asio::ip::tcp::socket socket, std::size_t number)
    {
        constexpr auto as_result =
            boost::asio::as_tuple(boost::asio::use_awaitable);
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
                co_return;
            }
            const std::string head = received.substr(0, size);
            const std::string length = find_value(head, "content-length");
            const std::size_t whole =
                size + (length.empty() ? 0 : std::stoul(length));
            if (received.size() < whole)
            {
                co_await boost::asio::async_read(
                    socket,
                    boost::asio::dynamic_buffer(received),
                    boost::asio::transfer_exactly(whole - received.size()),
                    as_result);
            }
            received.erase(0, whole);
            const scripted_request request{
                number,
                find_value(head, "x-attempt-id"),
                find_value(head, "last-event-id"),
                this->port()};
            this->requests.push_back(request);
            const scripted_response response = this->respond(request);
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(response.bytes), as_result);
            if (!response.late_bytes.empty())
            {
                boost::asio::steady_timer timer(this->context);
                timer.expires_after(std::chrono::milliseconds(20));
                co_await timer.async_wait(as_result);
                co_await boost::asio::async_write(
                    socket,
                    boost::asio::buffer(response.late_bytes),
                    as_result);
            }
            if (response.closes)
            {
                co_return;
            }
        }
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    respond_hook respond;
    std::size_t connections = 0;
};

} // namespace chicory::testing_support

#endif
