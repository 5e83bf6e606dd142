#include "servers/node/online_call.hpp"

#include "servers/node/access_refusal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr int status_ok = 200;
constexpr int status_first_redirection = 300;
constexpr int status_not_found = 404;
constexpr int status_failed = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
/// Maximum number of runners that refuse a request or are unreachable before
/// the request is refused to the caller.
constexpr int max_refusals = 4;
/// Retry delay sent to the caller when no runner accepted the request.
constexpr std::chrono::milliseconds no_runner_retry(200);
/// Maximum time until a response begins; after it, a repeatable request is sent
/// to another runner.
constexpr std::chrono::milliseconds repeatable_head_limit(1200);
/// Maximum time without bytes in a stream; after it, a resumable stream is
/// resumed on another runner.
constexpr std::chrono::milliseconds resumable_silence_limit(700);
/// Period with which the slot of a run is kept while its response is not read.
/// Shorter than the silence after which a runner gets no new work, see
/// `serving::runner_slots_settings`.
constexpr std::chrono::milliseconds paused_progress_period(100);
/// Time beyond the deadline in which a caller may read the rest of a stream
/// whose run has ended. Bounds how long a caller that reads a few bytes at a
/// time holds memory.
constexpr std::chrono::seconds delivery_limit(30);

} // namespace

online_call::online_call(
    asio::io_context& io,
    run_services initial_services,
    std::shared_ptr<const serving::serving_configuration> initial_configuration,
    const serving::serving_route& initial_route,
    net::http_exchange& caller,
    std::string initial_body,
    std::string initial_organisation,
    body_lease initial_body_memory,
    time_point received)
    : services(initial_services),
      configuration(std::move(initial_configuration)), route(&initial_route),
      was_repeatable(serving::is_repeatable(initial_route)), exchange(caller),
      body(std::make_shared<const std::string>(std::move(initial_body))),
      organisation(std::move(initial_organisation)),
      body_memory(std::move(initial_body_memory)),
      unread(initial_services.memory),
      parameters(platform::parse_caller_parameters(caller.head().headers)),
      arrived(received), timer(io), progress(io)
{
    this->set_deadline();
    if (this->configuration->organisations.is_active())
    {
        this->key = platform::parse_caller_key(caller.head().headers);
    }
    this->digest = hash_bytes(
        *this->body,
        hash_bytes(
            this->parameters.prompt_parts, hash_bytes(caller.head().target)));
    this->parts = serving::digest_parts(
        initial_route.host, this->parameters.shared_parts);
    if (!this->organisation.empty())
    {
        // Each part gets a second digest, and all must fit into a record.
        this->parts.resize(
            std::min(this->parts.size(), (serving::max_traced_parts - 1) / 2));
    }
    const serving::part_digests own_parts = serving::digest_for_organisation(
        this->organisation, this->digest, this->parts);
    this->parts.insert(this->parts.end(), own_parts.begin(), own_parts.end());
}

asio::awaitable<void> online_call::run()
{
    const std::weak_ptr<online_call> self = this->weak_from_this();
    this->exchange.set_progress_hook(
        [self](bool is_open)
        {
            if (const std::shared_ptr<online_call> call = self.lock())
            {
                call->on_delivery_progress(is_open);
            }
        });
    this->exchange.watch_disconnect(
        [self](net::connection_side side)
        {
            if (const std::shared_ptr<online_call> call = self.lock())
            {
                call->on_caller_disconnected(side);
            }
        });
    this->start_timer();
    log_event(
        event::request_admitted,
        {{"request", this->parameters.attempt_id},
         {"route", this->route->name},
         {"revision", this->configuration->version}});
    step next = step::retry;
    while (next == step::retry)
    {
        if (this->is_aborted())
        {
            co_await this->finish_aborted();
            break;
        }
        next = co_await this->attempt();
    }
    this->timer.cancel();
}

void online_call::set_deadline()
{
    this->deadline =
        this->arrived +
        std::min(
            this->parameters.time_limit.value_or(this->route->timeout),
            this->route->timeout);
}

bool online_call::may_run_again() const
{
    return this->was_repeatable && serving::is_repeatable(*this->route);
}

bool online_call::update_route()
{
    const std::shared_ptr<const serving::serving_configuration> current =
        this->services.fleet.configuration();
    if (current == this->configuration)
    {
        return true;
    }
    const serving::serving_route* found = serving::find_route(
        *current,
        this->parameters.host,
        platform::path_of(this->exchange.head().target));
    if (found == nullptr || found->kind == serving::route_kind::batch)
    {
        return false;
    }
    this->configuration = current;
    this->route = found;
    this->set_deadline();
    this->start_timer();
    return true;
}

void online_call::start_timer()
{
    this->timer.expires_after(this->deadline - read_monotonic_clock());
    const std::weak_ptr<online_call> self = this->weak_from_this();
    this->timer.async_wait(
        [self](boost::system::error_code code)
        {
            const std::shared_ptr<online_call> call = self.lock();
            if (!code && call != nullptr)
            {
                call->on_deadline();
            }
        });
}

void online_call::on_caller_disconnected(net::connection_side side)
{
    if (side == net::connection_side::server)
    {
        this->record_cut_off();
    }
    this->caller_disconnected = true;
    this->close_run();
}

void online_call::on_deadline()
{
    this->deadline_reached = true;
    this->close_run();
}

void online_call::on_stop_begun()
{
    if (!this->may_begin_run())
    {
        // Has no effect on a run that has begun.
        this->slot_request_cancellation.cancel();
    }
}

void online_call::on_stop_deadline()
{
    this->stop_deadline_reached = true;
    this->close_run();
}

bool online_call::may_begin_run() const
{
    return this->services.stop.admits(this->deadline);
}

void online_call::record_cut_off()
{
    ++this->services.stop.cut_off;
    this->services.counters.add("requests_cut_off_total");
    log_event(
        event::request_cut_off,
        {{"request", this->parameters.attempt_id},
         {"runs", this->runs},
         {"begun", this->head_sent ? 1 : 0},
         {"age_ms", (read_monotonic_clock() - this->arrived).count() / 1000}});
}

void online_call::close_run()
{
    this->slot_request_cancellation.cancel();
    this->send_cancellation.cancel();
    if (this->stream != nullptr)
    {
        this->stream->close();
    }
    this->wake();
}

bool online_call::is_aborted() const
{
    return this->caller_disconnected || this->deadline_reached ||
           this->stop_deadline_reached;
}

serving::access_decision online_call::check_access() const
{
    const std::shared_ptr<const serving::serving_configuration> current =
        this->services.fleet.configuration();
    if (!current->organisations.is_active())
    {
        return {};
    }
    // A search among the routes costs more than all else here.
    const serving::serving_route* found =
        current == this->configuration
            ? this->route
            : serving::find_route(
                  *current,
                  this->parameters.host,
                  platform::path_of(this->exchange.head().target));
    return serving::check_access(
        *current,
        found != nullptr && found->is_public,
        this->key ? *this->key
                  : platform::parse_caller_key(this->exchange.head().headers),
        this->services.fleet.keys_are_current());
}

bool online_call::has_access() const
{
    if (this->runs > 0 || this->head_sent)
    {
        return true;
    }
    const serving::access_decision decision = this->check_access();
    return decision.outcome == serving::access_outcome::granted &&
           decision.organisation == this->organisation;
}

slot_requirements online_call::make_slot_requirements() const
{
    const std::uint64_t draw = hash_bytes(this->parameters.attempt_id);
    slot_requirements requirements;
    requirements.kind = serving::work_kind::online;
    requirements.service = serving::choose_service(*this->route, draw);
    requirements.target_deadline = this->arrived + this->route->target_latency;
    requirements.deadline = this->deadline;
    requirements.request_digest = this->digest;
    requirements.parts = this->parts;
    requirements.repeatable = this->may_run_again();
    requirements.organisation = this->organisation;
    requirements.priority = serving::choose_priority(
        *this->configuration, *this->route, this->organisation);
    requirements.charged = this->runs > 0;
    requirements.excluded = this->failed_runners;
    requirements.tokens =
        this->parameters.prompt_tokens + this->parameters.max_output_tokens;
    requirements.still_hold = [this, draw]
    {
        return this->has_access() &&
               serving::may_keep_waiting(
                   *this->route,
                   serving::find_route(
                       *this->services.fleet.configuration(),
                       this->parameters.host,
                       platform::path_of(this->exchange.head().target)),
                   draw);
    };
    return requirements;
}

net::http_request online_call::make_request(const std::string& runner) const
{
    platform::runner_parameters sent_parameters;
    sent_parameters.runner_id = runner;
    sent_parameters.time_left = this->deadline - read_monotonic_clock();
    sent_parameters.last_event_id = this->events.last_id();
    if (!this->organisation.empty() ||
        this->services.fleet.configuration()->organisations.is_active())
    {
        sent_parameters.organisation = this->organisation;
    }
    net::http_request request;
    request.method = this->exchange.head().method;
    request.target = this->exchange.head().target;
    request.headers = platform::make_runner_headers(
        this->exchange.head().headers, sent_parameters);
    request.shared_body = this->body;
    return request;
}

void online_call::release(
    const slot_result& slot,
    serving::slot_outcome outcome,
    serving::crash_stage stage)
{
    this->services.slots.release(
        slot.id,
        this->is_aborted() ? serving::slot_outcome::cancelled : outcome,
        stage);
}

asio::awaitable<online_call::step> online_call::attempt()
{
    // Drops what is left of a whole response that was not forwarded.
    this->unread.set(this->exchange.unsent_bytes());
    if (!this->update_route())
    {
        co_await this->reject_without_route();
        co_return step::done;
    }
    if (!this->may_begin_run())
    {
        co_await this->refuse(duration::zero(), reason::draining);
        co_return step::done;
    }
    if (this->runs == 0 && !this->head_sent)
    {
        serving::access_decision decision = this->check_access();
        if (decision.outcome != serving::access_outcome::granted)
        {
            co_await this->refuse_access(decision);
            co_return step::done;
        }
        this->organisation = std::move(decision.organisation);
    }
    slot_requirements requirements = this->make_slot_requirements();
    if (const std::int64_t capacity = serving::find_token_capacity(
            *this->configuration, requirements.service);
        capacity > 0 && requirements.tokens > capacity)
    {
        co_await this->refuse_for_memory(requirements.tokens, capacity);
        co_return step::done;
    }
    const slot_result slot = co_await this->services.slots.acquire(
        std::move(requirements), this->slot_request_cancellation);
    if (slot.kind == slot_result::result_kind::outdated)
    {
        co_return step::retry;
    }
    if (slot.kind == slot_result::result_kind::refused)
    {
        this->refused_slot = slot.id.number;
        co_await this->refuse(
            slot.retry_after,
            slot.direct ? reason::no_runner : reason::queue_time);
        co_return step::done;
    }
    if (slot.kind == slot_result::result_kind::over_quota)
    {
        this->refused_slot = slot.id.number;
        co_await this->refuse(slot.retry_after, reason::over_quota);
        co_return step::done;
    }
    if (slot.kind == slot_result::result_kind::quarantined)
    {
        log_event(
            event::request_quarantined,
            {{"request", this->parameters.attempt_id},
             {"fingerprint", this->digest}});
        this->services.counters.add("requests_quarantined_total");
        co_await this->refuse(slot.retry_after, reason::quarantined);
        co_return step::done;
    }
    if (slot.kind == slot_result::result_kind::cancelled)
    {
        // A stop of this node also cancels the request for a slot; the next
        // attempt then refuses the request.
        this->deadline_reached = this->deadline_reached ||
                                 (!this->is_aborted() && this->may_begin_run());
        co_return step::retry;
    }
    // A key may have been revoked, or the information about keys may have
    // become too old, while the request waited.
    if (!this->may_begin_run() || !this->has_access())
    {
        this->release(slot, serving::slot_outcome::unused);
        co_return step::retry;
    }
    log_event(
        event::request_placed,
        {{"request", this->parameters.attempt_id},
         {"runner", slot.runner},
         {"slot", slot.id.number},
         {"coordinator", slot.coordinator},
         {"waited_ms", (read_monotonic_clock() - this->arrived).count() / 1000},
         {"direct", slot.direct ? 1 : 0}});
    const bool may_repeat =
        this->may_run_again() && this->runs + 1 < this->route->max_attempts;
    const duration left = this->deadline - read_monotonic_clock();
    const duration head_limit =
        may_repeat ? std::min<duration>(left, repeatable_head_limit) : left;
    const serving::runner_entry* entry =
        this->services.fleet.runners().find(slot.runner);
    this->runner_started_ms = entry == nullptr ? 0 : entry->started_ms;
    runner_outcome outcome = co_await this->services.runners.send(
        slot.runner,
        this->make_request(slot.runner),
        head_limit,
        this->send_cancellation);
    this->services.slots.note_load(slot.id, outcome.load);
    if (outcome.delivery != delivery_outcome::responding)
    {
        const serving::slot_outcome ended = co_await this->classify_end(
            slot.runner, to_slot_outcome(outcome), false);
        this->release(slot, ended, serving::crash_stage::before_response);
        co_return co_await this->handle_failure(slot.runner, outcome, ended);
    }
    ++this->runs;
    this->release_body();
    this->stream = std::move(outcome.stream);
    if (this->is_aborted())
    {
        this->stream->close();
    }
    co_return co_await this->forward_response(slot);
}

asio::awaitable<online_call::step> online_call::handle_failure(
    const std::string& runner,
    const runner_outcome& outcome,
    serving::slot_outcome ended)
{
    this->failed_runners.push_back(runner);
    this->log_failed_attempt(runner, ended, outcome.failure);
    if (outcome.delivery == delivery_outcome::unknown)
    {
        ++this->runs;
        if (this->is_aborted())
        {
            co_return step::retry;
        }
        if (this->may_run_again() && this->runs < this->route->max_attempts)
        {
            this->services.counters.count_retry(reason::runner_unreachable);
            co_return step::retry;
        }
        co_await this->fail(status_bad_gateway, reason::outcome_unknown);
        co_return step::done;
    }
    ++this->refusals;
    if (this->refusals >= max_refusals && !this->is_aborted())
    {
        co_await this->refuse(no_runner_retry, reason::runner_refused);
        co_return step::done;
    }
    this->services.counters.count_retry(reason::runner_refused);
    co_return step::retry;
}

void online_call::log_failed_attempt(
    const std::string& runner,
    serving::slot_outcome outcome,
    const std::string& failure) const
{
    log_event(
        event::attempt_failed,
        {{"request", this->parameters.attempt_id},
         {"runner", runner},
         {"outcome",
          std::string(find_name(serving::slot_outcome_names, outcome))},
         {"fingerprint", this->digest},
         {"parts", serving::to_text(this->parts)},
         {"last_event", this->events.last_id()},
         {"error", failure}});
}

asio::awaitable<online_call::step>
online_call::forward_response(const slot_result& slot)
{
    const int status = this->stream->head().status;
    const bool is_stream = platform::is_event_stream(this->stream->head());
    if (this->head_sent && !(is_stream && status == status_ok))
    {
        // The caller is in the middle of a stream, so that no other response
        // can be forwarded.
        std::string failure =
            "expected a stream that continues, found status " +
            std::to_string(status) + (is_stream ? "" : " and no stream");
        co_return co_await this->end_broken_run(
            slot,
            status >= status_failed ? serving::slot_outcome::failed
                                    : serving::slot_outcome::rejected,
            std::move(failure));
    }
    if (is_stream)
    {
        co_return co_await this->forward_events(slot);
    }
    co_return co_await this->forward_whole_response(slot);
}

bool online_call::may_resume() const
{
    // Without an id of the last event, a run would begin anew.
    const bool is_resumable =
        !this->has_forwarded_event || !this->events.last_id().empty();
    return is_resumable && this->route->resumable && this->may_run_again() &&
           this->runs < this->route->max_attempts;
}

asio::awaitable<online_call::step> online_call::end_broken_run(
    const slot_result& slot, serving::slot_outcome outcome, std::string failure)
{
    this->stream->close();
    this->stream.reset();
    this->release(slot, outcome);
    this->failed_runners.push_back(slot.runner);
    this->log_failed_attempt(slot.runner, outcome, failure);
    if (this->is_aborted())
    {
        co_return step::retry;
    }
    if (this->may_resume())
    {
        this->services.counters.count_retry(reason::stream_broken);
        co_return step::retry;
    }
    co_await this->fail(status_bad_gateway, reason::stream_broken);
    co_return step::done;
}

void online_call::record_first_piece()
{
    this->services.counters.observe(
        "first_piece", read_monotonic_clock() - this->arrived);
}

serving::closed_run online_call::describe_closed_run(
    const std::string& runner, bool has_event) const
{
    const serving::runner_directory& directory = this->services.fleet.runners();
    const serving::runner_entry* entry = directory.find(runner);
    serving::closed_run closed;
    closed.has_event = has_event;
    closed.was_ready = directory.may_send(runner);
    closed.same_process =
        entry != nullptr && entry->started_ms == this->runner_started_ms;
    closed.ended_here = this->is_aborted();
    return closed;
}

asio::awaitable<serving::slot_outcome> online_call::classify_end(
    std::string runner, serving::slot_outcome outcome, bool has_event)
{
    if (outcome != serving::slot_outcome::crashed)
    {
        co_return outcome;
    }
    if (!serving::is_crash_evidence(
            this->describe_closed_run(runner, has_event)))
    {
        co_return serving::slot_outcome::broken;
    }
    const serving::runner_probe probe =
        co_await this->services.runners.probe(runner);
    // The runner's entry may have changed during the probe.
    serving::closed_run closed = this->describe_closed_run(runner, has_event);
    closed.probe = probe;
    co_return serving::is_crash_evidence(closed)
        ? serving::slot_outcome::crashed
        : serving::slot_outcome::broken;
}

result<void> online_call::check_end() const
{
    if (this->events.unfinished_bytes() > 0)
    {
        return make_error(
            error_kind::unavailable,
            "stream: expected the rest of an event, found the end after " +
                std::to_string(this->events.unfinished_bytes()) +
                " bytes of it");
    }
    const bool needs_event =
        this->has_forwarded_event || this->parameters.last_event_id.empty();
    if (needs_event && !this->events.run_has_event())
    {
        return make_error(
            error_kind::unavailable,
            "stream: expected an event after \"" + this->events.last_id() +
                "\", found the end");
    }
    return boost::outcome_v2::success();
}

result<std::string> online_call::split_events(const std::string& piece)
{
    const response_size_limits& limits = this->services.limits;
    // Checked before the piece is split, because events that were split are
    // forwarded to the caller.
    if (this->events.unfinished_bytes() > limits.event_bytes ||
        this->streamed_bytes > limits.stream_bytes)
    {
        return make_error(
            error_kind::malformed,
            "stream: expected at most " + std::to_string(limits.event_bytes) +
                " bytes in an event and " +
                std::to_string(limits.stream_bytes) + " in all, found " +
                std::to_string(this->events.unfinished_bytes()) + " and " +
                std::to_string(this->streamed_bytes));
    }
    this->streamed_bytes += piece.size();
    std::optional<std::string> complete = this->events.cut_and_track_id(piece);
    if (!complete)
    {
        return make_error(
            error_kind::malformed,
            "stream: expected the event after \"" + this->events.last_id() +
                "\", found another one");
    }
    return std::move(*complete);
}

asio::awaitable<online_call::step>
online_call::forward_events(const slot_result& slot)
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
            this->caller_disconnected = true;
        }
        this->record_first_piece();
    }
    bool has_event = false;
    this->events.begin_run();
    while (!this->is_aborted())
    {
        if (!this->services.memory->budget.may_read(
                this->exchange.unsent_bytes()))
        {
            co_await this->pause_reading(slot);
            continue;
        }
        const duration left = this->deadline - read_monotonic_clock();
        const result<std::string> piece = co_await this->stream->read_some(
            this->may_resume()
                ? std::min<duration>(left, resumable_silence_limit)
                : left);
        if (this->is_aborted())
        {
            break;
        }
        const bool ended = piece && piece.value().empty();
        result<std::string> complete_events = piece;
        if (ended)
        {
            if (const result<void> whole = this->check_end(); !whole)
            {
                complete_events = whole.error();
            }
        }
        else if (piece)
        {
            complete_events = this->split_events(piece.value());
        }
        if (!complete_events)
        {
            std::string failure = complete_events.error().text;
            const serving::slot_outcome outcome = co_await this->classify_end(
                slot.runner,
                to_slot_outcome(complete_events.error()),
                has_event);
            co_return co_await this->end_broken_run(
                slot, outcome, std::move(failure));
        }
        this->services.slots.note_progress(slot.id);
        if (!complete_events.value().empty() && !std::exchange(has_event, true))
        {
            this->services.slots.note_first_event(slot.id);
            this->has_forwarded_event = true;
        }
        if (!complete_events.value().empty())
        {
            if (!this->exchange.send_chunk(complete_events.value()))
            {
                this->caller_disconnected = true;
                break;
            }
            this->unread.set(this->exchange.unsent_bytes());
        }
        if (ended)
        {
            co_return co_await this->complete_stream(slot, has_event);
        }
    }
    this->stream->close();
    this->stream.reset();
    this->release(slot, serving::slot_outcome::cancelled);
    co_return step::retry;
}

asio::awaitable<online_call::step>
online_call::complete_stream(const slot_result& slot, bool has_event)
{
    this->release(
        slot,
        has_event ? serving::slot_outcome::completed
                  : serving::slot_outcome::rejected);
    this->stream.reset();
    if (this->exchange.unsent_bytes() > 0)
    {
        this->deadline =
            std::max(this->deadline, read_monotonic_clock()) + delivery_limit;
        this->start_timer();
        co_await this->await_delivery();
    }
    if (this->is_aborted())
    {
        co_return step::retry;
    }
    this->services.counters.add("requests_completed_total");
    log_event(
        event::request_completed,
        {{"request", this->parameters.attempt_id},
         {"runner", slot.runner},
         {"ms", (read_monotonic_clock() - this->arrived).count() / 1000}});
    co_await this->exchange.end_stream();
    co_return step::done;
}

asio::awaitable<void> online_call::pause_reading(const slot_result& slot)
{
    if (!std::exchange(this->has_paused, true))
    {
        this->services.counters.add("responses_paused_total");
        log_event(
            event::response_reading_paused,
            {{"request", this->parameters.attempt_id},
             {"unread_bytes", this->exchange.unsent_bytes()},
             {"all_unread_bytes",
              this->services.memory->budget.unread_bytes()}});
    }
    const pause_entry entry(this->services.memory, this->progress);
    co_await this->await_progress(paused_progress_period);
    // A runner whose response is not read cannot show progress, and must not
    // be reported as silent.
    this->services.slots.note_progress(slot.id);
}

asio::awaitable<void> online_call::await_delivery()
{
    while (this->exchange.unsent_bytes() > 0 && !this->is_aborted())
    {
        co_await this->await_progress(delivery_limit);
    }
}

asio::awaitable<void> online_call::await_progress(duration limit)
{
    this->progress.expires_after(limit);
    co_await this->progress.async_wait(asio::as_tuple(asio::use_awaitable));
}

void online_call::wake()
{
    this->progress.cancel();
}

void online_call::on_delivery_progress(bool is_open)
{
    this->unread.set(this->exchange.unsent_bytes());
    if (!is_open)
    {
        this->caller_disconnected = true;
        this->close_run();
    }
    this->wake();
}

void online_call::release_body()
{
    if (!this->may_run_again() || this->runs >= this->route->max_attempts)
    {
        this->body.reset();
        this->body_memory.release_body();
    }
}

asio::awaitable<online_call::step>
online_call::forward_whole_response(const slot_result& slot)
{
    net::http_response response;
    response.status = this->stream->head().status;
    response.headers =
        platform::make_caller_headers(this->stream->head().headers);
    std::function<void(std::size_t)> note_progress =
        [this, &slot](std::size_t held)
    {
        this->services.slots.note_progress(slot.id);
        this->unread.set(held);
    };
    result<std::string> whole = co_await net::read_whole(
        *this->stream,
        this->deadline,
        this->services.limits.body_bytes,
        std::move(note_progress));
    this->stream.reset();
    if (this->is_aborted())
    {
        this->release(slot, serving::slot_outcome::cancelled);
        co_return step::retry;
    }
    if (!whole)
    {
        const serving::slot_outcome ended = co_await this->classify_end(
            slot.runner, to_slot_outcome(whole.error()), false);
        this->release(slot, ended);
        runner_outcome broken_response;
        broken_response.delivery = delivery_outcome::unknown;
        broken_response.failure = whole.error().text;
        --this->runs;
        co_return co_await this->handle_failure(
            slot.runner, broken_response, ended);
    }
    response.body = std::move(whole.value());
    const bool failed = response.status >= status_failed &&
                        response.status != status_gateway_timeout;
    serving::slot_outcome outcome = serving::slot_outcome::completed;
    if (response.status >= status_first_redirection)
    {
        outcome = failed ? serving::slot_outcome::failed
                         : serving::slot_outcome::rejected;
    }
    this->release(slot, outcome);
    if (failed && this->may_run_again() &&
        this->runs < this->route->max_attempts)
    {
        this->failed_runners.push_back(slot.runner);
        this->log_failed_attempt(
            slot.runner,
            serving::slot_outcome::failed,
            "status " + std::to_string(response.status));
        this->services.counters.count_retry(reason::runner_failed);
        co_return step::retry;
    }
    this->record_first_piece();
    this->services.counters.add("requests_completed_total");
    log_event(
        event::request_completed,
        {{"request", this->parameters.attempt_id},
         {"runner", slot.runner},
         {"status", response.status}});
    co_await this->exchange.respond(std::move(response));
    co_return step::done;
}

asio::awaitable<void> online_call::finish_aborted()
{
    if (this->caller_disconnected)
    {
        this->services.counters.add("requests_abandoned_total");
        log_event(
            event::request_abandoned,
            {{"request", this->parameters.attempt_id}});
        co_return;
    }
    if (this->stop_deadline_reached)
    {
        if (this->runs > 0 || this->head_sent)
        {
            this->record_cut_off();
        }
        co_await this->refuse(duration::zero(), reason::draining);
        co_return;
    }
    if (this->runs == 0)
    {
        co_await this->refuse(duration::zero(), reason::deadline_passed);
        co_return;
    }
    co_await this->fail(status_gateway_timeout, reason::deadline_passed);
}

asio::awaitable<void> online_call::reject_without_route()
{
    if (this->head_sent || this->runs > 0)
    {
        co_await this->fail(status_bad_gateway, reason::unknown_route);
        co_return;
    }
    this->services.counters.count_refusal(reason::unknown_route);
    log_event(
        event::request_refused,
        {{"request", this->parameters.attempt_id},
         {"reason", std::string(name_of(reason::unknown_route))},
         {"revision", this->services.fleet.configuration()->version}});
    co_await this->exchange.respond(net::make_text_response(
        status_not_found, "no route for this host and path"));
}

asio::awaitable<void> online_call::refuse(duration retry_after, reason why)
{
    if (this->head_sent || this->runs > 0)
    {
        co_await this->fail(status_bad_gateway, why);
        co_return;
    }
    this->services.counters.count_refusal(why);
    this->services.counters.count_organisation_refusal(this->organisation, why);
    this->services.stop.refused += why == reason::draining ? 1 : 0;
    if (why == reason::over_quota)
    {
        log_event(
            event::request_refused,
            {{"request", this->parameters.attempt_id},
             {"reason", std::string(name_of(why))},
             {"organisation", this->organisation},
             {"slot", this->refused_slot},
             {"retry_after_ms", retry_after.count() / 1000}});
        co_await this->exchange.respond(
            platform::make_quota_refusal(retry_after, name_of(why)));
        co_return;
    }
    log_event(
        event::request_refused,
        {{"request", this->parameters.attempt_id},
         {"reason", std::string(name_of(why))},
         {"slot", this->refused_slot},
         {"retry_after_ms", retry_after.count() / 1000},
         {"waited_ms",
          (read_monotonic_clock() - this->arrived).count() / 1000}});
    co_await this->exchange.respond(
        platform::make_refusal(retry_after, name_of(why)));
}

asio::awaitable<void>
online_call::refuse_access(const serving::access_decision& decision)
{
    co_await node::refuse_access(
        this->exchange, this->services.counters, this->route->name, decision);
}

asio::awaitable<void>
online_call::refuse_for_memory(std::int64_t tokens, std::int64_t capacity)
{
    if (this->head_sent || this->runs > 0)
    {
        co_await this->fail(status_bad_gateway, reason::too_many_tokens);
        co_return;
    }
    this->services.counters.count_refusal(reason::too_many_tokens);
    log_event(
        event::request_refused,
        {{"request", this->parameters.attempt_id},
         {"reason", std::string(name_of(reason::too_many_tokens))},
         {"tokens", tokens},
         {"token_capacity", capacity}});
    co_await this->exchange.respond(platform::make_refusal(
        duration::zero(), name_of(reason::too_many_tokens)));
}

asio::awaitable<void> online_call::fail(int status, reason why)
{
    log_event(
        event::request_failed,
        {{"request", this->parameters.attempt_id},
         {"reason", std::string(name_of(why))},
         {"runs", this->runs},
         {"begun", this->head_sent ? 1 : 0}});
    this->services.counters.add("requests_failed_total");
    // If the response has begun, the connection is closed before the stream is
    // complete, so that the caller detects the failure. The events that a run
    // has produced are delivered before.
    if (this->head_sent)
    {
        co_await this->await_delivery();
    }
    else
    {
        co_await this->exchange.respond(
            net::make_text_response(status, std::string(name_of(why))));
    }
}

} // namespace chicory::node
