#include "servers/node/item_execution.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int status_ok = 200;
constexpr int status_first_redirection = 300;
constexpr int status_failed = 500;
constexpr int status_impossible = 422;
/// Run time of one token, by the engines' data sheets.
constexpr std::chrono::microseconds token_time(3400);
constexpr std::chrono::milliseconds min_expected_work(30);
/// Maximum time until a response begins, and maximum silence within a response.
/// After either, the item continues at another runner.
constexpr std::chrono::milliseconds head_limit(2500);
constexpr std::chrono::milliseconds silence_limit(1500);
/// Maximum time without a complete event. After it, the item continues at
/// another runner even if bytes arrive. Slow runners send about one event a
/// second.
constexpr std::chrono::seconds event_limit(6);
constexpr std::chrono::milliseconds retry_pause(50);
constexpr std::chrono::milliseconds no_route_pause(200);
/// Number of runners that an item avoids: the latest that failed it.
constexpr std::size_t max_avoided_runners = 2;
/// Number of runners that it avoids when they refuse it without being full.
constexpr std::size_t max_unsuitable_runners = 16;

} // namespace

item_execution::item_execution(
    asio::io_context& io,
    run_services shared_services,
    const platform::job_item& initial_item,
    std::string initial_job,
    std::string route_name,
    std::string initial_organisation,
    std::string initial_service,
    time_point initial_accepted_at,
    const std::vector<serving::item_piece>& saved,
    serving::item_holds& shared_holds,
    serving::item_key initial_key,
    place_hook may_wait)
    : context(io), services(shared_services), item(initial_item),
      job(std::move(initial_job)), route(std::move(route_name)),
      organisation(std::move(initial_organisation)), holds(shared_holds),
      key(std::move(initial_key)), may_wait_refused(std::move(may_wait)),
      needed{
          std::move(initial_service),
          platform::parse_expected_weights(initial_item.headers),
          initial_item.tokens},
      accepted_at(initial_accepted_at),
      output_tokens(platform::parse_caller_parameters(initial_item.headers)
                        .max_output_tokens)
{
    this->text.restore(saved);
    if (!saved.empty())
    {
        this->worked = saved.back().worked;
    }
}

void item_execution::stop()
{
    this->stopped = true;
    if (this->pause_timer != nullptr)
    {
        this->pause_timer->cancel();
    }
    this->slot_wait_cancellation.cancel();
    this->close_run();
}

void item_execution::preempt()
{
    this->preempted = true;
    this->close_run();
}

void item_execution::close_run()
{
    if (this->send_cancellation != nullptr)
    {
        this->send_cancellation->cancel();
    }
    if (this->stream != nullptr)
    {
        this->stream->close();
    }
}

bool item_execution::is_waiting() const
{
    return !this->has_slot && !this->is_held;
}

void item_execution::begin_trial(const serving::item_requirement& held)
{
    this->trial = held;
    this->needed = held;
}

bool item_execution::was_on_trial() const
{
    return this->held_after_trial;
}

serving::hold_reason item_execution::held_for() const
{
    return this->hold_cause;
}

bool item_execution::is_uncertain() const
{
    return this->trial || this->refusals > 0;
}

void item_execution::forget_refusals()
{
    this->refusals = 0;
}

const serving::item_requirement& item_execution::requirement() const
{
    return this->needed;
}

const serving::item_progress& item_execution::progress() const
{
    return this->text;
}

std::optional<serving::item_piece> item_execution::unsaved() const
{
    std::optional<serving::item_piece> piece = this->text.unsaved();
    if (piece)
    {
        piece->worked = this->worked;
        if (this->run_started)
        {
            piece->worked += read_monotonic_clock() - *this->run_started;
        }
    }
    return piece;
}

void item_execution::on_saved(const serving::item_piece& piece)
{
    this->text.on_saved(piece);
}

duration item_execution::expected_work() const
{
    const duration whole = duration(token_time) * this->output_tokens;
    return std::max<duration>(min_expected_work, whole - this->worked);
}

asio::awaitable<void> item_execution::pause(duration length)
{
    asio::steady_timer timer(this->context);
    timer.expires_after(length);
    this->pause_timer = &timer;
    co_await timer.async_wait(as_result);
    this->pause_timer = nullptr;
}

asio::awaitable<item_outcome> item_execution::execute()
{
    this->is_held = false;
    if (!this->item.defect.empty())
    {
        // Earlier versions accepted it, and no runner may receive it.
        log_event(
            event::item_interrupted,
            {{"job", this->job},
             {"item", this->item.id},
             {"runner", ""},
             {"error", this->item.defect}});
        co_return item_outcome::impossible;
    }
    while (!this->stopped)
    {
        const step next = co_await this->run_once();
        switch (next)
        {
        case step::completed:
            co_return item_outcome::completed;
        case step::failed:
            co_return item_outcome::failed;
        case step::impossible:
            co_return item_outcome::impossible;
        case step::held:
            this->is_held = true;
            this->held_after_trial = this->trial.has_value();
            this->trial.reset();
            co_return item_outcome::held;
        case step::retry:
            break;
        }
    }
    co_return item_outcome::stopped;
}

asio::awaitable<void> item_execution::pause_before_retry()
{
    const duration delay = serving::choose_item_pause(this->fruitless_runs);
    co_await this->pause(std::max<duration>(retry_pause, delay));
}

slot_requirements
item_execution::make_slot_requirements(const serving::serving_route& current)
{
    const std::uint64_t draw = hash_bytes(this->item.id);
    slot_requirements requirements;
    requirements.kind = serving::work_kind::batch;
    requirements.service = this->needed.service;
    requirements.target_deadline =
        this->accepted_at + current.completion_target;
    requirements.deadline = this->accepted_at + current.retention;
    requirements.expected_work = this->expected_work();
    requirements.repeatable = true;
    requirements.priority = serving::choose_priority(
        *this->services.fleet.configuration(), current, this->organisation);
    requirements.excluded = this->avoided_runners;
    requirements.tokens = this->item.tokens;
    requirements.still_hold = [this, current, draw]
    {
        return serving::may_keep_waiting(
                   current,
                   this->services.fleet.find_route(this->route).get(),
                   draw) &&
               !this->holds.find_reason(this->needed, this->trial.has_value());
    };
    return requirements;
}

std::optional<std::string> item_execution::find_shown_organisation() const
{
    if (this->organisation.empty() &&
        !this->services.fleet.configuration()->organisations.is_active())
    {
        return std::nullopt;
    }
    return this->organisation;
}

void item_execution::update_requirement(const serving::serving_route& current)
{
    this->needed.service =
        serving::choose_service(current, hash_bytes(this->item.id));
    if (this->trial && *this->trial != this->needed)
    {
        this->holds.remove(read_monotonic_clock(), *this->trial, this->key);
        this->trial.reset();
    }
}

serving::slot_outcome
item_execution::find_slot_outcome(const runner_outcome& outcome) const
{
    if (this->stopped || this->preempted)
    {
        return serving::slot_outcome::cancelled;
    }
    // The runner is blamed only for the item's first refusal: an item that
    // other runners refused too is no evidence against this one.
    const bool is_blameless =
        outcome.unsuitable &&
        (this->is_uncertain() || this->holds.is_uncertain(this->needed));
    return is_blameless ? serving::slot_outcome::unsuitable
                        : to_slot_outcome(outcome);
}

void item_execution::record_acceptance()
{
    this->refusals = 0;
    this->trial.reset();
    this->holds.on_accepted(this->needed, this->key);
}

bool item_execution::record_refusal(serving::hold_reason reason)
{
    ++this->refusals;
    this->hold_cause = reason;
    return this->holds.on_refused(
               this->needed, this->key, reason, this->refusals) ||
           !this->may_wait_refused(this->needed.service);
}

asio::awaitable<item_execution::step> item_execution::run_once()
{
    const std::shared_ptr<const serving::serving_route> found_route =
        this->services.fleet.find_route(this->route);
    if (found_route == nullptr)
    {
        co_await this->pause(no_route_pause);
        co_return step::retry;
    }
    this->update_requirement(*found_route);
    if (const std::optional<serving::hold_reason> reason =
            this->holds.find_reason(this->needed, this->trial.has_value()))
    {
        this->hold_cause = *reason;
        co_return step::held;
    }
    slot_requirements requirements = this->make_slot_requirements(*found_route);
    const time_point target_deadline = requirements.target_deadline;
    const std::string host = found_route->host;
    const slot_result slot = co_await this->services.slots.acquire(
        std::move(requirements), this->slot_wait_cancellation);
    if (slot.kind == slot_result::result_kind::outdated)
    {
        co_return step::retry;
    }
    if (slot.kind != slot_result::result_kind::granted)
    {
        co_await this->pause(retry_pause);
        co_return step::retry;
    }
    if (this->stopped)
    {
        this->services.slots.release(slot.id, serving::slot_outcome::unused);
        co_return step::retry;
    }
    this->preempted = false;
    net::http_cancellation cancellation;
    this->send_cancellation = &cancellation;
    this->services.slots.set_preempt_hook(
        slot.id,
        [this]
        {
            this->preempt();
        });
    log_event(
        event::item_placed,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"slot", slot.id.number},
         {"coordinator", slot.coordinator},
         {"due_in_ms",
          (target_deadline - read_monotonic_clock()).count() / 1000},
         {"after", this->text.last_event_id()}});
    const time_point started = read_monotonic_clock();
    runner_outcome outcome = co_await this->services.runners.send(
        slot.runner,
        platform::make_item_request(
            this->item,
            host,
            slot.runner,
            this->text.last_event_id(),
            this->find_shown_organisation()),
        head_limit,
        cancellation);
    this->services.slots.note_load(slot.id, outcome.load);
    this->send_cancellation = nullptr;
    if (outcome.delivery != delivery_outcome::responding)
    {
        const bool ended_locally = this->stopped || this->preempted;
        this->services.slots.release(slot.id, this->find_slot_outcome(outcome));
        if (!ended_locally)
        {
            this->avoid_runner(
                slot.runner,
                outcome.unsuitable ? max_unsuitable_runners
                                   : max_avoided_runners);
            log_event(
                event::item_interrupted,
                {{"job", this->job},
                 {"item", this->item.id},
                 {"runner", slot.runner},
                 {"error", outcome.failure}});
            if (outcome.unsuitable && this->record_refusal(*outcome.unsuitable))
            {
                co_return step::held;
            }
            this->fruitless_runs += outcome.closed ? 1 : 0;
            co_await this->pause_before_retry();
        }
        co_return step::retry;
    }
    this->has_slot = true;
    this->run_started = started;
    const step next =
        co_await this->handle_response(slot, std::move(outcome.stream));
    this->has_slot = false;
    this->run_started.reset();
    this->worked += read_monotonic_clock() - started;
    co_return next;
}

asio::awaitable<item_execution::step> item_execution::handle_response(
    const slot_result& slot, std::unique_ptr<net::http_stream> response)
{
    const int status = response->head().status;
    if (status == status_ok && platform::is_event_stream(response->head()))
    {
        this->record_acceptance();
        this->stream = std::move(response);
        if (this->stopped || this->preempted)
        {
            this->stream->close();
        }
        co_return co_await this->read_text(slot);
    }
    // The runner is blamed only for the item's first failure: an item that also
    // failed at another runner is no evidence against this one.
    const bool is_doubtful =
        this->is_uncertain() || this->holds.is_uncertain(this->needed);
    const bool is_runner_failure = status >= status_failed &&
                                   !std::exchange(this->has_failed_run, true) &&
                                   (status == status_failed || !is_doubtful);
    serving::slot_outcome outcome = serving::slot_outcome::completed;
    if (is_runner_failure)
    {
        outcome = serving::slot_outcome::failed;
    }
    else if (status < status_first_redirection)
    {
        // A success without a stream has no text of an item. Like a failure, it
        // is evidence against the runner only if it is the item's first one.
        outcome = is_doubtful ? serving::slot_outcome::rejected
                              : serving::slot_outcome::broken;
    }
    this->services.slots.release(slot.id, outcome);
    if (status == status_impossible || status == status_failed)
    {
        this->record_acceptance();
        co_return status == status_failed ? step::failed : step::impossible;
    }
    log_event(
        event::item_interrupted,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"error",
          "expected a stream, found status " + std::to_string(status)}});
    this->avoid_runner(slot.runner, max_unsuitable_runners);
    ++this->fruitless_runs;
    if (this->record_refusal(serving::hold_reason::refused))
    {
        co_return step::held;
    }
    co_await this->pause_before_retry();
    co_return step::retry;
}

void item_execution::avoid_runner(
    const std::string& runner, std::size_t max_avoided)
{
    this->avoided_runners.push_back(runner);
    while (this->avoided_runners.size() > max_avoided)
    {
        this->avoided_runners.erase(this->avoided_runners.begin());
    }
}

result<void> item_execution::check_limits()
{
    const response_size_limits& limits = this->services.limits;
    const std::size_t partial_event_bytes = this->text.unfinished_bytes();
    const std::size_t text_bytes = this->text.text().size();
    if (partial_event_bytes <= limits.event_bytes &&
        text_bytes <= limits.item_text_bytes)
    {
        return boost::outcome_v2::success();
    }
    if (text_bytes > limits.item_text_bytes)
    {
        // No run that continues after a text of this length could complete.
        this->text.restart();
    }
    return make_error(
        error_kind::malformed,
        "item: expected at most " + std::to_string(limits.event_bytes) +
            " bytes in an event and " + std::to_string(limits.item_text_bytes) +
            " in all, found " + std::to_string(partial_event_bytes) + " and " +
            std::to_string(text_bytes));
}

asio::awaitable<item_execution::step>
item_execution::read_text(const slot_result& slot)
{
    this->text.begin_run();
    const std::string last_id_before = this->text.last_event_id();
    std::string failure;
    bool ended = false;
    bool closed = false;
    time_point last_event = read_monotonic_clock();
    while (failure.empty() && !ended)
    {
        const std::int64_t events_before = this->text.events();
        const result<std::string> piece =
            co_await this->stream->read_some(silence_limit);
        const time_point now = read_monotonic_clock();
        if (!piece)
        {
            failure = piece.error().text;
            closed = is_closed(piece.error());
        }
        else if (const result<void> checked = this->check_limits(); !checked)
        {
            failure = checked.error().text;
        }
        else if (!this->text.append(piece.value()))
        {
            failure = "expected the event that follows event \"" +
                      this->text.last_event_id() + "\", found another one";
        }
        if (this->text.events() > events_before)
        {
            last_event = now;
        }
        else if (failure.empty() && now - last_event > duration(event_limit))
        {
            failure = "expected a complete event within " +
                      std::to_string(event_limit.count()) +
                      " s, found only parts of one";
        }
        if (piece)
        {
            this->services.slots.note_progress(slot.id);
        }
        ended = piece && piece.value().empty();
    }
    if (failure.empty() && this->text.is_whole())
    {
        this->stream.reset();
        this->services.slots.release(slot.id, serving::slot_outcome::completed);
        co_return step::completed;
    }
    if (failure.empty() && this->text.unfinished_bytes() == 0)
    {
        // The run added nothing to the text and does not show that the text is
        // whole; a run from the beginning does.
        failure = "expected an event after event \"" +
                  this->text.last_event_id() + "\", found the end";
        this->text.restart();
    }
    this->stream->close();
    this->stream.reset();
    const bool ended_locally = this->stopped || this->preempted;
    this->services.slots.release(
        slot.id,
        ended_locally ? serving::slot_outcome::cancelled
                      : serving::slot_outcome::broken);
    this->services.counters.count_retry(
        ended_locally ? reason::yielded_to_online : reason::stream_broken);
    log_event(
        event::item_interrupted,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"after", this->text.last_event_id()},
         {"error", ended_locally ? "yielded" : failure}});
    if (this->text.last_event_id() != last_id_before)
    {
        this->fruitless_runs = 0;
    }
    else if (closed && !ended_locally)
    {
        ++this->fruitless_runs;
        co_await this->pause_before_retry();
    }
    co_return step::retry;
}

} // namespace chicory::node
