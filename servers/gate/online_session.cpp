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

/// Pause before the second resume; each further one waits twice as long.
constexpr std::chrono::milliseconds first_resume_pause(50);
/// When to come back where no better time is known.
constexpr std::chrono::seconds usual_retry_after(1);

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

/// Tells whether a runner should be left alone for a while after a failure.
bool blames_runner(reason why)
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
    time_point last_moment)
    : state(shared), exchange(connection), request(source),
      deadline(last_moment), dispatch(make_dispatch(shared, source)),
      attempts(
          {source.not_repeatable, this->deadline},
          shared.budget_of(source.route)),
      answer(0), watch(std::make_shared<caller_watch>())
{
}

asio::awaitable<session_end> online_session::run()
{
    this->watch_caller();
    online::attempt_actions first =
        this->attempts.start(read_monotonic_clock());
    co_await this->apply(std::move(first));
    while (!this->attempts.finished())
    {
        const std::shared_ptr<dispatching::attempt> waiting = this->current;
        const duration left = this->deadline - read_monotonic_clock();
        std::optional<wire::message> next;
        if (!this->watch->gone && left > duration::zero())
        {
            next = co_await waiting->responses.pop(left);
        }
        online::attempt_actions actions;
        if (this->watch->gone)
        {
            actions = this->attempts.caller_disconnected();
        }
        else if (next)
        {
            actions = co_await this->take(std::move(*next));
        }
        else
        {
            actions = this->attempts.tick(read_monotonic_clock());
        }
        co_await this->apply(std::move(actions));
    }
    if (this->current != nullptr)
    {
        this->state.owners.forget(*this->current);
    }
    session_end end;
    end.result = this->verdict->result;
    end.response = std::move(this->response);
    end.streamed = this->head_sent;
    const bool told = end.result == online::request_result::answered ||
                      end.result == online::request_result::cancelled;
    if (!told)
    {
        end.failure = this->make_failure(*this->verdict);
    }
    co_return end;
}

void online_session::watch_caller()
{
    this->exchange.watch_disconnect(
        [watched = this->watch]()
        {
            watched->gone = true;
            if (const auto waiting = watched->waiting.lock())
            {
                waiting->responses.interrupt();
            }
        });
}

asio::awaitable<void> online_session::apply(online::attempt_actions actions)
{
    std::deque<online::attempt_action> due(actions.begin(), actions.end());
    while (!due.empty())
    {
        const online::attempt_action action = due.front();
        due.pop_front();
        if (const auto* order = std::get_if<online::start_attempt>(&action))
        {
            online::attempt_actions next;
            co_await this->begin_attempt(*order, next);
            due.insert(due.end(), next.begin(), next.end());
        }
        if (const auto* order = std::get_if<online::resume_attempt>(&action))
        {
            co_await this->resume(order->attempt);
        }
        if (std::holds_alternative<online::abandon_attempt>(action) &&
            this->current != nullptr)
        {
            this->state.owners.cancel(*this->current);
        }
        if (const auto* end = std::get_if<online::finish_request>(&action))
        {
            this->verdict = *end;
        }
    }
}

asio::awaitable<void> online_session::begin_attempt(
    online::start_attempt order, online::attempt_actions& next)
{
    if (order.attempt > 1)
    {
        this->state.numbers.count_retry(this->last_failure);
    }
    this->state.numbers.add("attempts_total");
    online::runner_requirements wish;
    wish.avoid = order.avoid;
    wish.prefix_key = this->request.prefix_key;
    const online::quarantine_decision judged = this->state.suspects.judge(
        this->request.fingerprint, read_monotonic_clock());
    this->dispatch.suspect =
        this->suspect || judged == online::quarantine_decision::suspect;
    wish.suspect = this->dispatch.suspect ? this->request.fingerprint : 0;
    this->dispatch.attempt = order.attempt;
    this->dispatch.runner =
        co_await this->state.choose_runner(this->request.pool, std::move(wish));
    const time_point now = read_monotonic_clock();
    this->dispatch.time_left_us = (this->deadline - now).count();
    if (this->dispatch.runner.empty())
    {
        next = this->attempts.attempt_ended(
            order.attempt,
            online::attempt_outcome::not_sent,
            reason::no_runner,
            usual_retry_after,
            now);
        co_return;
    }
    if (this->current != nullptr)
    {
        this->state.owners.forget(*this->current);
    }
    this->attempts.assigned(order.attempt, this->dispatch.runner);
    this->answer = online::response_assembler(order.attempt);
    this->response = net::http_response();
    this->current = this->state.owners.start(this->dispatch);
    this->watch->waiting = this->current;
}

asio::awaitable<void> online_session::resume(std::uint32_t attempt)
{
    const std::uint32_t tried = this->attempts.resume_count();
    std::string gate = this->current->owner;
    if (tried > 1)
    {
        // The owner may be gone; this gate can fetch the answer as well.
        gate = this->state.settings.vm_id;
        asio::steady_timer pause(this->state.executor);
        pause.expires_after(first_resume_pause * (1U << (tried - 2)));
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    wire::resume_response from;
    from.request_id = this->dispatch.request_id;
    from.attempt = attempt;
    from.offset = this->answer.resume_offset();
    from.runner = this->dispatch.runner;
    this->state.numbers.add("resumes_total");
    this->state.owners.resume(*this->current, gate, std::move(from));
}

asio::awaitable<online::attempt_actions>
online_session::take(wire::message value)
{
    if (const auto* head = std::get_if<wire::response_head>(&value))
    {
        this->response.status = head->status;
        this->response.headers["content-type"] = head->content_type;
    }
    if (const auto* frame = std::get_if<wire::response_frame>(&value))
    {
        co_return co_await this->take_bytes(*frame);
    }
    if (const auto* last = std::get_if<wire::response_end>(&value))
    {
        this->answer.end(last->attempt, last->length);
        co_return co_await this->complete_if_whole();
    }
    if (const auto* failure = std::get_if<wire::response_failed>(&value))
    {
        co_return this->take_failure(*failure);
    }
    co_return online::attempt_actions();
}

asio::awaitable<online::attempt_actions>
online_session::take_bytes(const wire::response_frame& frame)
{
    std::string bytes =
        this->answer.add(frame.attempt, frame.offset, frame.bytes);
    if (bytes.empty())
    {
        co_return co_await this->complete_if_whole();
    }
    if (!this->request.streaming || this->response.status != 200)
    {
        this->response.body += bytes;
        co_return co_await this->complete_if_whole();
    }
    this->attempts.bytes_forwarded(frame.attempt);
    if (!this->request.idempotency_key.empty())
    {
        // Kept for a second send of the key.
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
    co_return co_await this->complete_if_whole();
}

asio::awaitable<online::attempt_actions> online_session::complete_if_whole()
{
    const std::uint32_t attempt = this->attempts.attempts();
    if (this->answer.state() == online::response_state::inconsistent)
    {
        co_return this->attempts.attempt_ended(
            attempt,
            online::attempt_outcome::unknown,
            reason::stream_broken,
            duration::zero(),
            read_monotonic_clock());
    }
    if (this->answer.state() != online::response_state::complete)
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
online_session::take_failure(const wire::response_failed& failure)
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
    if (blames_runner(why))
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

api_error online_session::make_failure(const online::finish_request& end) const
{
    api_error failure;
    failure.status = end.not_run ? 503 : 502;
    failure.code = end.why;
    if (!end.not_run)
    {
        failure.code = reason::outcome_unknown;
    }
    if (end.why == reason::deadline_too_short)
    {
        failure.status = 504;
        failure.code =
            end.not_run ? reason::deadline_too_short : reason::deadline_passed;
    }
    if (end.why == reason::quarantined)
    {
        failure.status = 422;
        failure.code = reason::quarantined;
    }
    failure.not_run = end.not_run;
    failure.text = "no answer after " +
                   std::to_string(this->attempts.attempts()) +
                   " attempts; the last one failed with " +
                   std::string(name_of(this->last_failure));
    const duration usual = usual_retry_after;
    const duration later =
        end.retry_after > duration::zero() ? end.retry_after : usual;
    failure.retry_after_ms = later.count() / 1000;
    return failure;
}

} // namespace chicory::gate
