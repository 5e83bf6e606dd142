#include "servers/node/online_call.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr int status_failed = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
/// Runners that may refuse a request, or be out of reach, before it is
/// refused to the caller.
constexpr int most_refusals = 4;
/// Time to come back after no runner could take a request.
constexpr std::chrono::milliseconds no_runner_retry(200);
/// Wait for the begin of an answer after which a repeatable request is sent
/// to another runner.
constexpr std::chrono::milliseconds repeatable_head_limit(1200);
/// Silence within a stream after which one that may be resumed is resumed at
/// another runner.
constexpr std::chrono::milliseconds resumable_silence(700);

} // namespace

online_call::online_call(
    asio::io_context& io,
    run_services shared_services,
    std::shared_ptr<const serving::serving_configuration> in_force,
    const serving::serving_route& its_route,
    net::http_exchange& caller,
    std::string whole_body,
    time_point received)
    : services(shared_services), configuration(std::move(in_force)),
      route(its_route), exchange(caller), body(std::move(whole_body)),
      terms(platform::parse_caller_parameters(caller.head().headers)),
      arrived(received), timer(io)
{
    const duration limit = std::min(
        this->terms.time_limit.value_or(its_route.timeout), its_route.timeout);
    this->ends_at = received + limit;
    this->digest = hash_bytes(
        this->body,
        hash_bytes(this->terms.prompt_parts, hash_bytes(caller.head().target)));
}

asio::awaitable<void> online_call::run()
{
    const std::weak_ptr<online_call> self = this->weak_from_this();
    this->exchange.watch_disconnect(
        [self]
        {
            if (const std::shared_ptr<online_call> call = self.lock())
            {
                call->on_caller_gone();
            }
        });
    this->start_timer();
    log_event(
        event::request_admitted,
        {{"request", this->terms.attempt_id},
         {"route", this->route.name},
         {"revision", this->configuration->version}});
    step next = step::again;
    while (next == step::again)
    {
        if (this->is_over())
        {
            co_await this->end_over();
            break;
        }
        next = co_await this->attempt();
    }
    this->timer.cancel();
}

void online_call::start_timer()
{
    this->timer.expires_after(this->ends_at - read_monotonic_clock());
    const std::weak_ptr<online_call> self = this->weak_from_this();
    this->timer.async_wait(
        [self](boost::system::error_code code)
        {
            const std::shared_ptr<online_call> call = self.lock();
            if (!code && call != nullptr)
            {
                call->on_time_over();
            }
        });
}

void online_call::on_caller_gone()
{
    this->caller_gone = true;
    this->close_run();
}

void online_call::on_time_over()
{
    this->time_over = true;
    this->close_run();
}

void online_call::close_run()
{
    this->waiting.withdraw();
    this->sending.cancel();
    if (this->stream != nullptr)
    {
        this->stream->close();
    }
}

bool online_call::is_over() const
{
    return this->caller_gone || this->time_over;
}

slot_wish online_call::make_wish() const
{
    slot_wish wish;
    wish.kind = serving::work_kind::online;
    wish.service = serving::choose_service(
        this->route, hash_bytes(this->terms.attempt_id));
    wish.on_time_until = this->arrived + this->route.target_latency;
    wish.gives_up_at = this->ends_at;
    wish.request_digest = this->digest;
    wish.repeatable = serving::is_repeatable(this->route);
    wish.excluded = this->failed_runners;
    return wish;
}

net::http_request online_call::make_request(const std::string& runner) const
{
    platform::runner_parameters added;
    added.runner_id = runner;
    added.time_left = this->ends_at - read_monotonic_clock();
    added.last_event_id = this->events.last_id();
    net::http_request request;
    request.method = this->exchange.head().method;
    request.target = this->exchange.head().target;
    request.headers =
        platform::make_runner_headers(this->exchange.head().headers, added);
    request.body = this->body;
    return request;
}

void online_call::release(
    const slot_answer& slot, serving::slot_outcome outcome)
{
    this->services.slots.release(
        slot.id,
        this->is_over() ? serving::slot_outcome::cancelled : outcome,
        this->digest);
}

asio::awaitable<online_call::step> online_call::attempt()
{
    const slot_answer slot =
        co_await this->services.slots.acquire(this->make_wish(), this->waiting);
    if (slot.kind == slot_answer::answer_kind::refused)
    {
        this->refused_slot = slot.id.number;
        co_await this->refuse(
            slot.retry_after,
            slot.direct ? reason::no_runner : reason::queue_time);
        co_return step::done;
    }
    if (slot.kind == slot_answer::answer_kind::quarantined)
    {
        log_event(
            event::request_quarantined,
            {{"request", this->terms.attempt_id},
             {"fingerprint", this->digest}});
        this->services.numbers.add("requests_quarantined_total");
        co_await this->fail(status_bad_gateway, reason::quarantined);
        co_return step::done;
    }
    if (slot.kind == slot_answer::answer_kind::withdrawn)
    {
        this->time_over = this->time_over || !this->caller_gone;
        co_return step::again;
    }
    log_event(
        event::request_placed,
        {{"request", this->terms.attempt_id},
         {"runner", slot.runner},
         {"slot", slot.id.number},
         {"coordinator", slot.coordinator},
         {"waited_ms", (read_monotonic_clock() - this->arrived).count() / 1000},
         {"direct", slot.direct ? 1 : 0}});
    const bool may_repeat = serving::is_repeatable(this->route) &&
                            this->runs + 1 < this->route.max_attempts;
    const duration left = this->ends_at - read_monotonic_clock();
    const duration head_limit =
        may_repeat ? std::min<duration>(left, repeatable_head_limit) : left;
    runner_outcome outcome = co_await this->services.runners.send(
        slot.runner,
        this->make_request(slot.runner),
        head_limit,
        this->sending);
    if (outcome.contact != runner_contact::answering)
    {
        this->release(slot, to_slot_outcome(outcome));
        co_return co_await this->take_failure(slot.runner, outcome);
    }
    ++this->runs;
    this->stream = std::move(outcome.stream);
    if (this->is_over())
    {
        this->stream->close();
    }
    co_return co_await this->pass_on(slot);
}

asio::awaitable<online_call::step> online_call::take_failure(
    const std::string& runner, const runner_outcome& outcome)
{
    this->failed_runners.push_back(runner);
    log_event(
        event::attempt_failed,
        {{"request", this->terms.attempt_id},
         {"runner", runner},
         {"error", outcome.failure}});
    if (outcome.contact == runner_contact::unknown)
    {
        ++this->runs;
        if (this->is_over())
        {
            co_return step::again;
        }
        if (serving::is_repeatable(this->route) &&
            this->runs < this->route.max_attempts)
        {
            this->services.numbers.count_retry(reason::runner_unreachable);
            co_return step::again;
        }
        co_await this->fail(status_bad_gateway, reason::outcome_unknown);
        co_return step::done;
    }
    ++this->refusals;
    if (this->refusals >= most_refusals && !this->is_over())
    {
        co_await this->refuse(no_runner_retry, reason::runner_refused);
        co_return step::done;
    }
    this->services.numbers.count_retry(reason::runner_refused);
    co_return step::again;
}

asio::awaitable<online_call::step> online_call::pass_on(const slot_answer& slot)
{
    if (platform::is_event_stream(this->stream->head()))
    {
        co_return co_await this->pass_events(slot);
    }
    co_return co_await this->pass_whole(slot);
}

void online_call::note_first_piece()
{
    this->services.numbers.observe(
        "first_piece", read_monotonic_clock() - this->arrived);
}

result<std::string> online_call::take_events(const std::string& piece)
{
    const answer_bounds& bounds = this->services.bounds;
    // Checked before the piece is split: what was split goes to the caller.
    if (this->events.unfinished_bytes() > bounds.event_bytes ||
        this->streamed_bytes > bounds.stream_bytes)
    {
        return make_error(
            error_kind::malformed,
            "stream: expected at most " + std::to_string(bounds.event_bytes) +
                " bytes in an event and " +
                std::to_string(bounds.stream_bytes) + " in all, found " +
                std::to_string(this->events.unfinished_bytes()) + " and " +
                std::to_string(this->streamed_bytes));
    }
    this->streamed_bytes += piece.size();
    return this->events.take(piece);
}

asio::awaitable<online_call::step>
online_call::pass_events(const slot_answer& slot)
{
    if (!this->head_sent)
    {
        net::http_response head;
        head.status = this->stream->head().status;
        head.headers =
            platform::make_caller_headers(this->stream->head().headers);
        this->head_sent = true;
        if (!co_await this->exchange.start_stream(std::move(head)))
        {
            this->caller_gone = true;
        }
        this->note_first_piece();
    }
    while (!this->is_over())
    {
        const bool may_resume =
            this->route.resumable && this->runs < this->route.max_attempts;
        const duration left = this->ends_at - read_monotonic_clock();
        const result<std::string> piece = co_await this->stream->read_some(
            may_resume ? std::min<duration>(left, resumable_silence) : left);
        if (this->is_over())
        {
            break;
        }
        const result<std::string> whole =
            piece ? this->take_events(piece.value()) : piece;
        if (!whole)
        {
            this->stream->close();
            this->stream.reset();
            this->release(slot, to_slot_outcome(whole.error()));
            this->events.drop_unfinished();
            this->failed_runners.push_back(slot.runner);
            log_event(
                event::attempt_failed,
                {{"request", this->terms.attempt_id},
                 {"runner", slot.runner},
                 {"last_event", this->events.last_id()},
                 {"error", whole.error().text}});
            if (may_resume)
            {
                this->services.numbers.count_retry(reason::stream_broken);
                co_return step::again;
            }
            co_await this->fail(status_bad_gateway, reason::stream_broken);
            co_return step::done;
        }
        this->services.slots.note_progress(slot.id);
        const bool ended = piece.value().empty();
        if (!whole.value().empty() &&
            !co_await this->exchange.write_chunk(whole.value()))
        {
            this->caller_gone = true;
            break;
        }
        if (ended && this->events.unfinished_bytes() == 0)
        {
            this->release(slot, serving::slot_outcome::completed);
            this->stream.reset();
            this->services.numbers.add("requests_completed_total");
            log_event(
                event::request_completed,
                {{"request", this->terms.attempt_id},
                 {"runner", slot.runner},
                 {"ms",
                  (read_monotonic_clock() - this->arrived).count() / 1000}});
            co_await this->exchange.end_stream();
            co_return step::done;
        }
        if (ended)
        {
            this->release(slot, serving::slot_outcome::broken);
            co_await this->fail(status_bad_gateway, reason::stream_broken);
            co_return step::done;
        }
    }
    this->stream->close();
    this->stream.reset();
    this->release(slot, serving::slot_outcome::cancelled);
    co_return step::again;
}

asio::awaitable<online_call::step>
online_call::pass_whole(const slot_answer& slot)
{
    net::http_response answer;
    answer.status = this->stream->head().status;
    answer.headers =
        platform::make_caller_headers(this->stream->head().headers);
    std::function<void()> note_progress = [this, &slot]
    {
        this->services.slots.note_progress(slot.id);
    };
    result<std::string> whole = co_await net::read_whole(
        *this->stream,
        this->ends_at,
        this->services.bounds.answer_bytes,
        std::move(note_progress));
    this->stream.reset();
    if (this->is_over())
    {
        this->release(slot, serving::slot_outcome::cancelled);
        co_return step::again;
    }
    if (!whole)
    {
        this->release(slot, to_slot_outcome(whole.error()));
        runner_outcome broken;
        broken.contact = runner_contact::unknown;
        broken.failure = whole.error().text;
        --this->runs;
        co_return co_await this->take_failure(slot.runner, broken);
    }
    answer.body = std::move(whole.value());
    const bool failed = answer.status >= status_failed &&
                        answer.status != status_gateway_timeout;
    this->release(
        slot,
        failed ? serving::slot_outcome::failed
               : serving::slot_outcome::completed);
    if (failed && serving::is_repeatable(this->route) &&
        this->runs < this->route.max_attempts)
    {
        this->failed_runners.push_back(slot.runner);
        log_event(
            event::attempt_failed,
            {{"request", this->terms.attempt_id},
             {"runner", slot.runner},
             {"error", "status " + std::to_string(answer.status)}});
        this->services.numbers.count_retry(reason::runner_failed);
        co_return step::again;
    }
    this->note_first_piece();
    this->services.numbers.add("requests_completed_total");
    log_event(
        event::request_completed,
        {{"request", this->terms.attempt_id},
         {"runner", slot.runner},
         {"status", answer.status}});
    co_await this->exchange.respond(std::move(answer));
    co_return step::done;
}

asio::awaitable<void> online_call::end_over()
{
    if (this->caller_gone)
    {
        this->services.numbers.add("requests_abandoned_total");
        log_event(
            event::request_abandoned, {{"request", this->terms.attempt_id}});
        co_return;
    }
    if (this->runs == 0)
    {
        co_await this->refuse(duration::zero(), reason::deadline_passed);
        co_return;
    }
    co_await this->fail(status_gateway_timeout, reason::deadline_passed);
}

asio::awaitable<void> online_call::refuse(duration retry_after, reason why)
{
    if (this->head_sent || this->runs > 0)
    {
        co_await this->fail(status_bad_gateway, why);
        co_return;
    }
    this->services.numbers.count_refusal(why);
    log_event(
        event::request_refused,
        {{"request", this->terms.attempt_id},
         {"reason", std::string(name_of(why))},
         {"slot", this->refused_slot},
         {"retry_after_ms", retry_after.count() / 1000},
         {"waited_ms",
          (read_monotonic_clock() - this->arrived).count() / 1000}});
    co_await this->exchange.respond(
        platform::make_refusal(retry_after, name_of(why)));
}

asio::awaitable<void> online_call::fail(int status, reason why)
{
    log_event(
        event::request_failed,
        {{"request", this->terms.attempt_id},
         {"reason", std::string(name_of(why))},
         {"runs", this->runs},
         {"begun", this->head_sent ? 1 : 0}});
    this->services.numbers.add("requests_failed_total");
    // A stream that has begun ends with its connection, without its end.
    if (!this->head_sent)
    {
        co_await this->exchange.respond(
            net::make_text_response(status, std::string(name_of(why))));
    }
}

} // namespace chicory::node
