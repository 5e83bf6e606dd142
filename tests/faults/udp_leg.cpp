#include "tests/faults/leg.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace chicory::faults
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t datagram_bytes = 65536;
constexpr std::chrono::milliseconds reorder_delay(30);

class udp_leg final : public running_leg,
                      public std::enable_shared_from_this<udp_leg>
{
public:
    udp_leg(
        asio::any_io_executor context,
        leg_settings settings,
        std::uint64_t seed)
        : executor(std::move(context)), socket(this->executor),
          faults(std::move(settings), seed)
    {
    }

    result<void> start() override
    {
        const leg_settings& chosen = this->faults.settings();
        boost::system::error_code failed;
        const udp::endpoint local(
            asio::ip::make_address(chosen.local.address), chosen.local.port);
        this->socket.open(local.protocol());
        this->socket.bind(local, failed);
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
                return self->receive_requests();
            },
            asio::detached);
        return boost::outcome_v2::success();
    }

    std::uint16_t port() const override
    {
        return this->socket.local_endpoint().port();
    }

    std::size_t open_count() const override
    {
        return this->senders.size();
    }

    void apply_now(fault_kind kind) override
    {
        if (kind == fault_kind::reset || kind == fault_kind::silence)
        {
            this->senders.clear();
        }
    }

    leg& rules() override
    {
        return this->faults;
    }

private:
    asio::awaitable<void> receive_requests()
    {
        const std::shared_ptr<udp_leg> self = this->shared_from_this();
        const net::endpoint& target = this->faults.settings().target;
        const udp::endpoint remote(
            asio::ip::make_address(target.address), target.port);
        std::string buffer(datagram_bytes, '\0');
        while (this->socket.is_open())
        {
            udp::endpoint sender;
            auto [failed, length] = co_await this->socket.async_receive_from(
                asio::buffer(buffer), sender, as_result);
            if (failed)
            {
                continue;
            }
            const std::shared_ptr<udp::socket> relay_socket =
                this->find_or_open_relay(sender);
            asio::co_spawn(
                this->executor,
                self->forward(
                    relay_socket,
                    remote,
                    direction::request,
                    buffer.substr(0, length)),
                asio::detached);
        }
    }

    /// Returns the socket that forwards the datagrams of one sender. Each
    /// sender has a separate socket, so that replies can be returned to it.
    /// Opens the socket if there is none.
    std::shared_ptr<udp::socket> find_or_open_relay(const udp::endpoint& sender)
    {
        std::shared_ptr<udp::socket>& relay_socket = this->senders[sender];
        if (relay_socket == nullptr)
        {
            relay_socket = std::make_shared<udp::socket>(
                this->executor, udp::endpoint(sender.protocol(), 0));
            asio::co_spawn(
                this->executor,
                this->receive_responses(relay_socket, sender),
                asio::detached);
        }
        return relay_socket;
    }

    asio::awaitable<void> receive_responses(
        std::shared_ptr<udp::socket> relay_socket, udp::endpoint sender)
    {
        const std::shared_ptr<udp_leg> self = this->shared_from_this();
        const std::shared_ptr<udp::socket> listening_socket(
            self, &this->socket);
        std::string buffer(datagram_bytes, '\0');
        while (true)
        {
            udp::endpoint source;
            auto [failed, length] = co_await relay_socket->async_receive_from(
                asio::buffer(buffer), source, as_result);
            if (failed == asio::error::operation_aborted)
            {
                co_return;
            }
            if (failed)
            {
                continue;
            }
            asio::co_spawn(
                this->executor,
                self->forward(
                    listening_socket,
                    sender,
                    direction::response,
                    buffer.substr(0, length)),
                asio::detached);
        }
    }

    asio::awaitable<void> forward(
        std::shared_ptr<udp::socket> relay_socket,
        udp::endpoint target,
        direction flow,
        std::string datagram)
    {
        const std::shared_ptr<udp_leg> self = this->shared_from_this();
        std::string no_tail;
        const std::vector<std::shared_ptr<rule>> matched =
            this->faults.match(flow, no_tail, datagram);
        for (const std::shared_ptr<rule>& cause : matched)
        {
            if (cause->effect.kind == fault_kind::hold)
            {
                co_await wait_for_release(cause);
            }
            this->faults.set(cause->effect);
        }
        if (this->faults.is_cut() || this->faults.draw_loss())
        {
            co_return;
        }
        co_await wait(this->faults.draw_delay());
        if (this->faults.draw_reorder())
        {
            co_await wait(reorder_delay);
        }
        co_await relay_socket->async_send_to(
            asio::buffer(datagram), target, as_result);
    }

    asio::any_io_executor executor;
    udp::socket socket;
    leg faults;
    std::map<udp::endpoint, std::shared_ptr<udp::socket>> senders;
};

} // namespace

std::shared_ptr<running_leg> make_udp_leg(
    asio::any_io_executor executor, leg_settings settings, std::uint64_t seed)
{
    return std::make_shared<udp_leg>(
        std::move(executor), std::move(settings), seed);
}

} // namespace chicory::faults
