#include "servers/gate/online_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

/// Delay before the second resume; it doubles with each further resume.
constexpr std::chrono::milliseconds initial_resume_delay(50);
/// Time after which the caller may retry when the failure names none.
constexpr std::chrono::seconds default_retry_after(1);

online::attempt_outcome to_outcome(wire::attempt_outcome outcome)
{
    switch (outcome)
    {
    case wire::attempt_outcome::not_sent:
        return online::attempt_outcome::not_sent;
    case wire::attempt_outcome::refused_not_run:
        return online::attempt_outcome::refused_not_run;
    case wire::attempt_outcome::unknown:
        return online::attempt_outcome::unknown;
    case wire::attempt_outcome::cancelled:
        return online::attempt_outcome::cancelled;
    }
    return online::attempt_outcome::unknown;
}

/// Returns true when a failure was caused by the runner or its owner, so that
/// the next choices of a runner avoid it.
bool is_runner_failure(reason why)
{
    return why == reason::runner_crashed || why == reason::runner_refused ||
           why == reason::runner_unreachable || why == reason::runner_leaving ||
           why == reason::owner_unreachable || why == reason::draining;
}

wire::dispatch make_dispatch(gate_state& state, const online_request& request)
{
    wire::dispatch dispatch;
    dispatch.request_id = state.identifiers.next("req-");
    dispatch.kind = wire::work_class::online;
    dispatch.member = request.route.member;
    dispatch.route = request.route.name;
    dispatch.pool = request.pool.name;
    dispatch.path = request.path;
    dispatch.content_type = request.content_type;
    dispatch.body = request.body;
    dispatch.not_repeatable = request.not_repeatable;
    dispatch.fingerprint = request.fingerprint;
    dispatch.prefix_key = request.prefix_key;
    return dispatch;
}

} // namespace

online_session::online_session(
    gate_state& shared,
    net::http_exchange& connection,
    const online_request& source,
    time_point initial_deadline)
    : state(shared), exchange(connection), request(source),
      deadline(initial_deadline), dispatch(make_dispatch(shared, source)),
      attempts(
          {source.not_repeatable, this->deadline},
          shared.budget_of(source.route)),
      assembler(0), watch(std::make_shared<caller_watch>())
{
}

asio::awaitable<session_outcome> online_session::run()
{
    this->watch_caller();
    online::attempt_actions first =
        this->attempts.start(read_monotonic_clock());
    co_await this->apply(std::move(first));
    while (!this->attempts.finished())
    {
        const std::shared_ptr<dispatching::attempt> attempt =
            this->current_attempt;
        const duration time_left = this->deadline - read_monotonic_clock();
        std::optional<wire::message> message;
        if (!this->watch->disconnected && time_left > duration::zero())
        {
            message = co_await attempt->responses.pop(time_left);
        }
        online::attempt_actions actions;
        if (this->watch->disconnected)
        {
            actions = this->attempts.caller_disconnected();
        }
        else if (message)
        {
            actions = co_await this->handle_message(std::move(*message));
        }
        else
        {
            actions = this->attempts.tick(read_monotonic_clock());
        }
        co_await this->apply(std::move(actions));
    }
    if (this->current_attempt != nullptr)
    {
        this->state.owners.forget(*this->current_attempt);
    }
    session_outcome outcome;
    outcome.result = this->final_decision->result;
    outcome.response = std::move(this->response);
    outcome.streamed = this->head_sent;
    const bool is_expected_end =
        outcome.result == online::request_result::answered ||
        outcome.result == online::request_result::cancelled;
    if (!is_expected_end)
    {
        outcome.failure = this->make_failure(*this->final_decision);
    }
    co_return outcome;
}

void online_session::watch_caller()
{
    this->exchange.watch_disconnect(
        [watched = this->watch](net::connection_side)
        {
            watched->disconnected = true;
            if (const auto attempt = watched->attempt.lock())
            {
                attempt->responses.interrupt();
            }
        });
}

asio::awaitable<void> online_session::apply(online::attempt_actions actions)
{
    std::deque<online::attempt_action> pending(actions.begin(), actions.end());
    while (!pending.empty())
    {
        const online::attempt_action action = pending.front();
        pending.pop_front();
        if (const auto* start = std::get_if<online::start_attempt>(&action))
        {
            online::attempt_actions next;
            co_await this->begin_attempt(*start, next);
            pending.insert(pending.end(), next.begin(), next.end());
        }
        if (const auto* resumed = std::get_if<online::resume_attempt>(&action))
        {
            co_await this->resume(resumed->attempt);
        }
        if (std::holds_alternative<online::abandon_attempt>(action) &&
            this->current_attempt != nullptr)
        {
            this->state.owners.cancel(*this->current_attempt);
        }
        if (const auto* decision = std::get_if<online::finish_request>(&action))
        {
            this->final_decision = *decision;
        }
    }
}

asio::awaitable<void> online_session::begin_attempt(
    online::start_attempt start, online::attempt_actions& next)
{
    if (start.attempt > 1)
    {
        this->state.counters.count_retry(this->last_failure);
    }
    this->state.counters.add("attempts_total");
    online::runner_requirements requirements;
    requirements.avoid = start.avoid;
    requirements.prefix_key = this->request.prefix_key;
    const online::quarantine_decision decision = this->state.suspects.judge(
        this->request.fingerprint, read_monotonic_clock());
    this->dispatch.suspect =
        this->suspect || decision == online::quarantine_decision::suspect;
    requirements.suspect =
        this->dispatch.suspect ? this->request.fingerprint : 0;
    this->dispatch.attempt = start.attempt;
    this->dispatch.runner = co_await this->state.choose_runner(
        this->request.pool, std::move(requirements));
    const time_point now = read_monotonic_clock();
    this->dispatch.time_left_us = (this->deadline - now).count();
    if (this->dispatch.runner.empty())
    {
        next = this->attempts.attempt_ended(
            start.attempt,
            online::attempt_outcome::not_sent,
            reason::no_runner,
            default_retry_after,
            now);
        co_return;
    }
    if (this->current_attempt != nullptr)
    {
        this->state.owners.forget(*this->current_attempt);
    }
    this->attempts.assigned(start.attempt, this->dispatch.runner);
    this->assembler = online::response_assembler(start.attempt);
    this->response = net::http_response();
    this->current_attempt = this->state.owners.start(this->dispatch);
    this->watch->attempt = this->current_attempt;
}

asio::awaitable<void> online_session::resume(std::uint32_t attempt)
{
    const std::uint32_t resume_count = this->attempts.resume_count();
    std::string target_gate = this->current_attempt->owner;
    if (resume_count > 1)
    {
        // The owner may have failed; this gate can also fetch the response from
        // the runner.
        target_gate = this->state.settings.vm_id;
        asio::steady_timer timer(this->state.executor);
        timer.expires_after(initial_resume_delay * (1U << (resume_count - 2)));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    wire::resume_response request;
    request.request_id = this->dispatch.request_id;
    request.attempt = attempt;
    request.offset = this->assembler.resume_offset();
    request.runner = this->dispatch.runner;
    this->state.counters.add("resumes_total");
    this->state.owners.resume(
        *this->current_attempt, target_gate, std::move(request));
}

asio::awaitable<online::attempt_actions>
online_session::handle_message(wire::message value)
{
    if (const auto* head = std::get_if<wire::response_head>(&value))
    {
        this->response.status = head->status;
        this->response.headers["content-type"] = head->content_type;
    }
    if (const auto* frame = std::get_if<wire::response_frame>(&value))
    {
        co_return co_await this->handle_frame(*frame);
    }
    if (const auto* end = std::get_if<wire::response_end>(&value))
    {
        this->assembler.end(end->attempt, end->length);
        co_return co_await this->finish_if_complete();
    }
    if (const auto* failure = std::get_if<wire::response_failed>(&value))
    {
        co_return this->handle_failure(*failure);
    }
    co_return online::attempt_actions();
}

asio::awaitable<online::attempt_actions>
online_session::handle_frame(const wire::response_frame& frame)
{
    std::string bytes =
        this->assembler.add(frame.attempt, frame.offset, frame.bytes);
    if (bytes.empty())
    {
        co_return co_await this->finish_if_complete();
    }
    if (!this->request.streaming || this->response.status != 200)
    {
        this->response.body += bytes;
        co_return co_await this->finish_if_complete();
    }
    this->attempts.bytes_forwarded(frame.attempt);
    if (!this->request.idempotency_key.empty())
    {
        // The body is recorded for a second request with the key.
        this->response.body += bytes;
    }
    if (!this->head_sent)
    {
        this->head_sent = true;
        net::http_response head = this->response;
        head.body.clear();
        const result<void> started =
            co_await this->exchange.start_stream(std::move(head));
        if (!started)
        {
            co_return this->attempts.caller_disconnected();
        }
    }
    const result<void> written = co_await this->exchange.write_chunk(bytes);
    if (!written)
    {
        co_return this->attempts.caller_disconnected();
    }
    co_return co_await this->finish_if_complete();
}

asio::awaitable<online::attempt_actions> online_session::finish_if_complete()
{
    const std::uint32_t attempt = this->attempts.attempts();
    if (this->assembler.state() == online::response_state::inconsistent)
    {
        co_return this->attempts.attempt_ended(
            attempt,
            online::attempt_outcome::unknown,
            reason::stream_broken,
            duration::zero(),
            read_monotonic_clock());
    }
    if (this->assembler.state() != online::response_state::complete)
    {
        co_return online::attempt_actions();
    }
    if (this->head_sent)
    {
        const result<void> ended = co_await this->exchange.end_stream();
        if (!ended)
        {
            co_return this->attempts.caller_disconnected();
        }
    }
    co_return this->attempts.answered(attempt);
}

online::attempt_actions
online_session::handle_failure(const wire::response_failed& failure)
{
    const time_point now = read_monotonic_clock();
    if (failure.attempt != this->attempts.attempts())
    {
        return {};
    }
    const bool resuming = this->attempts.resume_count() > 0;
    const bool not_sent = failure.outcome == wire::attempt_outcome::not_sent;
    if (failure.reason == "link_lost" || (resuming && not_sent))
    {
        this->last_failure = reason::stream_broken;
        return this->attempts.link_lost(failure.attempt, now);
    }
    const reason why = find_value(reason_names, failure.reason)
                           .value_or(reason::outcome_unknown);
    this->last_failure = why;
    this->suspect = this->suspect || why == reason::runner_crashed;
    if (is_runner_failure(why))
    {
        this->state.chooser.failed(this->dispatch.runner, now);
    }
    log_event(
        event::attempt_failed,
        {{"request", failure.request_id},
         {"attempt", failure.attempt},
         {"runner", this->dispatch.runner},
         {"reason", failure.reason}});
    return this->attempts.attempt_ended(
        failure.attempt,
        to_outcome(failure.outcome),
        why,
        std::chrono::milliseconds(failure.retry_after_ms),
        now);
}

api_error
online_session::make_failure(const online::finish_request& decision) const
{
    api_error failure;
    failure.status = decision.not_run ? 503 : 502;
    failure.code = decision.why;
    if (!decision.not_run)
    {
        failure.code = reason::outcome_unknown;
    }
    if (decision.why == reason::deadline_too_short)
    {
        failure.status = 504;
        failure.code = decision.not_run ? reason::deadline_too_short
                                        : reason::deadline_passed;
    }
    if (decision.why == reason::quarantined)
    {
        failure.status = 422;
        failure.code = reason::quarantined;
    }
    failure.not_run = decision.not_run;
    failure.text = "no answer after " +
                   std::to_string(this->attempts.attempts()) +
                   " attempts; the last one failed with " +
                   std::string(name_of(this->last_failure));
    const duration default_delay = default_retry_after;
    const duration retry_after = decision.retry_after > duration::zero()
                                     ? decision.retry_after
                                     : default_delay;
    failure.retry_after_ms = retry_after.count() / 1000;
    return failure;
}

} // namespace chicory::gate
