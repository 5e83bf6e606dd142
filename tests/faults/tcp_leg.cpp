#include "tests/faults/leg.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <utility>

namespace chicory::faults
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t piece_bytes = 65536;
constexpr std::chrono::milliseconds retransmission_delay(200);
constexpr std::chrono::milliseconds cut_check_interval(10);

/// The two sockets of one connection through the proxy.
struct connection_pair
{
    connection_pair(tcp::socket from_client, asio::any_io_executor executor)
        : client(std::move(from_client)), server(executor)
    {
    }

    /// Closes both sockets.
    void close()
    {
        boost::system::error_code ignored;
        this->client.close(ignored);
        this->server.close(ignored);
    }

    /// Closes both sockets with a reset.
    void reset()
    {
        boost::system::error_code ignored;
        const asio::socket_base::linger reset_on_close(true, 0);
        this->client.set_option(reset_on_close, ignored);
        this->server.set_option(reset_on_close, ignored);
        this->close();
    }

    tcp::socket client;
    tcp::socket server;
    bool silent = false;
};

class tcp_leg final : public running_leg,
                      public std::enable_shared_from_this<tcp_leg>
{
public:
    tcp_leg(
        asio::any_io_executor context,
        leg_settings settings,
        std::uint64_t seed)
        : executor(std::move(context)), acceptor(this->executor),
          faults(std::move(settings), seed)
    {
    }

    result<void> start() override
    {
        const leg_settings& chosen = this->faults.settings();
        boost::system::error_code failed;
        const tcp::endpoint local(
            asio::ip::make_address(chosen.local.address), chosen.local.port);
        this->acceptor.open(local.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(local, failed);
        if (!failed)
        {
            this->acceptor.listen(
                asio::socket_base::max_listen_connections, failed);
        }
        if (failed)
        {
            return make_error(
                error_kind::unavailable,
                "leg " + chosen.name + ": " + failed.message());
        }
        asio::co_spawn(
            this->executor,
            [self = this->shared_from_this()]
            {
                return self->accept();
            },
            asio::detached);
        return boost::outcome_v2::success();
    }

    std::uint16_t port() const override
    {
        return this->acceptor.local_endpoint().port();
    }

    std::size_t open_count() const override
    {
        return this->pairs.size();
    }

    void apply_now(fault_kind kind) override
    {
        for (const std::shared_ptr<connection_pair>& pair : this->pairs)
        {
            if (kind == fault_kind::reset)
            {
                pair->reset();
            }
            pair->silent = pair->silent || kind == fault_kind::silence;
        }
    }

    leg& rules() override
    {
        return this->faults;
    }

private:
    asio::awaitable<void> accept()
    {
        const std::shared_ptr<tcp_leg> self = this->shared_from_this();
        while (this->acceptor.is_open())
        {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(as_result);
            if (failed || this->faults.is_refusing())
            {
                continue;
            }
            const std::shared_ptr<connection_pair> pair =
                std::make_shared<connection_pair>(
                    std::move(socket), this->executor);
            this->pairs.insert(pair);
            asio::co_spawn(this->executor, self->connect(pair), asio::detached);
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<connection_pair> pair)
    {
        const std::shared_ptr<tcp_leg> self = this->shared_from_this();
        while (this->faults.is_cut())
        {
            co_await wait(cut_check_interval);
        }
        co_await wait(this->faults.draw_delay());
        const net::endpoint& target = this->faults.settings().target;
        const tcp::endpoint remote(
            asio::ip::make_address(target.address), target.port);
        auto [failed] = co_await pair->server.async_connect(remote, as_result);
        if (failed)
        {
            pair->reset();
            this->pairs.erase(pair);
            co_return;
        }
        boost::system::error_code ignored;
        const tcp::no_delay disable_nagle(true);
        pair->client.set_option(disable_nagle, ignored);
        pair->server.set_option(disable_nagle, ignored);
        asio::co_spawn(
            this->executor,
            self->forward(pair, direction::request),
            asio::detached);
        co_await self->forward(pair, direction::response);
    }

    asio::awaitable<void>
    forward(std::shared_ptr<connection_pair> pair, direction flow)
    {
        const std::shared_ptr<tcp_leg> self = this->shared_from_this();
        const bool is_request = flow == direction::request;
        tcp::socket& source = is_request ? pair->client : pair->server;
        std::string buffer(piece_bytes, '\0');
        std::string tail;
        bool open = true;
        while (open)
        {
            auto [failed, length] = co_await source.async_read_some(
                asio::buffer(buffer), as_result);
            if (failed)
            {
                break;
            }
            const std::string piece = buffer.substr(0, length);
            open = co_await this->forward_piece(*pair, flow, tail, piece);
        }
        if (!pair->silent)
        {
            pair->close();
        }
        this->pairs.erase(pair);
    }

    asio::awaitable<bool> forward_piece(
        connection_pair& pair,
        direction flow,
        std::string& tail,
        const std::string& piece)
    {
        const std::vector<std::shared_ptr<rule>> matched =
            this->faults.match(flow, tail, piece);
        for (const std::shared_ptr<rule>& early_rule : matched)
        {
            if (!early_rule->after)
            {
                co_await this->apply(pair, early_rule);
            }
        }
        co_await wait(this->faults.draw_delay());
        if (this->faults.draw_loss())
        {
            co_await wait(retransmission_delay);
        }
        while (this->faults.is_cut() && !pair.silent)
        {
            co_await wait(cut_check_interval);
        }
        if (pair.silent)
        {
            co_return true;
        }
        tcp::socket& sink =
            flow == direction::request ? pair.server : pair.client;
        auto [failed, length] =
            co_await asio::async_write(sink, asio::buffer(piece), as_result);
        if (failed)
        {
            co_return false;
        }
        for (const std::shared_ptr<rule>& late_rule : matched)
        {
            if (late_rule->after)
            {
                co_await this->apply(pair, late_rule);
            }
        }
        co_return true;
    }

    asio::awaitable<void>
    apply(connection_pair& pair, std::shared_ptr<rule> cause)
    {
        switch (cause->effect.kind)
        {
        case fault_kind::reset:
            pair.reset();
            break;
        case fault_kind::silence:
            pair.silent = true;
            break;
        case fault_kind::hold:
            co_await wait_for_release(cause);
            break;
        case fault_kind::delay:
            co_await wait(cause->effect.delay);
            break;
        default:
            this->faults.set(cause->effect);
            break;
        }
    }

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    leg faults;
    std::set<std::shared_ptr<connection_pair>> pairs;
};

} // namespace

std::shared_ptr<running_leg> make_tcp_leg(
    asio::any_io_executor executor, leg_settings settings, std::uint64_t seed)
{
    return std::make_shared<tcp_leg>(
        std::move(executor), std::move(settings), seed);
}

} // namespace chicory::faults
