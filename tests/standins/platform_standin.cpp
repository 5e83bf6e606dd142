#include "tests/standins/platform_standin.hpp"

#include "tests/standins/json_response.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <exception>

namespace chicory::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_body_bytes = 1U << 30U;
constexpr double weight_fetches_per_s = 2.0;
constexpr double weight_burst = 4.0;

const std::string object_prefix = "/objects/";

/// Returns the name of the service that a target belongs to, or an empty string
/// for control calls.
std::string get_service(const std::string& target)
{
    if (target.starts_with("/table/"))
    {
        return "table";
    }
    if (target.starts_with(object_prefix))
    {
        return "object";
    }
    if (target == "/vms")
    {
        return "vm_list";
    }
    return target.starts_with("/weights/") ? "weights" : "";
}

/// Closes the connection in the middle of a response, so that the caller cannot
/// know whether its call took effect.
asio::awaitable<void> break_response(net::http_exchange& exchange)
{
    net::http_response head;
    static_cast<void>(co_await exchange.start_stream(std::move(head)));
}

} // namespace

platform_standin::platform_standin(std::uint64_t seed)
    : faults(seed), vms(json::array()), weight_tokens(weight_burst),
      weight_time(read_monotonic_clock())
{
}

asio::awaitable<void> platform_standin::handle(net::http_exchange& exchange)
{
    const net::http_request head = exchange.head();
    result<std::string> body = co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        co_return;
    }
    const std::string service = get_service(head.target);
    call_fault fault;
    if (!service.empty())
    {
        fault =
            this->faults.next_fault(service, head.target + " " + body.value());
    }
    if (fault.delay.count() > 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(fault.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (fault.mode == fault_mode::down)
    {
        net::http_response refusal = make_error_response(503, "down");
        static_cast<void>(co_await exchange.respond(std::move(refusal)));
        co_return;
    }
    if (fault.mode == fault_mode::refuse)
    {
        co_await break_response(exchange);
        co_return;
    }
    const std::optional<duration> wait =
        this->reserve_write_time(head.target, body.value());
    if (!wait)
    {
        net::http_response refusal =
            make_error_response(503, "too many writes wait");
        static_cast<void>(co_await exchange.respond(std::move(refusal)));
        co_return;
    }
    if (wait->count() > 0)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(*wait);
        co_await timer.async_wait(asio::use_awaitable);
    }
    net::http_response response = this->handle_call(head, body.value());
    if (!service.empty() && service != "object")
    {
        this->response_bytes[head.target] +=
            static_cast<std::int64_t>(response.body.size());
    }
    if (fault.mode == fault_mode::lose_answer)
    {
        co_await break_response(exchange);
        co_return;
    }
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

std::optional<duration> platform_standin::reserve_write_time(
    const std::string& target, const std::string& body)
{
    if (!this->limit.is_set() || target != "/table/transactions")
    {
        return duration::zero();
    }
    json::error_code failed;
    const json::value request = json::parse(body, failed);
    const json::value* const writes =
        failed ? nullptr : request.find_pointer("/writes", failed);
    const std::size_t rows = writes != nullptr && writes->is_array()
                                 ? writes->get_array().size()
                                 : 0;
    return rows == 0 ? duration::zero()
                     : this->limit.reserve(rows, read_monotonic_clock());
}

net::http_response platform_standin::handle_call(
    const net::http_request& head, const std::string& body)
{
    try
    {
        if (head.target.starts_with(object_prefix))
        {
            return this->handle_object_call(head, body);
        }
        if (head.target.starts_with("/table/"))
        {
            return this->handle_table_call(head.target, json::parse(body));
        }
        if (head.target == "/vms")
        {
            return this->handle_vm_list_call();
        }
        if (head.target == "/weights/fetches")
        {
            return this->handle_weights_call(json::parse(body));
        }
        return this->handle_control_call(head.target, body);
    }
    catch (const std::exception& failure)
    {
        return make_error_response(400, failure.what());
    }
}

net::http_response platform_standin::handle_table_call(
    const std::string& target, const json::value& body)
{
    if (target == "/table/read")
    {
        const json::value row = this->table.read(body);
        return row.is_null() ? make_error_response(404, "no such row")
                             : make_json_response(200, row);
    }
    if (target == "/table/scan")
    {
        return make_json_response(200, this->table.scan(body));
    }
    if (target == "/table/transactions")
    {
        return make_json_response(200, this->table.transact(body));
    }
    return make_error_response(404, "no such call");
}

net::http_response platform_standin::handle_object_call(
    const net::http_request& head, const std::string& body)
{
    const std::string name = head.target.substr(object_prefix.size());
    if (head.method == "PUT")
    {
        this->objects[name] = body;
        return make_empty_response(204);
    }
    const auto found = this->objects.find(name);
    if (found == this->objects.end())
    {
        return make_error_response(404, "no such object");
    }
    net::http_response response;
    response.headers["content-type"] = "application/octet-stream";
    response.body = found->second;
    return response;
}

net::http_response platform_standin::handle_vm_list_call()
{
    json::object list;
    list["vms"] = this->vms.get(read_monotonic_clock());
    return make_json_response(200, list);
}

bool platform_standin::try_consume_weight_token()
{
    const time_point now = read_monotonic_clock();
    const std::chrono::duration<double> elapsed = now - this->weight_time;
    this->weight_time = now;
    this->weight_tokens = std::min(
        weight_burst,
        this->weight_tokens + elapsed.count() * weight_fetches_per_s);
    if (this->weight_tokens < 1.0)
    {
        return false;
    }
    this->weight_tokens -= 1.0;
    return true;
}

net::http_response
platform_standin::handle_weights_call(const json::value& body)
{
    const std::string model = json::value_to<std::string>(body.at("model"));
    if (!this->try_consume_weight_token())
    {
        net::http_response refusal = make_error_response(429, "over the rate");
        refusal.headers["retry-after"] = "1";
        ++this->weight_refusals;
        return refusal;
    }
    ++this->weight_fetches[model];
    return make_json_response(200, json::object{{"model", model}});
}

net::http_response platform_standin::handle_control_call(
    const std::string& target, const std::string& body)
{
    if (target == "/control/log")
    {
        json::object log = this->table.log();
        log["answer_bytes"] = json::value_from(this->response_bytes);
        log["weight_fetches"] = json::value_from(this->weight_fetches);
        log["weight_refusals"] = this->weight_refusals;
        return make_json_response(200, log);
    }
    if (target == "/control/faults")
    {
        this->faults.set(json::parse(body));
        return make_empty_response(204);
    }
    if (target == "/control/limits")
    {
        this->limit.set(json::parse(body));
        return make_empty_response(204);
    }
    if (target != "/control/vms")
    {
        return make_error_response(404, "no such call");
    }
    const json::value request = json::parse(body);
    if (const json::value* const lag =
            request.as_object().if_contains("lag_ms"))
    {
        this->vms.set_lag(
            std::chrono::milliseconds(lag->to_number<std::int64_t>()));
    }
    this->vms.set(read_monotonic_clock(), request.at("vms"));
    return make_empty_response(204);
}

} // namespace chicory::standin
