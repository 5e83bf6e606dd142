#include "tests/standins/engine_standin.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

namespace chicory::standins
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_body_bytes = 1 << 20;
/// Time for which a crashed runner accepts no connections.
constexpr std::chrono::milliseconds restart_time(100);

std::string
get_header(const net::http_headers& headers, const std::string& name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

/// Returns whether the prompt of a request has a part that is not its last.
bool has_shared_part(const net::http_headers& headers, const std::string& part)
{
    const std::string parts = "," + get_header(headers, "x-prefix-hash");
    const std::size_t found = parts.find("," + part + ":");
    return found != std::string::npos &&
           parts.find(',', found + 1) != std::string::npos;
}

} // namespace

engine_standin::engine_standin(asio::io_context& io, std::string name)
    : context(io), instance(std::move(name)),
      server(
          io.get_executor(),
          [this](net::http_exchange& exchange)
          {
              return this->handle_request(exchange);
          })
{
}

std::uint16_t engine_standin::listen()
{
    this->server.listen({"127.0.0.1", 0}).value();
    return this->server.port();
}

const std::string& engine_standin::id() const
{
    return this->instance;
}

std::string engine_standin::entry(const std::string& state) const
{
    return R"({"service":")" + this->service + R"(","addr":"127.0.0.1:)" +
           std::to_string(this->server.port()) +
           R"(","zone":"z1","version":"v1","cold_left_ms":0,"slots":8,)" +
           R"("state":")" + state + R"(","born":)" +
           std::to_string(this->started_ms) +
           R"(,"models":[{"name":"m","version":)" +
           std::to_string(this->weights) + R"(}],"seq":1})";
}

int engine_standin::find_unsuitable_status(
    const net::http_headers& headers) const
{
    const std::string version = get_header(headers, "x-expect-version");
    if (!version.empty() && version != std::to_string(this->weights))
    {
        return 421;
    }
    const std::string counts = get_header(headers, "x-token-counts");
    const std::size_t comma = counts.find(',');
    if (this->token_capacity == 0 || comma == std::string::npos)
    {
        return 0;
    }
    const std::int64_t tokens =
        std::stoll(counts) + std::stoll(counts.substr(comma + 1));
    return tokens > this->token_capacity ? 503 : 0;
}

void engine_standin::restart_later()
{
    const std::uint16_t port = this->server.port();
    this->server.stop_accepting();
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(restart_time);
    timer->async_wait(
        [this, timer, port](boost::system::error_code code)
        {
            if (!code)
            {
                this->server.listen({"127.0.0.1", port}).value();
            }
        });
}

asio::awaitable<void>
engine_standin::handle_request(net::http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        co_return;
    }
    const net::http_headers& headers = exchange.head().headers;
    net::http_response refusal;
    refusal.headers["x-attempt-id"] = get_header(headers, "x-attempt-id");
    if (this->reports_leaving)
    {
        refusal.headers["server-leaving"] = "1";
    }
    if (get_header(headers, "x-expect-instance") != this->instance)
    {
        refusal.status = 421;
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (const int unsuitable_status = this->find_unsuitable_status(headers);
        unsuitable_status != 0)
    {
        ++this->unsuitable;
        refusal.status = unsuitable_status;
        refusal.headers["x-not-executed"] = "1";
        refusal.headers["x-instance-id"] = this->instance;
        refusal.headers["x-instance-load"] = "0,0,8";
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    if (this->odd_status != 0 && headers.contains("x-odd"))
    {
        ++this->odd_runs;
        refusal.status = this->odd_status;
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    engine_arrival arrival;
    arrival.attempt = get_header(headers, "x-attempt-id");
    arrival.target = exchange.head().target;
    arrival.headers = headers;
    arrival.body = std::move(body.value());
    const std::string after = get_header(headers, "last-event-id");
    arrival.after = after.empty() ? 0 : std::stoll(after);
    this->arrivals.push_back(std::move(arrival));
    if (this->status != 0)
    {
        refusal.status = this->status;
        if (this->states_not_run)
        {
            refusal.headers["x-not-executed"] = "1";
        }
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    co_await this->stream(exchange, this->arrivals.size() - 1);
}

asio::awaitable<void>
engine_standin::stream(net::http_exchange& exchange, std::size_t index)
{
    const auto disconnected = std::make_shared<bool>(false);
    exchange.watch_disconnect(
        [disconnected](net::connection_side)
        {
            *disconnected = true;
        });
    net::http_response head;
    head.headers["content-type"] = "text/event-stream";
    head.headers["x-attempt-id"] = this->arrivals[index].attempt;
    head.headers["x-response-stamp"] = "stamp-" + this->instance;
    if (this->reports_leaving)
    {
        head.headers["server-leaving"] = "1";
    }
    asio::steady_timer timer(this->context);
    if (this->head_time > std::chrono::milliseconds(0))
    {
        timer.expires_after(this->head_time);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_await exchange.start_stream(std::move(head));
    if (!this->deadly_part.empty() &&
        has_shared_part(exchange.head().headers, this->deadly_part))
    {
        timer.expires_after(this->event_time);
        co_await timer.async_wait(as_result);
        ++this->crashes;
        this->restart_later();
        co_return;
    }
    if (this->closed_streams > 0)
    {
        --this->closed_streams;
        co_return;
    }
    const std::size_t crashes_before = this->crashes;
    const bool is_stalled = std::exchange(this->sends_stalled_stream, false);
    while (is_stalled && !*disconnected)
    {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(as_result);
        co_await exchange.write_chunk(":");
    }
    if (is_stalled)
    {
        this->arrivals[index].cut = true;
        co_return;
    }
    for (std::int64_t number = this->arrivals[index].after + 1;
         number <= this->events;
         ++number)
    {
        if (this->event_time > std::chrono::milliseconds(0))
        {
            timer.expires_after(this->event_time);
            co_await timer.async_wait(as_result);
        }
        if (this->crashes != crashes_before)
        {
            co_return;
        }
        const std::string event = "id: " + std::to_string(number) +
                                  "\ndata: text " + std::to_string(number) +
                                  std::string(this->event_padding, '.') +
                                  "\n\n";
        if (this->break_after_event > 0 && number > this->break_after_event)
        {
            this->break_after_event = 0;
            co_await exchange.write_chunk(event.substr(0, event.size() / 2));
            co_return;
        }
        const result<void> sent = co_await exchange.write_chunk(event);
        if (!sent || *disconnected)
        {
            this->arrivals[index].cut = true;
            co_return;
        }
    }
    const result<void> ended = co_await exchange.end_stream();
    this->arrivals[index].complete = ended.has_value();
}

} // namespace chicory::standins
