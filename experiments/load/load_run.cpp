#include "experiments/load/load_run.hpp"

#include "experiments/load/batch_caller.hpp"
#include "tests/standins/generated_response.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace chicory::load
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds progress_interval(500);
constexpr std::chrono::milliseconds done_check_interval(20);
/// Time that a caller waits for a response after the deadline.
constexpr std::chrono::seconds response_grace(5);
constexpr std::chrono::milliseconds min_retry_delay(50);
constexpr std::chrono::seconds max_retry_delay(5);

std::string make_body(const online_source& source, const std::string& name)
{
    json::object body;
    body["model"] = source.route;
    body["prompt"] = source.prompt + " " + name;
    body["max_tokens"] = source.tokens;
    body["stream"] = source.streaming;
    body["metadata"] = json::object{{"custom_id", name}};
    return json::serialize(body);
}

/// Records the code and the `not_run` flag of a JSON error response.
void record_error(sample& request_sample, const std::string& body)
{
    request_sample.outcome = request_outcome::failed;
    request_sample.code = "untyped";
    boost::system::error_code failed;
    const json::value parsed = json::parse(body, failed);
    if (failed)
    {
        return;
    }
    boost::system::error_code missing;
    const json::value* const code = parsed.find_pointer("/error/code", missing);
    const json::value* const not_run =
        parsed.find_pointer("/error/not_run", missing);
    if (code != nullptr && code->is_string())
    {
        request_sample.code = json::value_to<std::string>(*code);
    }
    if (not_run != nullptr && not_run->is_bool() && not_run->get_bool())
    {
        request_sample.outcome = request_outcome::refused_not_run;
    }
}

/// Returns the delay before a refused request is sent again.
duration get_retry_delay(const net::http_response& head)
{
    const auto found = head.headers.find("retry-after");
    if (found == head.headers.end())
    {
        return min_retry_delay;
    }
    const duration retry_after =
        std::chrono::seconds(std::atoi(found->second.c_str()));
    return std::clamp<duration>(retry_after, min_retry_delay, max_retry_delay);
}

} // namespace

load_run::load_run(load_plan initial_plan)
    : plan(std::move(initial_plan)), context(1), client(context.get_executor()),
      entries(client, plan.entries), started(read_monotonic_clock())
{
}

result<load_report> load_run::run()
{
    asio::co_spawn(this->context, this->start(), asio::detached);
    this->context.run();
    if (!this->reachable)
    {
        return make_error(
            error_kind::unavailable,
            "no gate responded to GET /v1/entrypoints with entry addresses");
    }
    return std::move(this->report);
}

asio::awaitable<void> load_run::start()
{
    this->reachable = co_await this->entries.refresh();
    if (!this->reachable)
    {
        co_return;
    }
    this->started = read_monotonic_clock();
    std::uint64_t seed = this->plan.seed;
    for (const online_source& source : this->plan.online)
    {
        ++this->in_progress;
        asio::co_spawn(
            this->context, this->send_requests(source, ++seed), asio::detached);
    }
    this->report.batches.resize(this->plan.batches.size());
    for (std::size_t index = 0; index < this->plan.batches.size(); ++index)
    {
        ++this->in_progress;
        asio::co_spawn(this->context, this->run_batch(index), asio::detached);
    }
    asio::co_spawn(
        this->context, this->entries.refresh_forever(), asio::detached);
    if (this->plan.show_progress)
    {
        asio::co_spawn(this->context, this->show_progress(), asio::detached);
    }
    co_await this->stop_when_done();
}

asio::awaitable<void> load_run::run_batch(std::size_t index)
{
    const duration time_limit = this->plan.length + this->plan.batch_patience;
    batch_caller caller(
        this->client,
        this->entries,
        this->plan.batches[index],
        this->plan.seed,
        this->started + time_limit);
    co_await caller.run(this->report.batches[index]);
    --this->in_progress;
}

asio::awaitable<void> load_run::stop_when_done()
{
    asio::steady_timer timer(this->context);
    while (this->in_progress > 0)
    {
        timer.expires_after(done_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    this->context.stop();
}

asio::awaitable<void> load_run::wait_until_time(duration when)
{
    asio::steady_timer timer(this->context);
    timer.expires_after(std::max(when - this->get_elapsed(), duration(0)));
    co_await timer.async_wait(asio::use_awaitable);
}

duration load_run::get_elapsed() const
{
    return read_monotonic_clock() - this->started;
}

asio::awaitable<void>
load_run::send_requests(online_source source, std::uint64_t seed)
{
    arrivals times(source.arrivals, seed);
    std::int64_t number = 0;
    while (true)
    {
        const duration intended = times.next();
        if (intended >= this->plan.length)
        {
            break;
        }
        co_await this->wait_until_time(intended);
        const std::string name = source.name + "-" +
                                 std::to_string(this->plan.seed) + "-" +
                                 std::to_string(number++);
        ++this->in_progress;
        asio::co_spawn(
            this->context,
            this->send_request(source, name, intended),
            asio::detached);
    }
    --this->in_progress;
}

asio::awaitable<void> load_run::send_request(
    online_source source, std::string name, duration intended)
{
    const std::string body = make_body(source, name);
    const duration deadline = intended + source.deadline;
    sample request_sample;
    request_sample.source = source.name;
    request_sample.request = name;
    request_sample.intended = intended;
    request_sample.sends = 0;
    while (true)
    {
        ++request_sample.sends;
        co_await this->send_once(
            source, body, request_sample, deadline - this->get_elapsed());
        const bool answered =
            request_sample.outcome == request_outcome::answered ||
            request_sample.outcome == request_outcome::wrong_bytes;
        const bool can_resend =
            request_sample.sends <= source.resends &&
            this->get_elapsed() + min_retry_delay < deadline;
        if (answered || !can_resend)
        {
            break;
        }
        co_await this->wait_until_time(
            this->get_elapsed() + request_sample.retry_delay);
    }
    request_sample.latency = this->get_elapsed() - intended;
    if (request_sample.outcome == request_outcome::answered &&
        request_sample.latency > source.deadline)
    {
        request_sample.outcome = request_outcome::late;
    }
    this->report.samples.push_back(std::move(request_sample));
    --this->in_progress;
}

asio::awaitable<void> load_run::send_once(
    online_source source,
    std::string body,
    sample& request_sample,
    duration timeout)
{
    const std::int64_t time_left_ms = std::max<std::int64_t>(
        1,
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    net::http_request request;
    request.method = "POST";
    request.target = source.path;
    request.headers["content-type"] = "application/json";
    request.headers["authorization"] = "Bearer " + source.key;
    request.headers["x-deadline-ms"] = std::to_string(time_left_ms);
    if (source.keyed)
    {
        request.headers["idempotency-key"] = request_sample.request;
    }
    request.body = body;
    const duration response_timeout =
        std::chrono::milliseconds(time_left_ms) + response_grace;
    request_sample.outcome = request_outcome::broken;
    request_sample.retry_delay = min_retry_delay;
    net::open_outcome opened = co_await this->client.open(
        this->entries.next_gate(), std::move(request), response_timeout);
    if (opened.stream == nullptr)
    {
        request_sample.code = opened.failure.text;
        co_return;
    }
    const int status = opened.stream->head().status;
    request_sample.retry_delay = get_retry_delay(opened.stream->head());
    bool is_complete = false;
    const std::string bytes = co_await this->read_response(
        *opened.stream, request_sample, response_timeout, is_complete);
    if (!is_complete)
    {
        co_return;
    }
    if (status != 200)
    {
        record_error(request_sample, bytes);
        co_return;
    }
    const standin::generated_response expected(source.path, body);
    request_sample.outcome = bytes == expected.all_bytes()
                                 ? request_outcome::answered
                                 : request_outcome::wrong_bytes;
}

asio::awaitable<std::string> load_run::read_response(
    net::http_stream& stream,
    sample& request_sample,
    duration timeout,
    bool& is_complete)
{
    std::string bytes;
    while (true)
    {
        const result<std::string> piece = co_await stream.read_some(timeout);
        if (!piece)
        {
            request_sample.code = piece.error().text;
            co_return bytes;
        }
        if (piece.value().empty())
        {
            is_complete = true;
            co_return bytes;
        }
        if (bytes.empty())
        {
            request_sample.first_byte =
                this->get_elapsed() - request_sample.intended;
        }
        bytes += piece.value();
    }
}

asio::awaitable<void> load_run::show_progress()
{
    while (true)
    {
        co_await this->wait_until_time(this->get_elapsed() + progress_interval);
        const std::int64_t seconds =
            std::chrono::duration_cast<std::chrono::seconds>(
                this->get_elapsed())
                .count();
        std::cerr << "\r" << seconds << " s, " << this->report.samples.size()
                  << " requests ended, " << this->in_progress
                  << " in progress   " << std::flush;
    }
}

result<load_report> run_load(load_plan plan)
{
    return load_run(std::move(plan)).run();
}

} // namespace chicory::load
