#include "tests/standins/runner_standin.hpp"

#include "tests/standins/json_response.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <exception>
#include <optional>
#include <utility>

namespace chicory::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_body_bytes = 1U << 26U;
constexpr std::chrono::seconds orphan_timeout(10);
constexpr std::chrono::milliseconds silence_check_interval(20);
constexpr std::chrono::seconds weight_fetch_limit(2);
constexpr int crash_exit_code = 70;
constexpr double min_time_factor = 0.8;
constexpr double max_time_factor = 1.2;

const std::string run_prefix = "/runs/";

/// Returns the run id in a target such as `/runs/ID/cancel`.
std::string parse_run_id(const std::string& target)
{
    const std::size_t end = target.find('/', run_prefix.size());
    return target.substr(run_prefix.size(), end - run_prefix.size());
}

/// Returns the offset in a target such as `/runs/ID/answer?offset=12`, or zero
/// if there is none.
std::size_t parse_offset(const std::string& target)
{
    static const std::string mark = "offset=";
    const std::size_t position = target.find(mark);
    return position == std::string::npos
               ? 0
               : std::strtoull(
                     target.c_str() + position + mark.size(), nullptr, 10);
}

/// Parses an order. Returns nothing if the body is not JSON or lacks a field
/// that the action requires.
std::optional<json::object> read_order(const std::string& body)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(body, code);
    if (code || !parsed.is_object())
    {
        return std::nullopt;
    }
    const json::object& order = parsed.get_object();
    const auto has_text = [&order](std::string_view field)
    {
        const json::value* const found = order.if_contains(field);
        return found != nullptr && found->is_string();
    };
    const json::value* const number = order.if_contains("fencing_number");
    const bool is_complete = number != nullptr && number->is_int64() &&
                             has_text("action") && has_text("argument");
    if (!is_complete)
    {
        return std::nullopt;
    }
    const json::string& action = order.at("action").get_string();
    const bool names_model =
        action == "load_version" || action == "load_adapter";
    if (names_model && !has_text("model"))
    {
        return std::nullopt;
    }
    return order;
}

asio::awaitable<void> wait_for_change(run& work)
{
    co_await work.changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

runner_standin::runner_standin(
    asio::any_io_executor context, runner_settings chosen)
    : executor(std::move(context)), settings(std::move(chosen)),
      log(this->settings.log_file), generator(this->settings.seed),
      incarnation(static_cast<std::uint64_t>(read_wall_clock_ms())),
      client(this->executor), load(json::object())
{
    this->load.set_lag(this->settings.load_lag);
    this->report_load();
}

asio::awaitable<void> runner_standin::handle(net::http_exchange& exchange)
{
    const net::http_request head = exchange.head();
    result<std::string> body = co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        co_return;
    }
    if (this->is_run(head))
    {
        co_await this->start_run(exchange, std::move(body.value()));
        co_return;
    }
    if (!head.target.starts_with("/control"))
    {
        co_await this->wait_while_silent();
    }
    if (head.method == "GET" && head.target.starts_with(run_prefix))
    {
        co_await this->resume_run(exchange, head.target);
        co_return;
    }
    if (head.target == "/orders")
    {
        net::http_response response =
            co_await this->handle_order(std::move(body.value()));
        static_cast<void>(co_await exchange.respond(std::move(response)));
        co_return;
    }
    net::http_response response;
    try
    {
        response = this->handle_call(head, body.value());
    }
    catch (const std::exception& failure)
    {
        response = make_error_response(400, failure.what());
    }
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

bool runner_standin::is_run(const net::http_request& head) const
{
    if (head.method != "POST")
    {
        return false;
    }
    if (get_response_format(head.target) != response_format::plain)
    {
        return true;
    }
    return this->settings.plain && head.target != "/control" &&
           head.target != "/orders" && !head.target.starts_with(run_prefix);
}

asio::awaitable<void>
runner_standin::start_run(net::http_exchange& exchange, std::string body)
{
    const net::http_request head = exchange.head();
    const auto named = head.headers.find("x-run-id");
    const std::string run_id =
        named == head.headers.end()
            ? "unnamed-" + std::to_string(this->runs.size())
            : named->second;
    if (this->leaving || this->refusing)
    {
        this->log.add_refusal(run_id, body);
        net::http_response refusal = make_error_response(503, "not taken");
        refusal.headers["x-not-run"] = "true";
        static_cast<void>(co_await exchange.respond(std::move(refusal)));
        co_return;
    }
    const std::shared_ptr<run> work =
        std::make_shared<run>(this->executor, head.target, std::move(body));
    work->log_index = this->log.add_run(run_id, head.target, work->body);
    this->runs[run_id] = work;
    ++this->in_progress;
    this->report_load();
    asio::co_spawn(this->executor, this->generate(work), asio::detached);
    co_await this->send_response(exchange, work, 0);
}

asio::awaitable<void>
runner_standin::resume_run(net::http_exchange& exchange, std::string target)
{
    const auto found = this->runs.find(parse_run_id(target));
    if (found == this->runs.end())
    {
        net::http_response missing = make_error_response(404, "unknown run");
        static_cast<void>(co_await exchange.respond(std::move(missing)));
        co_return;
    }
    const std::shared_ptr<run> work = found->second;
    co_await this->send_response(exchange, work, parse_offset(target));
}

asio::awaitable<void> runner_standin::generate(std::shared_ptr<run> work)
{
    co_await this->wait(this->settings.first_token);
    if (!this->settings.crash_mark.empty() &&
        work->body.find(this->settings.crash_mark) != std::string::npos)
    {
        this->crash(*work);
    }
    for (std::int64_t index = 0; index < work->content.token_count(); ++index)
    {
        if (index > 0)
        {
            co_await this->wait(this->settings.token);
        }
        if (work->state != run_state::running)
        {
            co_return;
        }
        work->bytes += work->content.token_bytes(index);
        work->notify();
    }
    if (work->state == run_state::running)
    {
        work->bytes += work->content.end_bytes();
        this->end(*work, run_state::completed, "completed");
    }
}

asio::awaitable<void> runner_standin::send_response(
    net::http_exchange& exchange, std::shared_ptr<run> work, std::size_t offset)
{
    const std::shared_ptr<bool> disconnected = std::make_shared<bool>(false);
    ++work->readers;
    ++work->readers_so_far;
    exchange.watch_disconnect(
        [disconnected, work](net::connection_side)
        {
            *disconnected = true;
            work->notify();
        });
    if (work->content.is_streamed())
    {
        co_await this->send_pieces(exchange, work, offset, disconnected);
    }
    else
    {
        co_await this->send_document(exchange, work, offset, disconnected);
    }
    --work->readers;
    if (work->readers == 0 && work->state == run_state::running)
    {
        asio::co_spawn(
            this->executor, this->cancel_orphan(work), asio::detached);
    }
}

asio::awaitable<void> runner_standin::send_pieces(
    net::http_exchange& exchange,
    std::shared_ptr<run> work,
    std::size_t offset,
    std::shared_ptr<bool> disconnected)
{
    net::http_response head;
    head.headers["content-type"] = "text/event-stream";
    bool started = false;
    while (!*disconnected)
    {
        co_await this->wait_while_silent();
        if (work->bytes.size() <= offset && work->state == run_state::running)
        {
            co_await wait_for_change(*work);
            continue;
        }
        if (!started)
        {
            started = true;
            const result<void> sent = co_await exchange.start_stream(head);
            *disconnected = *disconnected || !sent;
        }
        if (work->bytes.size() > offset)
        {
            const std::string piece = work->bytes.substr(offset);
            const result<void> sent = co_await exchange.write_chunk(piece);
            *disconnected = *disconnected || !sent;
            offset += piece.size();
            continue;
        }
        if (work->state == run_state::completed)
        {
            static_cast<void>(co_await exchange.end_stream());
        }
        co_return;
    }
}

asio::awaitable<void> runner_standin::send_document(
    net::http_exchange& exchange,
    std::shared_ptr<run> work,
    std::size_t offset,
    std::shared_ptr<bool> disconnected)
{
    while (!*disconnected && work->state == run_state::running)
    {
        co_await wait_for_change(*work);
    }
    co_await this->wait_while_silent();
    net::http_response response;
    response.headers["content-type"] = "application/json";
    if (work->state == run_state::completed)
    {
        response.body =
            work->bytes.substr(std::min(offset, work->bytes.size()));
    }
    else
    {
        response = make_error_response(499, "cancelled");
    }
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

asio::awaitable<void> runner_standin::wait_while_silent()
{
    while (this->silent)
    {
        co_await this->wait(silence_check_interval);
    }
}

asio::awaitable<void> runner_standin::cancel_orphan(std::shared_ptr<run> work)
{
    const std::size_t known_readers = work->readers_so_far;
    asio::steady_timer timer(this->executor, orphan_timeout);
    co_await timer.async_wait(asio::use_awaitable);
    if (work->readers_so_far == known_readers &&
        work->state == run_state::running)
    {
        this->end(*work, run_state::cancelled, "orphaned");
    }
}

asio::awaitable<void> runner_standin::wait(std::chrono::milliseconds length)
{
    if (length.count() == 0)
    {
        co_return;
    }
    std::uniform_real_distribution<double> distribution(
        min_time_factor, max_time_factor);
    const double slots = static_cast<double>(this->settings.slots);
    const double slowdown =
        std::max(1.0, static_cast<double>(this->in_progress) / slots);
    const std::chrono::duration<double, std::milli> slowed =
        length * slowdown * distribution(this->generator);
    asio::steady_timer timer(this->executor);
    timer.expires_after(
        std::chrono::duration_cast<std::chrono::microseconds>(slowed));
    co_await timer.async_wait(asio::use_awaitable);
}

void runner_standin::end(run& work, run_state state, const std::string& outcome)
{
    work.state = state;
    --this->in_progress;
    this->log.end_run(work.log_index, outcome);
    this->report_load();
    work.notify();
}

void runner_standin::crash(const run& work)
{
    this->log.end_run(work.log_index, "crashed");
    std::_Exit(crash_exit_code);
}

void runner_standin::report_load()
{
    json::object report;
    report["in_progress"] = this->in_progress;
    report["slots"] = this->settings.slots;
    report["incarnation"] = this->incarnation;
    report["leaving"] = this->leaving;
    report["model"] = this->model;
    report["version"] = this->version;
    report["adapters"] = json::value_from(this->adapters);
    report["role"] = this->role;
    this->load.set(read_monotonic_clock(), std::move(report));
}

net::http_response runner_standin::handle_call(
    const net::http_request& head, const std::string& body)
{
    if (head.target == "/load")
    {
        return make_json_response(200, this->load.get(read_monotonic_clock()));
    }
    if (head.target == "/control/log")
    {
        return make_json_response(200, this->log.to_json());
    }
    if (head.target.starts_with(run_prefix))
    {
        return this->cancel(head.target);
    }
    if (head.target == "/control")
    {
        this->handle_control(json::parse(body).as_object());
        return make_empty_response(204);
    }
    return make_error_response(404, "no such call");
}

net::http_response runner_standin::cancel(const std::string& target)
{
    const auto found = this->runs.find(parse_run_id(target));
    if (found != this->runs.end() && found->second->state == run_state::running)
    {
        this->end(*found->second, run_state::cancelled, "cancelled");
    }
    return make_empty_response(204);
}

asio::awaitable<net::http_response>
runner_standin::handle_order(std::string body)
{
    const std::optional<json::object> order = read_order(body);
    if (!order)
    {
        co_return make_error_response(400, "not an order");
    }
    const std::int64_t number =
        order->at("fencing_number").to_number<std::int64_t>();
    if (!this->settings.ignore_fencing && number < this->highest_fencing_number)
    {
        this->log.add_order(*order, false);
        co_return make_error_response(409, "old fencing number");
    }
    this->highest_fencing_number =
        std::max(number, this->highest_fencing_number);
    const std::string weights = this->get_required_weights(*order);
    if (!weights.empty())
    {
        const bool fetched = co_await this->fetch_weights(weights);
        if (!fetched)
        {
            net::http_response refusal =
                make_error_response(503, "no weights from the weight store");
            refusal.headers["retry-after"] = "1";
            co_return refusal;
        }
    }
    // An order with a higher fencing number may have arrived during the fetch
    // of the weights.
    const bool accepted =
        this->settings.ignore_fencing || number >= this->highest_fencing_number;
    this->log.add_order(*order, accepted);
    if (!accepted)
    {
        co_return make_error_response(409, "old fencing number");
    }
    this->execute_order(*order);
    co_return make_json_response(200, json::object{{"model", this->model}});
}

std::string
runner_standin::get_required_weights(const json::object& order) const
{
    const std::string action(order.at("action").as_string());
    const std::string argument(order.at("argument").as_string());
    if (action == "load_model")
    {
        return argument == this->model ? "" : argument;
    }
    if (action == "set_role")
    {
        return "";
    }
    const std::string owner(order.at("model").as_string());
    const bool loaded =
        owner == this->model &&
        (action == "load_version" ? argument == this->version
                                  : this->adapters.contains(argument));
    return loaded ? "" : owner + "/" + argument;
}

asio::awaitable<bool> runner_standin::fetch_weights(std::string name)
{
    if (this->settings.weight_store.port == 0)
    {
        co_return true;
    }
    net::http_request message;
    message.method = "POST";
    message.target = "/weights/fetches";
    message.body = json::serialize(json::object{{"model", name}});
    net::endpoint store = this->settings.weight_store;
    const result<net::http_response> response = co_await this->client.request(
        std::move(store), std::move(message), weight_fetch_limit);
    co_return response&& response.value().status == 200;
}

void runner_standin::execute_order(const json::object& order)
{
    const std::string action(order.at("action").as_string());
    const std::string argument(order.at("argument").as_string());
    if (action == "load_model" && argument != this->model)
    {
        this->load_weights(argument, "");
    }
    if (action == "load_version")
    {
        const std::string owner(order.at("model").as_string());
        if (owner != this->model || argument != this->version)
        {
            this->load_weights(owner, argument);
        }
    }
    if (action == "load_adapter" &&
        order.at("model").as_string() == this->model)
    {
        this->adapters.insert(argument);
    }
    if (action == "set_role")
    {
        this->role = argument;
    }
    this->report_load();
}

void runner_standin::load_weights(
    std::string new_model, std::string new_version)
{
    this->model = std::move(new_model);
    this->version = std::move(new_version);
    this->adapters.clear();
}

void runner_standin::handle_control(const json::object& request)
{
    if (const json::value* const value = request.if_contains("leave"))
    {
        this->leaving = value->as_bool();
        this->report_load();
    }
    if (const json::value* const value = request.if_contains("refuse"))
    {
        this->refusing = value->as_bool();
    }
    if (const json::value* const value = request.if_contains("silent"))
    {
        this->silent = value->as_bool();
    }
    if (const json::value* const value = request.if_contains("crash_mark"))
    {
        this->settings.crash_mark = json::value_to<std::string>(*value);
    }
}

} // namespace chicory::standin
