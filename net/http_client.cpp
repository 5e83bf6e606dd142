#include "net/http_client.hpp"

#include "net/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
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
/// Responses to earlier requests that a call skips at most.
constexpr int max_skipped_responses = 3;
/// Informational heads (1xx) that a call reads past at most.
constexpr int max_informational_heads = 8;
/// Bytes kept unparsed: the longest line between two chunks, trailers included.
constexpr std::size_t max_unparsed_bytes = 65536;
/// Time by which a kept connection is given up before the server may close
/// it, so that a request does not cross the close.
constexpr std::chrono::milliseconds keep_alive_margin(500);

struct connection
{
    explicit connection(asio::any_io_executor executor)
        : stream(executor), buffer(max_unparsed_bytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Value of the echoed header in the request before; empty for none.
    std::string last_echo;
    /// When the server may close the kept connection.
    std::chrono::steady_clock::time_point usable_until =
        std::chrono::steady_clock::time_point::max();
};

std::string describe(const endpoint& server)
{
    return server.address + ":" + std::to_string(server.port);
}

std::string find_header(const http_headers& headers, const std::string& name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http::request<http::string_body>
make_request(const endpoint& server, http_request source)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(source.method);
    request.target(source.target);
    request.set(http::field::host, describe(server));
    for (const auto& [name, value] : source.headers)
    {
        request.set(name, value);
    }
    request.body() = std::move(source.body);
    request.prepare_payload();
    return request;
}

bool is_informational(int status)
{
    return status >= 100 && status < 200;
}

error_kind classify(beast::error_code code)
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

/// `unparsed` is the number of bytes that came and are no answer.
error make_stream_error(
    const endpoint& server, beast::error_code code, std::size_t unparsed)
{
    const error_kind kind = classify(code);
    std::string text = describe(server) + ": " + code.message();
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

    /// Returns a kept connection, or null. A late second copy of the answer to
    /// `echo` would be taken for the answer to the same request sent again, so
    /// that no connection that carried it last is used.
    std::unique_ptr<connection>
    take_idle(const endpoint& server, const std::string& echo)
    {
        std::vector<std::unique_ptr<connection>>& kept = this->idle[server];
        while (!kept.empty())
        {
            std::unique_ptr<connection> candidate = std::move(kept.back());
            kept.pop_back();
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

    void keep(const endpoint& server, std::unique_ptr<connection> finished)
    {
        std::vector<std::unique_ptr<connection>>& kept = this->idle[server];
        if (kept.size() < max_idle_per_server)
        {
            finished->stream.expires_never();
            kept.push_back(std::move(finished));
        }
    }
};

namespace
{

/// Returns until when a connection with this `Keep-Alive` header may carry
/// another request.
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
    using keep_function = std::function<void(std::unique_ptr<connection>)>;

    beast_http_stream(
        endpoint peer,
        std::unique_ptr<connection> source,
        response_limits bounds,
        keep_function on_finished)
        : server(std::move(peer)), link(std::move(source)), limits(bounds),
          keep(std::move(on_finished))
    {
    }

    const http_response& head() const override
    {
        return this->response;
    }

    /// Bytes that came and were not taken for a part of an answer.
    std::size_t unparsed_bytes() const
    {
        return this->link == nullptr ? 0 : this->link->buffer.size();
    }

    /// Reads the head of the response. Responses whose `echoed` header has
    /// another value belong to earlier requests and are skipped. One without
    /// it may do so too, unless the connection is fresh.
    asio::awaitable<beast::error_code> read_head(
        const std::string& echoed, const std::string& expected, bool fresh)
    {
        for (int skipped = 0; skipped <= max_skipped_responses; ++skipped)
        {
            const beast::error_code code = co_await this->read_final_head();
            if (code)
            {
                co_return code;
            }
            this->copy_head();
            const auto found = this->response.headers.find(echoed);
            const bool names_none = found == this->response.headers.end();
            if (echoed.empty() || (names_none && fresh) ||
                (!names_none && found->second == expected))
            {
                co_return code;
            }
            if (names_none)
            {
                co_return make_error_code(http::error::unexpected_body);
            }
            const beast::error_code drained = co_await this->drain();
            if (drained)
            {
                co_return drained;
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
    /// Reads heads up to the first that is not informational.
    asio::awaitable<beast::error_code> read_final_head()
    {
        for (int passed = 0; passed <= max_informational_heads; ++passed)
        {
            this->parser.emplace();
            this->parser->body_limit(boost::none);
            this->parser->header_limit(this->limits.head_bytes);
            auto [code, count] = co_await http::async_read_header(
                this->link->stream,
                this->link->buffer,
                *this->parser,
                as_result);
            if (code || !is_informational(this->parser->get().result_int()))
            {
                co_return code;
            }
        }
        co_return make_error_code(http::error::header_limit);
    }

    /// Reads the rest of a response that nobody wants.
    asio::awaitable<beast::error_code> drain()
    {
        std::array<char, read_size> bytes{};
        while (!this->parser->is_done())
        {
            if (this->skipped_bytes > this->limits.discarded_bytes)
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
            this->skipped_bytes +=
                bytes.size() - this->parser->get().body().size;
        }
        co_return beast::error_code();
    }

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

    void release()
    {
        if (this->link == nullptr || !this->parser->keep_alive() ||
            this->link->buffer.size() > 0)
        {
            return;
        }
        const http_headers& headers = this->response.headers;
        if (const auto found = headers.find("keep-alive");
            found != headers.end())
        {
            this->link->usable_until = read_usable_until(found->second);
        }
        this->keep(std::move(this->link));
    }

    endpoint server;
    std::unique_ptr<connection> link;
    response_limits limits;
    keep_function keep;
    std::size_t skipped_bytes = 0;
    /// Made anew for each response that is skipped.
    std::optional<http::response_parser<http::buffer_body>> parser;
    http_response response;
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

asio::awaitable<open_outcome> http_client::open(
    endpoint server,
    http_request request,
    open_limits limits,
    http_cancellation* cancellation)
{
    http_cancellation unused;
    http_cancellation& ending =
        cancellation == nullptr ? unused : *cancellation;
    const std::shared_ptr<state> owner = this->shared;
    open_outcome outcome;
    const std::string echo =
        limits.echoed_header.empty()
            ? std::string()
            : find_header(request.headers, limits.echoed_header);
    std::unique_ptr<connection> link = owner->take_idle(server, echo);
    const bool fresh = link == nullptr;
    if (fresh)
    {
        link = std::make_unique<connection>(owner->executor);
    }
    // The connection may be freed before the hook is replaced, so that the
    // hook is taken back before each return.
    beast::tcp_stream* const stream_in_use = &link->stream;
    ending.set_close(
        [stream_in_use]
        {
            stream_in_use->close();
        });
    const auto started = std::chrono::steady_clock::now();
    if (fresh)
    {
        link->stream.expires_after(std::min(limits.connect, limits.head));
        const beast::error_code failed = co_await connect(*link, server);
        if (failed || ending.is_cancelled())
        {
            ending.set_close({});
            outcome.failure = make_stream_error(server, failed, 0);
            co_return outcome;
        }
    }
    if (limits.may_send && !limits.may_send())
    {
        ending.set_close({});
        owner->keep(server, std::move(link));
        outcome.failure = make_error(
            error_kind::cancelled, describe(server) + ": not to be sent");
        co_return outcome;
    }
    link->stream.expires_at(started + limits.head);
    const http::request<http::string_body> message =
        make_request(server, std::move(request));
    link->last_echo = echo;
    outcome.sent = send_state::maybe_sent;
    auto [write_code, written] =
        co_await http::async_write(link->stream, message, as_result);
    if (write_code)
    {
        ending.set_close({});
        outcome.failure = make_stream_error(server, write_code, 0);
        co_return outcome;
    }
    const std::weak_ptr<state> keeper = owner;
    beast_http_stream::keep_function keep =
        [keeper, server](std::unique_ptr<connection> finished)
    {
        if (const std::shared_ptr<state> alive = keeper.lock())
        {
            alive->keep(server, std::move(finished));
        }
    };
    std::unique_ptr<beast_http_stream> stream =
        std::make_unique<beast_http_stream>(
            server, std::move(link), limits.response, std::move(keep));
    const beast::error_code head_code =
        co_await stream->read_head(limits.echoed_header, echo, fresh);
    ending.set_close({});
    if (head_code)
    {
        outcome.failure =
            make_stream_error(server, head_code, stream->unparsed_bytes());
        co_return outcome;
    }
    outcome.stream = std::move(stream);
    co_return outcome;
}

asio::awaitable<result<std::string>> read_whole(
    http_stream& stream,
    time_point until,
    std::size_t most,
    std::function<void()> on_piece)
{
    std::string body;
    while (true)
    {
        // One bound for the whole body: a server that sends a byte now and
        // then would hold the caller for ever.
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
            on_piece();
        }
        if (body.size() + piece.value().size() > most)
        {
            stream.close();
            co_return make_error(
                error_kind::malformed,
                "answer: expected at most " + std::to_string(most) +
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
