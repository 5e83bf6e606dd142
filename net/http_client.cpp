#include "net/http_client.hpp"

#include "net/response_head.hpp"
#include "net/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace chicory::net
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_size = 16384;
constexpr std::size_t max_idle_per_server = 64;
/// Largest number of responses to earlier requests that a call discards.
constexpr int max_discarded_responses = 3;
/// Largest number of informational heads (1xx) that a call ignores.
constexpr int max_informational_heads = 8;
/// Largest number of buffered bytes that are not parsed yet, which bounds the
/// longest line between two chunks, trailers included.
constexpr std::size_t max_unparsed_bytes = 65536;
/// An idle connection is no longer reused when less than this time is left
/// until the server may close it, so that the server does not close it while a
/// request is in transit.
constexpr std::chrono::milliseconds keep_alive_margin(500);

struct connection
{
    explicit connection(asio::any_io_executor executor)
        : stream(executor), buffer(max_unparsed_bytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Value of the echoed header in the previous request; empty for none.
    std::string last_echo;
    /// Time after which the connection must not carry another request, as the
    /// server may close it.
    std::chrono::steady_clock::time_point usable_until =
        std::chrono::steady_clock::time_point::max();
    /// Time at which the last response on the connection was complete.
    std::chrono::steady_clock::time_point last_response;
};

std::string format_endpoint(const endpoint& server)
{
    return server.address + ":" + std::to_string(server.port);
}

std::string find_header(const http_headers& headers, const std::string& name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

/// Returns the message of a request. It refers to the body of the source.
http::request<http::span_body<const char>>
make_request(const endpoint& server, const http_request& source)
{
    http::request<http::span_body<const char>> request;
    request.version(11);
    request.method_string(source.method);
    request.target(source.target);
    request.set(http::field::host, format_endpoint(server));
    for (const auto& [name, value] : source.headers)
    {
        request.set(name, value);
    }
    const std::string& body =
        source.shared_body == nullptr ? source.body : *source.shared_body;
    request.body() = beast::span<const char>(body.data(), body.size());
    request.prepare_payload();
    return request;
}

/// Returns whether a write failed because the server closed the connection. Its
/// response may have arrived before that.
bool is_closed_by_peer(beast::error_code code)
{
    return code == asio::error::connection_reset ||
           code == asio::error::connection_aborted ||
           code == asio::error::broken_pipe;
}

error_kind classify_error(beast::error_code code)
{
    if (code == beast::error::timeout)
    {
        return error_kind::timeout;
    }
    const bool is_parse_error =
        code.category() == make_error_code(http::error::bad_version).category();
    const bool is_close = code == http::error::end_of_stream ||
                          code == http::error::partial_message;
    return is_parse_error && !is_close ? error_kind::malformed
                                       : error_kind::unavailable;
}

/// Makes the error of a failed call. `unparsed` is the number of received bytes
/// that could not be parsed as a part of a response.
error make_stream_error(
    const endpoint& server, beast::error_code code, std::size_t unparsed)
{
    const error_kind kind = classify_error(code);
    std::string text = format_endpoint(server) + ": " + code.message();
    if (kind == error_kind::malformed)
    {
        text += ", " + std::to_string(unparsed) + " bytes unparsed";
    }
    return make_error(kind, std::move(text));
}

} // namespace

struct http_client::state
{
    asio::any_io_executor executor;
    std::map<endpoint, std::vector<std::unique_ptr<connection>>> idle;

    /// Removes an idle connection that can be reused and returns it, or null.
    /// A connection whose previous request had the same `echo` value is not
    /// reused: a late second copy of that response would be mistaken for the
    /// response to the new request.
    std::unique_ptr<connection>
    acquire_idle(const endpoint& server, const std::string& echo)
    {
        std::vector<std::unique_ptr<connection>>& idle_connections =
            this->idle[server];
        while (!idle_connections.empty())
        {
            std::unique_ptr<connection> candidate =
                std::move(idle_connections.back());
            idle_connections.pop_back();
            if (candidate->buffer.size() == 0 &&
                (echo.empty() || candidate->last_echo != echo) &&
                std::chrono::steady_clock::now() < candidate->usable_until &&
                !is_stale(candidate->stream.socket()))
            {
                return candidate;
            }
        }
        return nullptr;
    }

    /// Stores a connection for further requests; closes it when the server
    /// already has the largest number of idle connections.
    void
    store_idle(const endpoint& server, std::unique_ptr<connection> finished)
    {
        std::vector<std::unique_ptr<connection>>& idle_connections =
            this->idle[server];
        if (idle_connections.size() < max_idle_per_server)
        {
            finished->stream.expires_never();
            finished->last_response = std::chrono::steady_clock::now();
            idle_connections.push_back(std::move(finished));
        }
    }

    /// Closes the idle connections to a server that carried no response since a
    /// call began that got none on a reused connection. They were open through
    /// the same time, and calls on them would time out one after the other if
    /// the path of the connections is gone.
    void close_unproven(
        const endpoint& server, std::chrono::steady_clock::time_point since)
    {
        std::erase_if(
            this->idle[server],
            [since](const std::unique_ptr<connection>& candidate)
            {
                return candidate->last_response < since;
            });
    }
};

namespace
{

/// Returns the time until which a connection with this `Keep-Alive` header may
/// carry another request.
std::chrono::steady_clock::time_point
read_usable_until(const std::string& header)
{
    static constexpr std::string_view name = "timeout=";
    const std::size_t start = header.find(name);
    const auto now = std::chrono::steady_clock::now();
    int seconds = 0;
    if (start == std::string::npos || std::from_chars(
                                          header.data() + start + name.size(),
                                          header.data() + header.size(),
                                          seconds)
                                              .ec != std::errc())
    {
        return std::chrono::steady_clock::time_point::max();
    }
    return now + std::chrono::seconds(seconds) - keep_alive_margin;
}

/// A response read from one connection.
class beast_http_stream final : public http_stream
{
public:
    using release_function = std::function<void(std::unique_ptr<connection>)>;

    beast_http_stream(
        endpoint peer,
        std::unique_ptr<connection> source,
        response_limits bounds,
        release_function on_finished)
        : server(std::move(peer)), link(std::move(source)), limits(bounds),
          release_connection(std::move(on_finished))
    {
    }

    const http_response& head() const override
    {
        return this->response;
    }

    /// Returns the number of received bytes that were not parsed as a part of
    /// a response.
    std::size_t unparsed_bytes() const
    {
        return this->link == nullptr ? 0 : this->link->buffer.size();
    }

    /// Records that the server closed the connection before it had read the
    /// whole request. The write has consumed the error of a reset, so that a
    /// read sees the end of the connection as if it were the end of a body
    /// without a stated length. Such an end is an error.
    void on_closed_early()
    {
        this->closed_early = true;
    }

    /// Returns why a head that could be parsed begins no response; empty if it
    /// does.
    const std::string& why_no_response() const
    {
        return this->head_failure;
    }

    /// Reads the head of the response. A response whose `echoed` header differs
    /// from `expected` belongs to an earlier request and is discarded. A
    /// response without that header may do so too, unless the connection is
    /// fresh, and is then an error.
    asio::awaitable<beast::error_code> read_head(
        const std::string& echoed, const std::string& expected, bool fresh)
    {
        for (int discarded = 0; discarded <= max_discarded_responses;
             ++discarded)
        {
            const beast::error_code code = co_await this->read_final_head();
            if (code)
            {
                co_return code;
            }
            this->copy_head();
            const auto found = this->response.headers.find(echoed);
            const bool lacks_echo = found == this->response.headers.end();
            if (echoed.empty() || (lacks_echo && fresh) ||
                (!lacks_echo && found->second == expected))
            {
                co_return code;
            }
            if (lacks_echo)
            {
                co_return make_error_code(http::error::unexpected_body);
            }
            const beast::error_code discard_code =
                co_await this->discard_body();
            if (discard_code)
            {
                co_return discard_code;
            }
            if (!this->parser->keep_alive())
            {
                co_return make_error_code(http::error::end_of_stream);
            }
        }
        co_return make_error_code(http::error::unexpected_body);
    }

    asio::awaitable<result<std::string>> read_some(duration silence) override
    {
        std::array<char, read_size> bytes{};
        while (this->link != nullptr && !this->parser->is_done())
        {
            this->parser->get().body().data = bytes.data();
            this->parser->get().body().size = bytes.size();
            this->link->stream.expires_after(silence);
            auto [code, count] = co_await http::async_read_some(
                this->link->stream,
                this->link->buffer,
                *this->parser,
                as_result);
            if (this->link == nullptr)
            {
                co_return make_error(error_kind::cancelled, "stream closed");
            }
            if (code && code != http::error::need_buffer)
            {
                co_return make_stream_error(
                    this->server, code, this->link->buffer.size());
            }
            const std::size_t length =
                bytes.size() - this->parser->get().body().size;
            if (length > 0)
            {
                co_return std::string(bytes.data(), length);
            }
        }
        if (this->closed_early && this->parser->need_eof())
        {
            co_return make_error(
                error_kind::unavailable,
                format_endpoint(this->server) +
                    ": closed before the end of a body without a length");
        }
        this->release();
        co_return std::string();
    }

    void close() override
    {
        if (this->link != nullptr)
        {
            this->link->stream.close();
        }
    }

private:
    /// Reads heads up to the first one that is not informational (1xx).
    asio::awaitable<beast::error_code> read_final_head()
    {
        for (int heads = 0; heads <= max_informational_heads; ++heads)
        {
            this->parser.emplace();
            this->parser->body_limit(boost::none);
            this->parser->header_limit(this->limits.head_bytes);
            auto [code, count] = co_await http::async_read_header(
                this->link->stream,
                this->link->buffer,
                *this->parser,
                as_result);
            if (code)
            {
                co_return code;
            }
            if (const result<void> checked = this->check_head(); !checked)
            {
                this->head_failure = checked.error().text;
                co_return make_error_code(http::error::bad_value);
            }
            if (!is_informational_status(
                    static_cast<int>(this->parser->get().result_int())))
            {
                co_return code;
            }
        }
        co_return make_error_code(http::error::header_limit);
    }

    /// Reads and discards the body of a response to an earlier request.
    asio::awaitable<beast::error_code> discard_body()
    {
        std::array<char, read_size> bytes{};
        while (!this->parser->is_done())
        {
            if (this->discarded_bytes > this->limits.discarded_bytes)
            {
                co_return make_error_code(http::error::body_limit);
            }
            this->parser->get().body().data = bytes.data();
            this->parser->get().body().size = bytes.size();
            auto [code, count] = co_await http::async_read_some(
                this->link->stream,
                this->link->buffer,
                *this->parser,
                as_result);
            if (code && code != http::error::need_buffer)
            {
                co_return code;
            }
            this->discarded_bytes +=
                bytes.size() - this->parser->get().body().size;
        }
        co_return beast::error_code();
    }

    /// Checks that the parsed head begins a response.
    result<void> check_head() const
    {
        const http::response<http::buffer_body>& source = this->parser->get();
        std::vector<std::string_view> codings;
        const auto [first, last] =
            source.equal_range(http::field::transfer_encoding);
        for (auto field = first; field != last; ++field)
        {
            codings.emplace_back(field->value().data(), field->value().size());
        }
        return check_response_head(
            static_cast<int>(source.result_int()), codings);
    }

    /// Copies the parsed status and headers to `response`.
    void copy_head()
    {
        this->response = http_response();
        const http::response<http::buffer_body>& source = this->parser->get();
        this->response.status = source.result_int();
        for (const auto& field : source)
        {
            this->response.headers[to_lower(field.name_string())] =
                std::string(field.value());
        }
    }

    /// Returns the connection to the client, unless it cannot be reused.
    void release()
    {
        if (this->link == nullptr || !this->parser->keep_alive() ||
            this->closed_early || this->link->buffer.size() > 0)
        {
            return;
        }
        const http_headers& headers = this->response.headers;
        if (const auto found = headers.find("keep-alive");
            found != headers.end())
        {
            this->link->usable_until = read_usable_until(found->second);
        }
        this->release_connection(std::move(this->link));
    }

    endpoint server;
    std::unique_ptr<connection> link;
    response_limits limits;
    release_function release_connection;
    std::size_t discarded_bytes = 0;
    /// Recreated for each head that is read.
    std::optional<http::response_parser<http::buffer_body>> parser;
    http_response response;
    std::string head_failure;
    bool closed_early = false;
};

asio::awaitable<beast::error_code>
connect(connection& link, const endpoint& server)
{
    beast::error_code code;
    const asio::ip::address address =
        asio::ip::make_address(server.address, code);
    if (code)
    {
        co_return code;
    }
    const asio::ip::tcp::endpoint target(address, server.port);
    auto [failure] = co_await link.stream.async_connect(target, as_result);
    if (!failure)
    {
        set_connection_options(link.stream.socket());
    }
    co_return failure;
}

} // namespace

http_client::http_client(asio::any_io_executor executor)
    : shared(std::make_shared<state>())
{
    this->shared->executor = std::move(executor);
}

http_client::~http_client() = default;

void http_cancellation::cancel()
{
    this->cancelled = true;
    if (this->close)
    {
        this->close();
    }
}

bool http_cancellation::is_cancelled() const
{
    return this->cancelled;
}

void http_cancellation::set_close(std::function<void()> hook)
{
    this->close = std::move(hook);
}

asio::awaitable<open_outcome>
http_client::open(endpoint server, http_request request, duration limit)
{
    open_limits limits;
    limits.connect = limit;
    limits.head = limit;
    co_return co_await this->open(
        std::move(server), std::move(request), std::move(limits), nullptr);
}

asio::awaitable<bool> http_client::can_connect(endpoint server, duration limit)
{
    connection link(this->shared->executor);
    link.stream.expires_after(limit);
    const beast::error_code failed = co_await connect(link, server);
    co_return !failed;
}

asio::awaitable<open_outcome> http_client::open(
    endpoint server,
    http_request request,
    open_limits limits,
    http_cancellation* cancellation)
{
    http_cancellation unused;
    http_cancellation& active_cancellation =
        cancellation == nullptr ? unused : *cancellation;
    const std::shared_ptr<state> owner = this->shared;
    open_outcome outcome;
    const std::string echo =
        limits.echoed_header.empty()
            ? std::string()
            : find_header(request.headers, limits.echoed_header);
    std::unique_ptr<connection> link = owner->acquire_idle(server, echo);
    const bool fresh = link == nullptr;
    if (fresh)
    {
        link = std::make_unique<connection>(owner->executor);
    }
    // The connection may be destroyed after this call, so the callback, which
    // refers to it, is removed before each return.
    beast::tcp_stream* const stream_in_use = &link->stream;
    active_cancellation.set_close(
        [stream_in_use]
        {
            stream_in_use->close();
        });
    const auto started = std::chrono::steady_clock::now();
    if (fresh)
    {
        link->stream.expires_after(std::min(limits.connect, limits.head));
        const beast::error_code failed = co_await connect(*link, server);
        if (failed || active_cancellation.is_cancelled())
        {
            active_cancellation.set_close({});
            outcome.failure = make_stream_error(server, failed, 0);
            co_return outcome;
        }
    }
    if (limits.may_send && !limits.may_send())
    {
        active_cancellation.set_close({});
        owner->store_idle(server, std::move(link));
        outcome.failure = make_error(
            error_kind::cancelled,
            format_endpoint(server) + ": not to be sent");
        co_return outcome;
    }
    link->stream.expires_at(started + limits.head);
    const http::request<http::span_body<const char>> message =
        make_request(server, request);
    link->last_echo = echo;
    outcome.sent = send_state::maybe_sent;
    const auto record_failure = [&](beast::error_code code)
    {
        if (!fresh && code == beast::error::timeout)
        {
            owner->close_unproven(server, started);
        }
    };
    auto [write_code, written] =
        co_await http::async_write(link->stream, message, as_result);
    record_failure(write_code);
    if (write_code && !is_closed_by_peer(write_code))
    {
        active_cancellation.set_close({});
        outcome.failure = make_stream_error(server, write_code, 0);
        co_return outcome;
    }
    const std::weak_ptr<state> weak_owner = owner;
    beast_http_stream::release_function return_connection =
        [weak_owner, server](std::unique_ptr<connection> finished)
    {
        if (const std::shared_ptr<state> live_owner = weak_owner.lock())
        {
            live_owner->store_idle(server, std::move(finished));
        }
    };
    std::unique_ptr<beast_http_stream> stream =
        std::make_unique<beast_http_stream>(
            server,
            std::move(link),
            limits.response,
            std::move(return_connection));
    if (write_code)
    {
        stream->on_closed_early();
    }
    const beast::error_code head_code =
        co_await stream->read_head(limits.echoed_header, echo, fresh);
    active_cancellation.set_close({});
    record_failure(head_code);
    if (write_code && head_code)
    {
        outcome.failure = make_stream_error(server, write_code, 0);
        co_return outcome;
    }
    if (head_code)
    {
        outcome.failure =
            make_stream_error(server, head_code, stream->unparsed_bytes());
        if (!stream->why_no_response().empty())
        {
            outcome.failure.text =
                format_endpoint(server) + ": " + stream->why_no_response();
        }
        co_return outcome;
    }
    outcome.stream = std::move(stream);
    co_return outcome;
}

asio::awaitable<result<std::string>> read_whole(
    http_stream& stream,
    time_point until,
    std::size_t max_bytes,
    std::function<void(std::size_t)> on_piece)
{
    std::string body;
    while (true)
    {
        // One limit for the whole body: with a limit for each read only, a
        // server that sends single bytes could block the caller forever.
        const duration left = until - read_monotonic_clock();
        if (left <= duration::zero())
        {
            co_return make_error(
                error_kind::timeout, "the answer was not whole in time");
        }
        result<std::string> piece = co_await stream.read_some(left);
        if (!piece)
        {
            co_return piece.error();
        }
        if (piece.value().empty())
        {
            co_return body;
        }
        if (on_piece)
        {
            on_piece(body.size() + piece.value().size());
        }
        if (body.size() + piece.value().size() > max_bytes)
        {
            stream.close();
            co_return make_error(
                error_kind::malformed,
                "answer: expected at most " + std::to_string(max_bytes) +
                    " bytes, found " +
                    std::to_string(body.size() + piece.value().size()) +
                    " and more");
        }
        body += piece.value();
    }
}

asio::awaitable<result<http_response>> http_client::request(
    endpoint server,
    http_request request,
    duration limit,
    response_limits bounds)
{
    const time_point until = read_monotonic_clock() + limit;
    open_limits limits;
    limits.connect = limit;
    limits.head = limit;
    limits.response = bounds;
    open_outcome outcome = co_await this->open(
        std::move(server), std::move(request), std::move(limits), nullptr);
    if (outcome.stream == nullptr)
    {
        if (outcome.sent == send_state::maybe_sent)
        {
            co_return make_error(
                error_kind::outcome_unknown, outcome.failure.text);
        }
        co_return make_error(error_kind::unavailable, outcome.failure.text);
    }
    http_response response = outcome.stream->head();
    result<std::string> body =
        co_await read_whole(*outcome.stream, until, bounds.body_bytes);
    if (!body)
    {
        co_return make_error(error_kind::outcome_unknown, body.error().text);
    }
    response.body = std::move(body.value());
    co_return response;
}

} // namespace chicory::net
