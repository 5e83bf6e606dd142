#include "wire/link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace chicory::wire
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_message_bytes = 64 * 1024 * 1024;
constexpr std::size_t max_queued_bytes = 256 * 1024 * 1024;
constexpr std::chrono::milliseconds heartbeat_interval(500);
constexpr std::chrono::milliseconds silence_limit(2500);
constexpr std::chrono::milliseconds connect_limit(1000);

void append_length(std::string& bytes, std::size_t length)
{
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        bytes.push_back(static_cast<char>((length >> shift) & 0xFF));
    }
}

std::size_t read_length(const std::array<unsigned char, length_bytes>& bytes)
{
    std::size_t length = 0;
    for (const unsigned char byte : bytes)
    {
        length = (length << 8) | byte;
    }
    return length;
}

/// A link over one TCP socket. Each coroutine owns a reference to the link, so
/// the link outlives its coroutines.
class tcp_link final : public link
{
public:
    explicit tcp_link(asio::any_io_executor context)
        : executor(context), socket(context), timer(context)
    {
    }

    explicit tcp_link(asio::ip::tcp::socket accepted)
        : executor(accepted.get_executor()), socket(std::move(accepted)),
          timer(executor), connected(true)
    {
    }

    void send(const message& value) override
    {
        if (!this->open)
        {
            return;
        }
        const std::string body = encode(value);
        append_length(this->queue, body.size());
        this->queue += body;
        if (this->queue.size() > max_queued_bytes)
        {
            this->close();
            return;
        }
        this->start_writing();
    }

    void close() override
    {
        if (!this->open)
        {
            return;
        }
        this->open = false;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->timer.cancel();
        const std::shared_ptr<link> self = this->shared_from_this();
        asio::post(
            this->executor,
            [self, this]()
            {
                if (this->on_closed)
                {
                    this->on_closed(self);
                }
                this->on_closed = nullptr;
                this->on_message = nullptr;
            });
    }

    bool is_open() const override
    {
        return this->open;
    }

    bool was_connected() const override
    {
        return this->connected;
    }

    std::optional<time_point> last_received() const override
    {
        return this->last_message_at;
    }

    std::size_t queued_bytes() const override
    {
        return this->queue.size();
    }

    /// Starts reading, writing and the heartbeat of a connected link.
    void start()
    {
        this->last_activity = read_monotonic_clock();
        boost::system::error_code ignored;
        this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const std::shared_ptr<link> self = this->shared_from_this();
        asio::co_spawn(this->executor, this->read(self), asio::detached);
        asio::co_spawn(
            this->executor, this->send_heartbeats(self), asio::detached);
        this->start_writing();
    }

    asio::awaitable<void> connect(std::shared_ptr<link> self, net::endpoint to)
    {
        boost::system::error_code code;
        const asio::ip::address address =
            asio::ip::make_address(to.address, code);
        this->timer.expires_after(connect_limit);
        this->timer.async_wait(
            [self, this](boost::system::error_code expired)
            {
                if (!expired && !this->connected)
                {
                    this->close();
                }
            });
        if (!code)
        {
            const asio::ip::tcp::endpoint target(address, to.port);
            auto [failure] =
                co_await this->socket.async_connect(target, as_result);
            code = failure;
        }
        if (code || !this->open)
        {
            this->close();
            co_return;
        }
        this->connected = true;
        this->timer.cancel();
        this->start();
    }

private:
    void start_writing()
    {
        if (this->writing || !this->connected || this->queue.empty())
        {
            return;
        }
        this->writing = true;
        const std::shared_ptr<link> self = this->shared_from_this();
        asio::co_spawn(this->executor, this->write(self), asio::detached);
    }

    asio::awaitable<void> write([[maybe_unused]] std::shared_ptr<link> self)
    {
        while (this->open && !this->queue.empty())
        {
            this->outgoing.clear();
            std::swap(this->outgoing, this->queue);
            auto [code, count] = co_await asio::async_write(
                this->socket, asio::buffer(this->outgoing), as_result);
            if (code)
            {
                this->close();
            }
        }
        this->writing = false;
    }

    asio::awaitable<void> read(std::shared_ptr<link> self)
    {
        std::string body;
        while (this->open)
        {
            std::array<unsigned char, length_bytes> head{};
            auto [head_code, head_count] = co_await asio::async_read(
                this->socket, asio::buffer(head), as_result);
            const std::size_t length = read_length(head);
            if (head_code || length > max_message_bytes)
            {
                break;
            }
            body.resize(length);
            auto [code, count] = co_await asio::async_read(
                this->socket, asio::buffer(body), as_result);
            if (code || !this->receive(self, body))
            {
                break;
            }
        }
        this->close();
    }

    /// Handles a received message. Returns false when the bytes are not a
    /// valid message.
    bool receive(const std::shared_ptr<link>& self, const std::string& body)
    {
        result<message> received = decode(body);
        if (!received)
        {
            return false;
        }
        this->last_activity = read_monotonic_clock();
        this->last_message_at = this->last_activity;
        if (const heartbeat* beat = std::get_if<heartbeat>(&received.value()))
        {
            this->send(heartbeat_reply{beat->sequence});
            return true;
        }
        if (std::holds_alternative<heartbeat_reply>(received.value()))
        {
            return true;
        }
        if (this->open && this->on_message)
        {
            // The callback may replace `on_message` while it runs, so a copy
            // is called.
            const message_hook hook = this->on_message;
            hook(self, std::move(received.value()));
        }
        return true;
    }

    asio::awaitable<void>
    send_heartbeats([[maybe_unused]] std::shared_ptr<link> self)
    {
        while (this->open)
        {
            this->send(heartbeat{++this->sequence});
            this->timer.expires_after(heartbeat_interval);
            co_await this->timer.async_wait(as_result);
            const duration silence =
                read_monotonic_clock() - this->last_activity;
            if (silence > silence_limit)
            {
                this->close();
            }
        }
    }

    asio::any_io_executor executor;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string queue;
    std::string outgoing;
    /// Time of the last received message, or of the connection before the
    /// first message.
    time_point last_activity{};
    std::optional<time_point> last_message_at;
    std::uint64_t sequence = 0;
    bool open = true;
    bool connected = false;
    bool writing = false;
};

} // namespace

std::shared_ptr<link> open_link(
    asio::any_io_executor executor,
    net::endpoint server,
    link::message_hook on_message,
    link::closed_hook on_closed)
{
    const std::shared_ptr<tcp_link> opened =
        std::make_shared<tcp_link>(executor);
    opened->set_message_hook(std::move(on_message));
    opened->set_closed_hook(std::move(on_closed));
    asio::co_spawn(
        executor, opened->connect(opened, std::move(server)), asio::detached);
    return opened;
}

struct link_server::state
{
    state(asio::any_io_executor context, accept_hook hook)
        : executor(context), acceptor(context), on_accept(std::move(hook))
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    accept_hook on_accept;

    static asio::awaitable<void> accept_links(std::shared_ptr<state> self)
    {
        while (self->acceptor.is_open())
        {
            auto [code, socket] =
                co_await self->acceptor.async_accept(self->executor, as_result);
            if (code == asio::error::operation_aborted)
            {
                co_return;
            }
            if (code)
            {
                continue;
            }
            const std::shared_ptr<tcp_link> accepted =
                std::make_shared<tcp_link>(std::move(socket));
            self->on_accept(accepted);
            accepted->start();
        }
    }
};

link_server::link_server(asio::any_io_executor executor, accept_hook on_accept)
    : shared(std::make_shared<state>(executor, std::move(on_accept)))
{
}

link_server::~link_server()
{
    this->stop_accepting();
}

result<void> link_server::listen(const net::endpoint& local)
{
    boost::system::error_code code;
    const asio::ip::address address =
        asio::ip::make_address(local.address, code);
    asio::ip::tcp::acceptor& acceptor = this->shared->acceptor;
    const asio::ip::tcp::endpoint target(address, local.port);
    if (!code)
    {
        acceptor.open(target.protocol(), code);
    }
    if (!code)
    {
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code)
    {
        acceptor.bind(target, code);
    }
    if (!code)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code)
    {
        return make_error(
            error_kind::unavailable,
            "listen on " + local.address + ":" + std::to_string(local.port) +
                ": " + code.message());
    }
    asio::co_spawn(
        this->shared->executor,
        state::accept_links(this->shared),
        asio::detached);
    return boost::outcome_v2::success();
}

std::uint16_t link_server::port() const
{
    boost::system::error_code code;
    return this->shared->acceptor.local_endpoint(code).port();
}

void link_server::stop_accepting()
{
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
}

} // namespace chicory::wire
