#include "net/http_server.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace chicory::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_size = 65536;
/// Size of the blocks in which unsent bytes are buffered.
constexpr std::size_t send_block_size = 16384;
constexpr std::size_t first_read_size = 4096;
/// Limits on what is discarded from the peer of a connection after the
/// response. A body of the usual maximum of 4 MB that is refused while it
/// arrives is discarded whole.
constexpr std::chrono::seconds discard_limit(1);
constexpr std::size_t max_discarded_bytes = std::size_t(8) << 20U;
/// Largest number of connections that are accepted from a backlog at the end.
constexpr int max_backlog = 4096;
/// Time that callers have, after the listener was closed, to send a request
/// whose connection is established or whose first bytes have arrived.
constexpr std::chrono::milliseconds request_arrival_limit(500);
/// Largest number of buffered bytes that are not parsed yet, besides a head.
/// Bounds the longest line between two chunks, trailers included.
constexpr std::size_t max_unparsed_bytes = 65536;

error make_peer_error(beast::error_code code)
{
    return make_error(error_kind::unavailable, "peer: " + code.message());
}

error make_abandoned_error()
{
    return make_error(
        error_kind::unavailable,
        "response: expected a server that runs, found one that has stopped and "
        "answered the request");
}

/// Returns the response to a request that has not arrived whole when the
/// server stops.
http_response make_stop_refusal()
{
    http_response refusal;
    refusal.status = 503;
    refusal.headers["retry-after"] = "0";
    return refusal;
}

/// Ends the sending side of a connection and discards what the peer still
/// sends. A connection that is closed with unread bytes is reset, which may
/// destroy a response that the peer has not read.
asio::awaitable<void> discard_input(beast::tcp_stream& stream)
{
    beast::error_code code;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, code);
    stream.expires_after(discard_limit);
    std::string piece(first_read_size, '\0');
    std::size_t discarded = 0;
    while (!code && discarded < max_discarded_bytes)
    {
        auto [failure, size] =
            co_await stream.async_read_some(asio::buffer(piece), as_result);
        code = failure;
        discarded += size;
    }
}

class beast_exchange;

/// One accepted connection.
struct server_connection
{
    explicit server_connection(asio::ip::tcp::socket socket)
        : stream(std::move(socket)), buffer(max_unparsed_bytes)
    {
    }

    /// Ends the connection unless a request has begun to arrive. Only the read
    /// is cancelled: whether a request has arrived is known to the coroutine
    /// that reads, which then closes the connection.
    void stop_if_idle()
    {
        if (!this->busy)
        {
            this->ending = true;
            beast::error_code ignored;
            this->stream.socket().cancel(ignored);
        }
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// True from the first bytes of a request to the end of its response.
    bool busy = false;
    /// True until the first bytes of the first request.
    bool fresh = true;
    /// True while the coroutine has not found out whether a request arrived
    /// before `stop_if_idle`.
    bool ending = false;
    /// Exchange whose handler runs, or null.
    beast_exchange* exchange = nullptr;
};

/// Options that all connections of a server share.
struct server_options
{
    http_server_limits limits;
    /// True when no connection may carry another request.
    bool closing = false;
    /// False before the server listens and after it was stopped.
    bool accepting = false;
};

/// Bytes of a response that the connection has not accepted yet.
class send_buffer : public std::enable_shared_from_this<send_buffer>
{
public:
    send_buffer(std::shared_ptr<server_connection> target, duration write_limit)
        : link(std::move(target)), limit(write_limit)
    {
    }

    /// Adds bytes. A block never grows beyond its first allocation, as a write
    /// may refer to it.
    void append(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            if (this->blocks.empty() ||
                this->blocks.back().size() == send_block_size)
            {
                this->blocks.emplace_back().reserve(send_block_size);
            }
            std::string& block = this->blocks.back();
            const std::string_view part =
                bytes.substr(0, send_block_size - block.size());
            block += part;
            this->unsent += part.size();
            bytes.remove_prefix(part.size());
        }
    }

    /// Begins to send the buffered bytes, unless this is in progress.
    void flush()
    {
        if (this->unsent == 0 || std::exchange(this->writing, true))
        {
            return;
        }
        const std::string& block = this->blocks.front();
        this->link->stream.expires_after(this->limit);
        this->link->stream.async_write_some(
            asio::buffer(
                block.data() + this->offset, block.size() - this->offset),
            [self = this->shared_from_this()](
                beast::error_code code, std::size_t count)
            {
                self->on_written(code, count);
            });
    }

    std::size_t size() const
    {
        return this->unsent;
    }

    bool has_failed() const
    {
        return this->failed;
    }

    /// An empty function detaches the buffer from its exchange.
    void set_progress_hook(std::function<void(bool)> hook)
    {
        this->on_progress = std::move(hook);
    }

private:
    void on_written(beast::error_code code, std::size_t count)
    {
        this->writing = false;
        if (code)
        {
            this->failed = true;
            this->unsent = 0;
            this->blocks.clear();
        }
        else
        {
            this->unsent -= count;
            this->offset += count;
            if (this->offset == this->blocks.front().size())
            {
                this->blocks.pop_front();
                this->offset = 0;
            }
            this->flush();
        }
        // Copied, because the function may replace itself.
        const std::function<void(bool)> hook = this->on_progress;
        if (hook)
        {
            hook(!code);
        }
    }

    std::shared_ptr<server_connection> link;
    duration limit;
    std::deque<std::string> blocks;
    /// Bytes of the first block that are sent.
    std::size_t offset = 0;
    std::size_t unsent = 0;
    bool writing = false;
    bool failed = false;
    std::function<void(bool)> on_progress;
};

class beast_exchange final : public http_exchange
{
public:
    beast_exchange(
        std::shared_ptr<server_connection> source,
        std::shared_ptr<const server_options> connection_options)
        : link(std::move(source)), options(std::move(connection_options)),
          active(std::make_shared<bool>(true))
    {
        this->parser.body_limit(boost::none);
        this->parser.header_limit(this->options->limits.header_bytes);
        this->link->buffer.max_size(
            max_unparsed_bytes + this->options->limits.header_bytes);
    }

    ~beast_exchange() override
    {
        *this->active = false;
        if (this->unsent != nullptr)
        {
            this->unsent->set_progress_hook({});
        }
    }

    /// Reads the head of the request. Returns false when the connection must be
    /// closed: the peer closed it, a limit was exceeded or the head is invalid.
    asio::awaitable<bool> read_head()
    {
        // The first bytes are read separately, so that the time limit of an
        // idle connection and that of a slow header differ.
        while (this->link->buffer.size() == 0)
        {
            this->link->stream.expires_after(this->options->limits.idle);
            auto [first, size] = co_await this->link->stream.async_read_some(
                this->link->buffer.prepare(first_read_size), as_result);
            if (first && !this->has_request_despite_stop(first))
            {
                co_return false;
            }
            this->link->buffer.commit(size);
        }
        this->link->busy = true;
        this->link->fresh = false;
        this->link->ending = false;
        this->link->stream.expires_after(this->options->limits.header);
        auto [code, count] = co_await http::async_read_header(
            this->link->stream, this->link->buffer, this->parser, as_result);
        if (code == http::error::header_limit)
        {
            http_response refusal;
            refusal.status = 431;
            this->must_close = true;
            co_await this->respond(std::move(refusal));
            co_return false;
        }
        if (code == asio::error::operation_aborted && !this->options->accepting)
        {
            this->must_close = true;
            co_await this->respond(make_stop_refusal());
            co_return false;
        }
        if (code)
        {
            co_return false;
        }
        this->copy_head();
        co_return true;
    }

    const http_request& head() const override
    {
        return this->request;
    }

    asio::awaitable<result<std::string>> read_some() override
    {
        if (this->expects_continue)
        {
            this->expects_continue = false;
            static constexpr std::string_view continue_response =
                "HTTP/1.1 100 Continue\r\n\r\n";
            auto [code, count] = co_await asio::async_write(
                this->link->stream, asio::buffer(continue_response), as_result);
            if (code)
            {
                co_return make_peer_error(code);
            }
        }
        while (!this->parser.is_done())
        {
            this->piece.resize(read_size);
            this->parser.get().body().data = this->piece.data();
            this->parser.get().body().size = this->piece.size();
            this->link->stream.expires_after(this->options->limits.body);
            auto [code, count] = co_await http::async_read_some(
                this->link->stream,
                this->link->buffer,
                this->parser,
                as_result);
            if (code && code != http::error::need_buffer)
            {
                co_return make_peer_error(code);
            }
            const std::size_t length =
                this->piece.size() - this->parser.get().body().size;
            if (length > 0)
            {
                co_return this->piece.substr(0, length);
            }
        }
        // The request may stay in progress for long, and needs the buffer no
        // more.
        std::string().swap(this->piece);
        co_return std::string();
    }

    asio::awaitable<result<std::string>> read_body(std::size_t limit) override
    {
        std::string body;
        while (true)
        {
            result<std::string> next = co_await this->read_some();
            if (!next)
            {
                co_return next;
            }
            if (next.value().empty())
            {
                co_return body;
            }
            body += next.value();
            if (body.size() > limit)
            {
                co_return make_error(
                    error_kind::invalid_input,
                    "body: expected at most " + std::to_string(limit) +
                        " bytes, found more");
            }
        }
    }

    asio::awaitable<result<void>> respond(http_response source) override
    {
        if (this->abandoned)
        {
            co_return make_abandoned_error();
        }
        http::response<http::string_body> response;
        this->fill_head(response, source);
        response.body() = std::move(source.body);
        response.prepare_payload();
        this->finished = true;
        this->link->stream.expires_after(this->options->limits.write);
        auto [code, count] =
            co_await http::async_write(this->link->stream, response, as_result);
        if (code)
        {
            this->broken = true;
            co_return make_peer_error(code);
        }
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<void>> start_stream(http_response source) override
    {
        if (this->abandoned)
        {
            co_return make_abandoned_error();
        }
        http::response<http::empty_body> response;
        this->fill_head(response, source);
        response.chunked(true);
        // Lets `send_chunk` return when the connection accepts no more.
        beast::error_code ignored;
        this->link->stream.socket().non_blocking(true, ignored);
        http::response_serializer<http::empty_body> serializer(response);
        this->started = true;
        this->link->stream.expires_after(this->options->limits.write);
        auto [code, count] = co_await http::async_write_header(
            this->link->stream, serializer, as_result);
        if (code)
        {
            this->broken = true;
            co_return make_peer_error(code);
        }
        co_return boost::outcome_v2::success();
    }

    asio::awaitable<result<void>> write_chunk(std::string_view bytes) override
    {
        this->link->stream.expires_after(this->options->limits.write);
        auto [code, count] = co_await asio::async_write(
            this->link->stream,
            http::make_chunk(asio::buffer(bytes.data(), bytes.size())),
            as_result);
        if (code)
        {
            this->broken = true;
            co_return make_peer_error(code);
        }
        co_return boost::outcome_v2::success();
    }

    result<void> send_chunk(std::string_view bytes) override
    {
        if (this->unsent != nullptr && this->unsent->has_failed())
        {
            this->broken = true;
        }
        if (this->broken || this->abandoned)
        {
            return make_error(
                error_kind::unavailable,
                "response: expected a connection, found one that broke");
        }
        static constexpr std::string_view line_end = "\r\n";
        std::array<char, 24> size_line{};
        char* const size_end = std::to_chars(
                                   size_line.data(),
                                   size_line.data() + size_line.size(),
                                   bytes.size(),
                                   16)
                                   .ptr;
        const std::array<std::string_view, 4> parts = {
            std::string_view(
                size_line.data(),
                static_cast<std::size_t>(size_end - size_line.data())),
            line_end,
            bytes,
            line_end};
        std::size_t sent = 0;
        if (this->unsent_bytes() == 0)
        {
            std::array<asio::const_buffer, 4> buffers;
            std::transform(
                parts.begin(),
                parts.end(),
                buffers.begin(),
                [](std::string_view part)
                {
                    return asio::buffer(part.data(), part.size());
                });
            beast::error_code code;
            sent = this->link->stream.socket().write_some(buffers, code);
            if (code && code != asio::error::would_block)
            {
                this->broken = true;
                return make_peer_error(code);
            }
        }
        for (std::string_view part : parts)
        {
            const std::size_t skipped = std::min(sent, part.size());
            sent -= skipped;
            part.remove_prefix(skipped);
            if (!part.empty())
            {
                this->buffer_unsent(part);
            }
        }
        if (this->unsent != nullptr)
        {
            this->unsent->flush();
        }
        return boost::outcome_v2::success();
    }

    std::size_t unsent_bytes() const override
    {
        return this->unsent == nullptr ? 0 : this->unsent->size();
    }

    void set_progress_hook(std::function<void(bool)> hook) override
    {
        this->on_progress = std::move(hook);
        if (this->unsent != nullptr)
        {
            this->unsent->set_progress_hook(this->on_progress);
        }
    }

    asio::awaitable<result<void>> end_stream() override
    {
        if (this->unsent_bytes() > 0 ||
            (this->unsent != nullptr && this->unsent->has_failed()))
        {
            this->broken = true;
            co_return make_error(
                error_kind::unavailable,
                "response: expected that all bytes were sent, found " +
                    std::to_string(this->unsent_bytes()) + " left");
        }
        this->finished = true;
        this->link->stream.expires_after(this->options->limits.write);
        auto [code, count] = co_await asio::async_write(
            this->link->stream, http::make_chunk_last(), as_result);
        if (code)
        {
            this->broken = true;
            co_return make_peer_error(code);
        }
        co_return boost::outcome_v2::success();
    }

    void watch_disconnect(
        std::function<void(connection_side)> on_disconnect) override
    {
        const std::shared_ptr<server_connection> watched = this->link;
        const std::shared_ptr<bool> still_active = this->active;
        watched->stream.socket().async_wait(
            asio::ip::tcp::socket::wait_read,
            [watched, still_active, on_disconnect = std::move(on_disconnect)](
                beast::error_code code)
            {
                if (!*still_active)
                {
                    return;
                }
                if (code)
                {
                    // Only a close of the socket ends the wait with an error.
                    on_disconnect(connection_side::server);
                }
                else if (is_closed_by_peer(watched->stream.socket()))
                {
                    on_disconnect(connection_side::peer);
                }
            });
    }

    /// Returns whether the whole response was sent and the connection may carry
    /// another request.
    bool can_reuse_connection() const
    {
        return this->finished && !this->broken && !this->abandoned &&
               this->keep_alive;
    }

    /// Returns whether no part of a response was sent.
    bool has_no_response() const
    {
        return !this->started && !this->finished && !this->broken &&
               !this->abandoned;
    }

    /// Sends a response in place of the handler, or breaks off the one that the
    /// handler has begun.
    void abandon()
    {
        if (std::exchange(this->abandoned, true))
        {
            return;
        }
        if (!this->started && !this->finished)
        {
            http_response answer = make_stop_refusal();
            if (this->parser.is_done())
            {
                answer = http_response();
                answer.status = 504;
            }
            this->must_close = true;
            this->write_now(answer);
            beast::error_code ignored;
            this->link->stream.socket().cancel(ignored);
            return;
        }
        this->link->stream.close();
    }

    bool is_abandoned() const
    {
        return this->abandoned;
    }

    /// Returns whether a response was sent before the whole request was read.
    bool leaves_bytes_unread() const
    {
        return (this->started || this->finished || this->abandoned) &&
               !this->broken && !this->parser.is_done();
    }

private:
    /// Returns whether a request has arrived on a connection whose read was
    /// ended by `server_connection::stop_if_idle`.
    bool has_request_despite_stop(beast::error_code failure)
    {
        beast::error_code ignored;
        return failure == asio::error::operation_aborted &&
               this->link->stream.socket().available(ignored) > 0;
    }

    /// Sends a short response without waiting for the peer.
    void write_now(const http_response& source)
    {
        http::response<http::string_body> response;
        this->fill_head(response, source);
        response.prepare_payload();
        std::ostringstream text;
        text << response;
        asio::ip::tcp::socket& socket = this->link->stream.socket();
        beast::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(text.str()), ignored);
    }

    void buffer_unsent(std::string_view bytes)
    {
        if (this->unsent == nullptr)
        {
            this->unsent = std::make_shared<send_buffer>(
                this->link, this->options->limits.write);
            this->unsent->set_progress_hook(this->on_progress);
        }
        this->unsent->append(bytes);
    }

    /// Copies the parsed method, target and headers to `request`.
    void copy_head()
    {
        const http::request<http::buffer_body>& source = this->parser.get();
        this->request.method = std::string(source.method_string());
        this->request.target = std::string(source.target());
        for (const auto& field : source)
        {
            const auto [entry, first] = this->request.headers.try_emplace(
                to_lower(field.name_string()), field.value());
            if (!first)
            {
                // Values of a repeated field are joined to a list.
                entry->second += ", ";
                entry->second += field.value();
            }
        }
        this->expects_continue =
            to_lower(source[http::field::expect]) == "100-continue";
    }

    template <class Body>
    void fill_head(http::response<Body>& response, const http_response& source)
    {
        response.version(11);
        response.result(static_cast<unsigned>(source.status));
        for (const auto& [name, value] : source.headers)
        {
            response.set(name, value);
        }
        // Without closing the connection, the unread rest of a body would be
        // parsed as the next request.
        this->keep_alive = this->parser.is_done() &&
                           this->parser.keep_alive() && !this->must_close &&
                           !this->options->closing;
        response.keep_alive(this->keep_alive);
    }

    std::shared_ptr<server_connection> link;
    std::shared_ptr<const server_options> options;
    std::shared_ptr<bool> active;
    http::request_parser<http::buffer_body> parser;
    http_request request;
    std::string piece;
    std::function<void(bool)> on_progress;
    /// Null until the connection does not accept a chunk at once.
    std::shared_ptr<send_buffer> unsent;
    bool expects_continue = false;
    bool keep_alive = false;
    bool must_close = false;
    bool started = false;
    bool finished = false;
    bool broken = false;
    /// True after `abandon`: the handler's response is not sent.
    bool abandoned = false;
};

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::any_io_executor context, http_handler initial_handler)
        : executor(context), acceptor(context),
          handler(std::move(initial_handler))
    {
    }

    asio::any_io_executor executor;
    asio::ip::tcp::acceptor acceptor;
    http_handler handler;
    std::shared_ptr<server_options> options =
        std::make_shared<server_options>();
    std::set<std::shared_ptr<server_connection>> connections;
    /// Limits how long a stopped server waits for requests on their way.
    std::optional<asio::steady_timer> stop_timer;

    /// `self` keeps the state alive from before the first step on.
    asio::awaitable<void>
    accept_connections([[maybe_unused]] std::shared_ptr<state> self)
    {
        while (this->options->accepting)
        {
            auto [code, socket] =
                co_await this->acceptor.async_accept(this->executor, as_result);
            if (code == asio::error::operation_aborted)
            {
                co_return;
            }
            if (code)
            {
                continue;
            }
            this->add_connection(std::move(socket));
        }
    }

    void add_connection(asio::ip::tcp::socket socket)
    {
        set_connection_options(socket);
        const std::shared_ptr<server_connection> link =
            std::make_shared<server_connection>(std::move(socket));
        this->connections.insert(link);
        asio::co_spawn(
            this->executor,
            this->serve(this->shared_from_this(), link),
            asio::detached);
    }

    /// Accepts the connections that callers have established and closes the
    /// listener, which would reset them.
    void close_listener()
    {
        beast::error_code code;
        this->acceptor.non_blocking(true, code);
        for (int accepted = 0; !code && accepted < max_backlog; ++accepted)
        {
            asio::ip::tcp::socket socket(this->executor);
            this->acceptor.accept(socket, code);
            if (!code)
            {
                this->add_connection(std::move(socket));
            }
        }
        this->acceptor.close(code);
    }

    /// Ends the connections whose request has not arrived by the end of
    /// `request_arrival_limit`.
    void limit_arrivals()
    {
        if (this->count_unfinished() == 0)
        {
            return;
        }
        this->stop_timer.emplace(this->executor, request_arrival_limit);
        const std::weak_ptr<state> self = this->weak_from_this();
        this->stop_timer->async_wait(
            [self](beast::error_code code)
            {
                const std::shared_ptr<state> stopped = self.lock();
                if (!code && stopped != nullptr)
                {
                    stopped->end_arrivals();
                }
            });
    }

    void end_arrivals()
    {
        for (const std::shared_ptr<server_connection>& link : this->connections)
        {
            if (link->exchange == nullptr)
            {
                beast::error_code ignored;
                link->stream.socket().cancel(ignored);
            }
        }
    }

    /// Returns the number of connections with a request, and, after a stop, of
    /// those on which one may have arrived or may be on its way.
    std::size_t count_unfinished() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->connections.begin(),
            this->connections.end(),
            [this](const std::shared_ptr<server_connection>& link)
            {
                const bool is_answered =
                    link->exchange != nullptr && link->exchange->is_abandoned();
                return (link->busy && !is_answered) || link->ending ||
                       (link->fresh && !this->options->accepting);
            }));
    }

    asio::awaitable<void>
    serve(std::shared_ptr<state> self, std::shared_ptr<server_connection> link)
    {
        bool keep_open = true;
        while (keep_open)
        {
            beast_exchange exchange(link, this->options);
            keep_open = co_await exchange.read_head() &&
                        co_await self->handle_exchange(*link, exchange);
            if (!keep_open && exchange.leaves_bytes_unread())
            {
                co_await discard_input(link->stream);
            }
            link->busy = false;
        }
        this->connections.erase(link);
        link->stream.close();
    }

    asio::awaitable<bool>
    handle_exchange(server_connection& link, beast_exchange& exchange)
    {
        link.exchange = &exchange;
        try
        {
            co_await this->handler(exchange);
        }
        catch (const std::exception& failure)
        {
            log_event(
                event::unexpected_error,
                {{"work", exchange.head().target}, {"error", failure.what()}});
        }
        if (exchange.has_no_response())
        {
            http_response failure;
            failure.status = 500;
            co_await exchange.respond(std::move(failure));
        }
        link.exchange = nullptr;
        co_return exchange.can_reuse_connection() && this->options->accepting &&
            !this->options->closing;
    }
};

http_server::http_server(asio::any_io_executor executor, http_handler handler)
    : shared(std::make_shared<state>(executor, std::move(handler)))
{
}

http_server::~http_server()
{
    this->stop_accepting();
}

result<void> http_server::listen(const endpoint& local)
{
    const std::string name = local.address + ":" + std::to_string(local.port);
    beast::error_code code;
    const asio::ip::address address =
        asio::ip::make_address(local.address, code);
    if (code)
    {
        return make_error(
            error_kind::invalid_input,
            "listen address: expected an IP address, found " + local.address);
    }
    const asio::ip::tcp::endpoint target(address, local.port);
    asio::ip::tcp::acceptor& acceptor = this->shared->acceptor;
    acceptor.open(target.protocol(), code);
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
            "listen on " + name + ": " + code.message());
    }
    this->shared->options->accepting = true;
    asio::co_spawn(
        this->shared->executor,
        this->shared->accept_connections(this->shared),
        asio::detached);
    return boost::outcome_v2::success();
}

std::uint16_t http_server::port() const
{
    beast::error_code code;
    return this->shared->acceptor.local_endpoint(code).port();
}

void http_server::stop_accepting()
{
    if (!std::exchange(this->shared->options->accepting, false))
    {
        return;
    }
    this->shared->close_listener();
    for (const std::shared_ptr<server_connection>& link :
         this->shared->connections)
    {
        if (!link->fresh)
        {
            link->stop_if_idle();
        }
    }
    this->shared->limit_arrivals();
}

void http_server::close_after_responses()
{
    this->shared->options->closing = true;
}

void http_server::close_idle_connections()
{
    for (const std::shared_ptr<server_connection>& link :
         this->shared->connections)
    {
        // The caller of a fresh connection is about to send its request.
        if (!link->fresh)
        {
            link->stop_if_idle();
        }
    }
}

void http_server::answer_unfinished()
{
    this->stop_accepting();
    this->shared->end_arrivals();
    for (const std::shared_ptr<server_connection>& link :
         this->shared->connections)
    {
        if (link->exchange != nullptr)
        {
            link->exchange->abandon();
        }
    }
}

void http_server::set_limits(const http_server_limits& limits)
{
    this->shared->options->limits = limits;
}

std::size_t http_server::in_progress() const
{
    return this->shared->count_unfinished();
}

} // namespace chicory::net
