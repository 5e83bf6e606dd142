#include "servers/node/runner_caller.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

/// Maximum time to connect to a runner, a few round trips between availability
/// zones. A runner that takes longer is considered down, and the request goes
/// to another runner.
constexpr std::chrono::milliseconds connect_limit(250);
/// Time between the two connection attempts of a probe. The listening socket
/// of a process that ends may be closed shortly after its connections.
constexpr std::chrono::milliseconds probe_interval(10);

} // namespace

runner_caller::runner_caller(
    asio::any_io_executor executor,
    fleet_state& initial_fleet,
    net::response_limits initial_limits,
    leaving_hook hook)
    : http(std::move(executor)), fleet(initial_fleet),
      response_limits(initial_limits), on_leaving(std::move(hook))
{
}

void runner_caller::record_leaving(
    const serving::runner_entry& target_runner, const net::http_response& head)
{
    if (platform::is_leaving_response(head) &&
        this->fleet.runners().on_leaving(
            target_runner.id, target_runner.started_ms))
    {
        log_event(
            event::runner_leaving_noticed,
            {{"runner", target_runner.id}, {"service", target_runner.service}});
        this->on_leaving(target_runner);
    }
}

asio::awaitable<runner_outcome> runner_caller::send(
    const std::string& runner,
    net::http_request request,
    duration head_limit,
    net::http_cancellation& cancellation)
{
    runner_outcome outcome;
    serving::runner_directory& directory = this->fleet.runners();
    const serving::runner_entry* entry = directory.find(runner);
    if (entry == nullptr)
    {
        outcome.delivery = delivery_outcome::wrong_runner;
        outcome.failure = "runner " + runner + " is not registered";
        co_return outcome;
    }
    // Copied, because the runner may restart and register again during this
    // call.
    const serving::runner_entry target_runner = *entry;
    const net::endpoint target{target_runner.address, target_runner.port};
    const platform::expected_runner expected = {
        target_runner.id,
        !platform::parse_expected_weights(request.headers).empty()};
    net::open_limits limits;
    limits.connect = connect_limit;
    limits.head = head_limit;
    limits.echoed_header = platform::attempt_header;
    limits.response = this->response_limits;
    bool is_leaving = false;
    limits.may_send = [&directory, &runner, &is_leaving]
    {
        is_leaving = !directory.may_send(runner);
        return !is_leaving;
    };
    net::open_outcome opened = co_await this->http.open(
        target, std::move(request), std::move(limits), &cancellation);
    if (is_leaving)
    {
        outcome.delivery = delivery_outcome::leaving;
        outcome.failure = "runner " + runner + " is leaving";
        co_return outcome;
    }
    if (opened.stream == nullptr)
    {
        const bool sent = opened.sent == net::send_state::maybe_sent;
        outcome.delivery =
            sent ? delivery_outcome::unknown : delivery_outcome::not_sent;
        outcome.failure = opened.failure.text;
        outcome.closed =
            sent && is_closed(opened.failure) && !cancellation.is_cancelled();
        if (!sent && !cancellation.is_cancelled())
        {
            directory.on_unreachable(read_monotonic_clock(), runner);
        }
        co_return outcome;
    }
    directory.on_reached(runner);
    this->record_leaving(target_runner, opened.stream->head());
    switch (platform::classify_runner_response(opened.stream->head(), expected))
    {
    case platform::runner_response_kind::executed:
        outcome.load = platform::parse_runner_load(opened.stream->head());
        outcome.delivery = delivery_outcome::responding;
        break;
    case platform::runner_response_kind::not_run:
        outcome.load = platform::parse_runner_load(opened.stream->head());
        outcome.delivery = delivery_outcome::not_run;
        outcome.failure =
            "status " + std::to_string(opened.stream->head().status);
        if (!serving::is_full(outcome.load) &&
            !platform::is_leaving_response(opened.stream->head()))
        {
            outcome.unsuitable = serving::hold_reason::refused;
        }
        break;
    case platform::runner_response_kind::other_weights:
        outcome.load = platform::parse_runner_load(opened.stream->head());
        outcome.delivery = delivery_outcome::other_weights;
        outcome.failure = "the runner has other weights";
        outcome.unsuitable = serving::hold_reason::other_weights;
        break;
    case platform::runner_response_kind::wrong_runner:
        outcome.delivery = delivery_outcome::wrong_runner;
        outcome.failure = "the runner's address belongs to another runner";
        directory.on_wrong_instance(runner);
        break;
    }
    outcome.stream = std::move(opened.stream);
    co_return outcome;
}

asio::awaitable<serving::runner_probe>
runner_caller::probe(const std::string& runner)
{
    const serving::runner_entry* entry = this->fleet.runners().find(runner);
    if (entry == nullptr)
    {
        co_return serving::runner_probe::failed;
    }
    const net::endpoint target{entry->address, entry->port};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const bool first =
        co_await this->http.can_connect(target, duration(connect_limit));
    if (!first)
    {
        co_return serving::runner_probe::failed;
    }
    timer.expires_after(probe_interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const bool second =
        co_await this->http.can_connect(target, duration(connect_limit));
    co_return second ? serving::runner_probe::accepted
                     : serving::runner_probe::failed;
}

bool is_closed(const error& failure)
{
    return failure.kind == error_kind::unavailable;
}

serving::slot_outcome to_slot_outcome(const error& stream_failure)
{
    return is_closed(stream_failure) ? serving::slot_outcome::crashed
                                     : serving::slot_outcome::broken;
}

serving::slot_outcome to_slot_outcome(const runner_outcome& outcome)
{
    switch (outcome.delivery)
    {
    case delivery_outcome::responding:
        return serving::slot_outcome::completed;
    case delivery_outcome::not_sent:
        return serving::slot_outcome::unreachable;
    case delivery_outcome::not_run:
    case delivery_outcome::wrong_runner:
    case delivery_outcome::leaving:
        return serving::slot_outcome::refused;
    case delivery_outcome::other_weights:
        return serving::slot_outcome::unsuitable;
    case delivery_outcome::unknown:
        break;
    }
    return outcome.closed ? serving::slot_outcome::crashed
                          : serving::slot_outcome::broken;
}

} // namespace chicory::node
