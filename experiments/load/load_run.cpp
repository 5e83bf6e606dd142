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
constexpr std::chrono::milliseconds done_check(20);
/// A caller waits this much longer than the deadline before it gives up.
constexpr std::chrono::seconds grace(5);
constexpr std::chrono::milliseconds least_pause(50);
constexpr std::chrono::seconds most_pause(5);

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

/// Reads the one JSON shape of errors.
void take_error(sample& seen, const std::string& body)
{
    seen.end = request_end::failed;
    seen.code = "untyped";
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
        seen.code = json::value_to<std::string>(*code);
    }
    if (not_run != nullptr && not_run->is_bool() && not_run->get_bool())
    {
        seen.end = request_end::refused_not_run;
    }
}

/// Returns when a refused caller comes back.
duration find_pause(const net::http_response& head)
{
    const auto found = head.headers.find("retry-after");
    if (found == head.headers.end())
    {
        return least_pause;
    }
    const duration told =
        std::chrono::seconds(std::atoi(found->second.c_str()));
    return std::clamp<duration>(told, least_pause, most_pause);
}

} // namespace

load_run::load_run(load_plan chosen)
    : plan(std::move(chosen)), context(1), client(context.get_executor()),
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
            "no gate answered the question for entry addresses");
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
    for (std::size_t place = 0; place < this->plan.batches.size(); ++place)
    {
        ++this->in_progress;
        asio::co_spawn(this->context, this->run_batch(place), asio::detached);
    }
    asio::co_spawn(
        this->context, this->entries.refresh_forever(), asio::detached);
    if (this->plan.show_progress)
    {
        asio::co_spawn(this->context, this->show_progress(), asio::detached);
    }
    co_await this->stop_when_done();
}

asio::awaitable<void> load_run::run_batch(std::size_t place)
{
    const duration give_up = this->plan.length + this->plan.batch_patience;
    batch_caller caller(
        this->client,
        this->entries,
        this->plan.batches[place],
        this->plan.seed,
        this->started + give_up);
    co_await caller.run(this->report.batches[place]);
    --this->in_progress;
}

asio::awaitable<void> load_run::stop_when_done()
{
    asio::steady_timer timer(this->context);
    while (this->in_progress > 0)
    {
        timer.expires_after(done_check);
        co_await timer.async_wait(asio::use_awaitable);
    }
    this->context.stop();
}

asio::awaitable<void> load_run::wait_until_time(duration when)
{
    asio::steady_timer timer(this->context);
    timer.expires_after(std::max(when - this->since_start(), duration(0)));
    co_await timer.async_wait(asio::use_awaitable);
}

duration load_run::since_start() const
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
    const duration last = intended + source.deadline;
    sample seen;
    seen.source = source.name;
    seen.request = name;
    seen.intended = intended;
    seen.sends = 0;
    while (true)
    {
        ++seen.sends;
        co_await this->send_once(
            source, body, seen, last - this->since_start());
        const bool answered = seen.end == request_end::answered ||
                              seen.end == request_end::wrong_bytes;
        const bool more = seen.sends <= source.resends &&
                          this->since_start() + least_pause < last;
        if (answered || !more)
        {
            break;
        }
        co_await this->wait_until_time(this->since_start() + seen.pause);
    }
    seen.latency = this->since_start() - intended;
    if (seen.end == request_end::answered && seen.latency > source.deadline)
    {
        seen.end = request_end::late;
    }
    this->report.samples.push_back(std::move(seen));
    --this->in_progress;
}

asio::awaitable<void> load_run::send_once(
    online_source source, std::string body, sample& seen, duration limit)
{
    const std::int64_t limit_ms = std::max<std::int64_t>(
        1,
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    net::http_request request;
    request.method = "POST";
    request.target = source.path;
    request.headers["content-type"] = "application/json";
    request.headers["authorization"] = "Bearer " + source.key;
    request.headers["x-deadline-ms"] = std::to_string(limit_ms);
    if (source.keyed)
    {
        request.headers["idempotency-key"] = seen.request;
    }
    request.body = body;
    const duration patience = std::chrono::milliseconds(limit_ms) + grace;
    seen.end = request_end::broken;
    seen.pause = least_pause;
    net::open_outcome opened = co_await this->client.open(
        this->entries.next_gate(), std::move(request), patience);
    if (opened.stream == nullptr)
    {
        seen.code = opened.failure.text;
        co_return;
    }
    const int status = opened.stream->head().status;
    seen.pause = find_pause(opened.stream->head());
    bool whole = false;
    const std::string bytes =
        co_await this->read_answer(*opened.stream, seen, patience, whole);
    if (!whole)
    {
        co_return;
    }
    if (status != 200)
    {
        take_error(seen, bytes);
        co_return;
    }
    const standin::generated_response expected(source.path, body);
    seen.end = bytes == expected.all_bytes() ? request_end::answered
                                             : request_end::wrong_bytes;
}

asio::awaitable<std::string> load_run::read_answer(
    net::http_stream& stream, sample& seen, duration limit, bool& whole)
{
    std::string bytes;
    while (true)
    {
        const result<std::string> piece = co_await stream.read_some(limit);
        if (!piece)
        {
            seen.code = piece.error().text;
            co_return bytes;
        }
        if (piece.value().empty())
        {
            whole = true;
            co_return bytes;
        }
        if (bytes.empty())
        {
            seen.first_byte = this->since_start() - seen.intended;
        }
        bytes += piece.value();
    }
}

asio::awaitable<void> load_run::show_progress()
{
    while (true)
    {
        co_await this->wait_until_time(this->since_start() + progress_interval);
        const std::int64_t seconds =
            std::chrono::duration_cast<std::chrono::seconds>(
                this->since_start())
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
