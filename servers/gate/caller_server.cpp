#include "servers/gate/caller_server.hpp"

#include "servers/gate/online_session.hpp"

#include <boost/json.hpp>

#include <optional>
#include <utility>
#include <variant>

namespace chicory::gate
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_body_bytes = std::size_t{8} << 20U;
constexpr std::int64_t entry_point_ttl_seconds = 15;
constexpr std::int64_t retry_after_ms = 1000;
constexpr std::string_view batch_path = "/v1/batches";

std::string format_url(const std::string& address, std::uint16_t port)
{
    return "http://" + address + ":" + std::to_string(port);
}

} // namespace

caller_server::caller_server(gate_state& shared, claim_keeper& keeper)
    : state(shared), claims(keeper), settings(shared.settings),
      fleet(shared.fleet), counters(shared.counters),
      server(
          shared.executor,
          [this](net::http_exchange& exchange)
          {
              return this->handle(exchange);
          })
{
}

result<void> caller_server::listen()
{
    return this->server.listen(this->settings.gate_http);
}

void caller_server::stop_accepting()
{
    this->server.stop_accepting();
}

std::size_t caller_server::in_progress() const
{
    return this->server.in_progress();
}

asio::awaitable<void> caller_server::handle(net::http_exchange& exchange)
{
    const std::string& method = exchange.head().method;
    const std::string& target = exchange.head().target;
    net::http_response response;
    if (target.starts_with(batch_path))
    {
        co_await this->redirect_batch(exchange);
        co_return;
    }
    if (method == "GET" && target.starts_with("/v1/entrypoints"))
    {
        co_await this->handle_entry_points(exchange);
        co_return;
    }
    if (method == "GET" && target == "/healthz")
    {
        response.body = "ok\n";
        static_cast<void>(co_await exchange.respond(std::move(response)));
        co_return;
    }
    if (method == "GET" && target == "/metrics")
    {
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = this->counters.render();
        static_cast<void>(co_await exchange.respond(std::move(response)));
        co_return;
    }
    const bool is_online = target == "/v1/completions" ||
                           target == "/v1/chat/completions" ||
                           target.starts_with("/v1/services/");
    if (method == "POST" && is_online)
    {
        co_await this->handle_online(exchange);
        co_return;
    }
    api_error failure;
    failure.status = 404;
    failure.text = "no such call: " + method + " " + target;
    co_await this->refuse(exchange, std::move(failure));
}

asio::awaitable<void>
caller_server::refuse(net::http_exchange& exchange, api_error failure)
{
    this->counters.count_refusal(failure.code);
    net::http_response response = to_response(failure);
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

asio::awaitable<void>
caller_server::redirect_batch(net::http_exchange& exchange)
{
    const membership::vm* own = this->fleet.find_vm(this->settings.vm_id);
    std::uint16_t port = own == nullptr ? 0 : own->batch_port;
    std::string address = this->settings.gate_http.address;
    if (port == 0)
    {
        api_error failure;
        failure.status = 503;
        failure.code = reason::no_configuration;
        failure.text = "no batch process is known yet";
        failure.retry_after_ms = retry_after_ms;
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    net::http_response response;
    response.status = 307;
    response.headers["location"] =
        format_url(address, port) + exchange.head().target;
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

asio::awaitable<void>
caller_server::handle_entry_points(net::http_exchange& exchange)
{
    json::array entries;
    for (const bool in_own_zone : {true, false})
    {
        for (const membership::vm* vm : this->fleet.list_entry_vms())
        {
            if ((vm->zone == this->settings.zone) != in_own_zone)
            {
                continue;
            }
            json::object entry;
            entry["url"] = format_url(vm->address, vm->http_port);
            entry["batch_url"] = format_url(vm->address, vm->batch_port);
            entry["zone"] = vm->zone;
            entries.push_back(std::move(entry));
        }
    }
    json::object body;
    body["ttl_seconds"] = entry_point_ttl_seconds;
    body["entrypoints"] = std::move(entries);
    net::http_response response;
    response.headers["content-type"] = "application/json";
    response.body = json::serialize(body);
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

asio::awaitable<void> caller_server::handle_online(net::http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        api_error failure;
        failure.status = 413;
        failure.code = reason::body_too_large;
        failure.text = body.error().text;
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    checked_request checked =
        check_request(exchange.head(), std::move(body.value()), this->fleet);
    if (!checked)
    {
        co_await this->refuse(exchange, checked.error());
        co_return;
    }
    const online_request& request = checked.value();
    if (!this->state.begin_request(request.route))
    {
        api_error failure;
        failure.status = 429;
        failure.code = reason::route_limit;
        failure.text = "route \"" + request.route.name + "\" has " +
                       std::to_string(request.route.max_in_progress) +
                       " requests in progress on this gate, its limit";
        failure.retry_after_ms = retry_after_ms;
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    const time_point started = read_monotonic_clock();
    co_await this->serve(exchange, request);
    this->state.end_request(request.route.name);
    this->counters.observe("request", read_monotonic_clock() - started);
}

asio::awaitable<void> caller_server::respond_to_used_key(
    net::http_exchange& exchange, key_response reply)
{
    if (auto* failure = std::get_if<api_error>(&reply))
    {
        co_await this->refuse(exchange, std::move(*failure));
        co_return;
    }
    this->counters.add("answers_replayed_total");
    net::http_response& response = std::get<net::http_response>(reply);
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

asio::awaitable<void> caller_server::serve(
    net::http_exchange& exchange, const online_request& request)
{
    const online::quarantine_decision decision =
        this->state.suspects.judge(request.fingerprint, read_monotonic_clock());
    if (decision == online::quarantine_decision::quarantined)
    {
        api_error failure;
        failure.status = 422;
        failure.code = reason::quarantined;
        failure.text = "the request was on board when two backend servers "
                       "died; it is not run again for a while";
        co_await this->refuse(exchange, std::move(failure));
        co_return;
    }
    const time_point deadline = read_monotonic_clock() + request.time_left;
    const bool keyed = !request.idempotency_key.empty();
    key_guard guard(this->claims, this->state.identifiers, request);
    if (keyed)
    {
        std::optional<key_response> reply = co_await guard.claim(deadline);
        if (reply)
        {
            co_await this->respond_to_used_key(exchange, std::move(*reply));
            co_return;
        }
    }
    online_session session(this->state, exchange, request, deadline);
    session_outcome outcome = co_await session.run();
    if (keyed)
    {
        guard.record(outcome);
    }
    if (outcome.failure && outcome.streamed)
    {
        // The head was sent already, so the error is sent as an event. The end
        // of the stream is not written, so that callers that skip unknown
        // events also detect the failure.
        this->counters.count_refusal(outcome.failure->code);
        const std::string error_event = to_event(*outcome.failure);
        static_cast<void>(co_await exchange.write_chunk(error_event));
        co_return;
    }
    if (outcome.failure)
    {
        co_await this->refuse(exchange, std::move(*outcome.failure));
        co_return;
    }
    if (outcome.result == online::request_result::answered && !outcome.streamed)
    {
        static_cast<void>(
            co_await exchange.respond(std::move(outcome.response)));
    }
}

} // namespace chicory::gate
