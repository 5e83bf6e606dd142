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
constexpr int status_failed = 500;
constexpr int status_impossible = 422;
/// Time for one token of a run, by the engines' data sheets.
constexpr std::chrono::microseconds token_time(3400);
constexpr std::chrono::milliseconds shortest_work(30);
/// Wait for the begin of an answer, and silence within one, after which an
/// item goes on at another runner.
constexpr std::chrono::milliseconds head_limit(2500);
constexpr std::chrono::milliseconds silence_limit(1500);
/// Time without a whole event after which the item goes on elsewhere, though
/// bytes come: slow runners make one each second or so.
constexpr std::chrono::seconds event_limit(6);
constexpr std::chrono::milliseconds retry_pause(50);
constexpr std::chrono::milliseconds no_route_pause(200);
/// Runners that an item avoids after they failed it, the latest ones.
constexpr std::size_t most_avoided = 2;

} // namespace

item_execution::item_execution(
    asio::io_context& io,
    run_services shared_services,
    const platform::job_item& its_item,
    std::string its_job,
    std::string route_name,
    time_point due_at,
    time_point given_up_at,
    const std::vector<serving::item_piece>& saved)
    : context(io), services(shared_services), item(its_item),
      job(std::move(its_job)), route(std::move(route_name)), due(due_at),
      gives_up_at(given_up_at),
      output_tokens(
          platform::parse_caller_parameters(its_item.headers).max_output_tokens)
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
    if (this->pausing != nullptr)
    {
        this->pausing->cancel();
    }
    this->waiting.cancel();
    this->close_run();
}

void item_execution::yield()
{
    this->yielding = true;
    this->close_run();
}

void item_execution::close_run()
{
    if (this->sending != nullptr)
    {
        this->sending->cancel();
    }
    if (this->stream != nullptr)
    {
        this->stream->close();
    }
}

bool item_execution::is_waiting() const
{
    return !this->has_slot;
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
        if (this->run_began)
        {
            piece->worked += read_monotonic_clock() - *this->run_began;
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
    return std::max<duration>(shortest_work, whole - this->worked);
}

asio::awaitable<void> item_execution::pause(duration length)
{
    asio::steady_timer timer(this->context);
    timer.expires_after(length);
    this->pausing = &timer;
    co_await timer.async_wait(as_result);
    this->pausing = nullptr;
}

asio::awaitable<item_end> item_execution::work()
{
    while (!this->stopped)
    {
        const step next = co_await this->run_once();
        switch (next)
        {
        case step::completed:
            co_return item_end::completed;
        case step::failed:
            co_return item_end::failed;
        case step::impossible:
            co_return item_end::impossible;
        case step::again:
            break;
        }
    }
    co_return item_end::stopped;
}

asio::awaitable<void> item_execution::pause_before_retry()
{
    const duration wanted = serving::choose_item_pause(this->closed_runs);
    co_await this->pause(std::max<duration>(retry_pause, wanted));
}

asio::awaitable<item_execution::step> item_execution::run_once()
{
    const std::shared_ptr<const serving::serving_route> found =
        this->services.fleet.find_route(this->route);
    if (found == nullptr)
    {
        co_await this->pause(no_route_pause);
        co_return step::again;
    }
    slot_requirements wish;
    wish.kind = serving::work_kind::batch;
    wish.service = serving::choose_service(*found, hash_bytes(this->item.id));
    wish.target_deadline = this->due;
    wish.deadline = this->gives_up_at;
    wish.expected_work = this->expected_work();
    wish.repeatable = true;
    wish.excluded = this->avoided;
    const std::string host = found->host;
    const slot_result slot =
        co_await this->services.slots.acquire(std::move(wish), this->waiting);
    if (slot.kind != slot_result::result_kind::granted)
    {
        co_await this->pause(retry_pause);
        co_return step::again;
    }
    if (this->stopped)
    {
        this->services.slots.release(slot.id, serving::slot_outcome::unused);
        co_return step::again;
    }
    this->yielding = false;
    net::http_cancellation cancellation;
    this->sending = &cancellation;
    this->services.slots.set_preempt_hook(
        slot.id,
        [this]
        {
            this->yield();
        });
    log_event(
        event::item_placed,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"slot", slot.id.number},
         {"coordinator", slot.coordinator},
         {"due_in_ms", (this->due - read_monotonic_clock()).count() / 1000},
         {"after", this->text.last_event_id()}});
    const time_point begun = read_monotonic_clock();
    runner_outcome outcome = co_await this->services.runners.send(
        slot.runner,
        platform::make_item_request(
            this->item, host, slot.runner, this->text.last_event_id()),
        head_limit,
        cancellation);
    this->sending = nullptr;
    if (outcome.delivery != delivery_outcome::responding)
    {
        const bool own_end = this->stopped || this->yielding;
        this->services.slots.release(
            slot.id,
            own_end ? serving::slot_outcome::cancelled
                    : to_slot_outcome(outcome));
        if (!own_end)
        {
            this->avoided.push_back(slot.runner);
            if (this->avoided.size() > most_avoided)
            {
                this->avoided.erase(this->avoided.begin());
            }
            log_event(
                event::item_interrupted,
                {{"job", this->job},
                 {"item", this->item.id},
                 {"runner", slot.runner},
                 {"error", outcome.failure}});
            this->closed_runs += outcome.closed ? 1 : 0;
            co_await this->pause_before_retry();
        }
        co_return step::again;
    }
    this->has_slot = true;
    this->run_began = begun;
    const step next =
        co_await this->take_answer(slot, std::move(outcome.stream));
    this->has_slot = false;
    this->run_began.reset();
    this->worked += read_monotonic_clock() - begun;
    co_return next;
}

asio::awaitable<item_execution::step> item_execution::take_answer(
    const slot_result& slot, std::unique_ptr<net::http_stream> answer)
{
    const int status = answer->head().status;
    if (status == status_ok && platform::is_event_stream(answer->head()))
    {
        this->stream = std::move(answer);
        if (this->stopped || this->yielding)
        {
            this->stream->close();
        }
        co_return co_await this->read_text(slot);
    }
    // An item that failed elsewhere too says nothing of this runner.
    const bool blames_runner =
        status >= status_failed && !std::exchange(this->has_failed, true);
    this->services.slots.release(
        slot.id,
        blames_runner ? serving::slot_outcome::failed
                      : serving::slot_outcome::completed);
    if (status == status_impossible)
    {
        co_return step::impossible;
    }
    if (status == status_failed)
    {
        co_return step::failed;
    }
    log_event(
        event::item_interrupted,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"error", "status " + std::to_string(status)}});
    co_await this->pause(retry_pause);
    co_return step::again;
}

result<void> item_execution::check_bounds()
{
    const response_size_limits& bounds = this->services.limits;
    const std::size_t unfinished = this->text.unfinished_bytes();
    const std::size_t taken = this->text.text().size();
    if (unfinished <= bounds.event_bytes && taken <= bounds.item_text_bytes)
    {
        return boost::outcome_v2::success();
    }
    if (taken > bounds.item_text_bytes)
    {
        // No run that goes on behind such a text could end.
        this->text.restart();
    }
    return make_error(
        error_kind::malformed,
        "item: expected at most " + std::to_string(bounds.event_bytes) +
            " bytes in an event and " + std::to_string(bounds.item_text_bytes) +
            " in all, found " + std::to_string(unfinished) + " and " +
            std::to_string(taken));
}

asio::awaitable<item_execution::step>
item_execution::read_text(const slot_result& slot)
{
    this->text.begin_run();
    const std::string before = this->text.last_event_id();
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
        else if (const result<void> bounded = this->check_bounds(); !bounded)
        {
            failure = bounded.error().text;
        }
        else if (!this->text.append(piece.value()))
        {
            failure =
                "an event does not follow event " + this->text.last_event_id();
        }
        if (this->text.events() > events_before)
        {
            last_event = now;
        }
        else if (failure.empty() && now - last_event > duration(event_limit))
        {
            failure = "bytes without a whole event for " +
                      std::to_string(event_limit.count()) + " s";
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
    this->stream->close();
    this->stream.reset();
    const bool own_end = this->stopped || this->yielding;
    this->services.slots.release(
        slot.id,
        own_end ? serving::slot_outcome::cancelled
                : serving::slot_outcome::broken);
    this->services.numbers.count_retry(
        own_end ? reason::yielded_to_online : reason::stream_broken);
    log_event(
        event::item_interrupted,
        {{"job", this->job},
         {"item", this->item.id},
         {"runner", slot.runner},
         {"after", this->text.last_event_id()},
         {"error", own_end ? "yielded" : failure}});
    if (this->text.last_event_id() != before)
    {
        this->closed_runs = 0;
    }
    else if (closed && !own_end)
    {
        ++this->closed_runs;
        co_await this->pause_before_retry();
    }
    co_return step::again;
}

} // namespace chicory::node
