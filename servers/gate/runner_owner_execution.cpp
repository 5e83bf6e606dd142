// Calls of runner_owner to the backend servers: runs, resumes, cancellations
// and load reports.

#include "servers/gate/runner_owner.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds tick_interval(50);
constexpr std::int64_t ticks_per_report = 10;
/// Maximum age of a load report.
constexpr std::chrono::seconds max_report_age(2);
/// Consecutive load reports that fail before a runner counts as unreachable.
constexpr int max_failed_reports = 3;
/// Load reports of a leaving runner between two leaving notices to the other
/// gates.
constexpr std::int64_t reports_per_leaving_notice = 40;
/// Longest wait for the next bytes of an event stream, or of any other response
/// below, before the response is resumed over a new connection.
constexpr std::chrono::seconds event_stream_timeout(3);
constexpr std::chrono::seconds document_timeout(20);
constexpr std::chrono::seconds resume_timeout(20);
constexpr int max_stream_resumes = 3;
/// Longest wait for the head of a response before it is requested again over a
/// new connection. Model engines support this, while plain services may not.
constexpr std::chrono::seconds max_head_wait(5);
constexpr std::size_t max_completed_runs = 2000;

bool is_not_run(const net::http_response& head)
{
    const auto mark = head.headers.find("x-not-run");
    return head.status == 503 && mark != head.headers.end() &&
           mark->second == "true";
}

std::string find_type(const net::http_response& head)
{
    const auto type = head.headers.find("content-type");
    return type == head.headers.end() ? std::string() : type->second;
}

/// Returns true when a failure proves that no process listens on the server's
/// port.
bool is_refused(const net::open_outcome& outcome)
{
    return outcome.stream == nullptr &&
           outcome.sent == net::send_state::not_sent &&
           outcome.failure.kind == error_kind::unavailable;
}

} // namespace

asio::awaitable<void> runner_owner::execute(run_pointer started)
{
    backend::run_request request;
    request.run_id = started->id;
    request.path = started->request.path;
    request.content_type = started->request.content_type;
    request.body = started->request.body;
    const duration limit = this->get_head_timeout(started->request);
    net::open_outcome outcome =
        co_await this->servers.run(started->server, std::move(request), limit);
    if (started->runner_lost)
    {
        co_return;
    }
    if (started->cancelled)
    {
        started->send_failure(
            wire::attempt_outcome::cancelled, started->cancel_reason);
        this->finish(started, online::run_result::cancelled);
        co_return;
    }
    if (outcome.stream == nullptr && outcome.sent == net::send_state::not_sent)
    {
        started->send_failure(
            wire::attempt_outcome::not_sent, reason::runner_unreachable);
        this->finish(started, online::run_result::failed);
        if (is_refused(outcome))
        {
            this->on_runner_died(started->request.runner, true);
        }
        co_return;
    }
    if (outcome.stream != nullptr && is_not_run(outcome.stream->head()))
    {
        started->send_failure(
            wire::attempt_outcome::refused_not_run, reason::runner_refused);
        this->finish(started, online::run_result::refused);
        co_return;
    }
    started->stream = std::move(outcome.stream);
    const online::run_result result = co_await this->forward(started);
    this->finish(started, result);
}

duration runner_owner::get_head_timeout(const wire::dispatch& request) const
{
    const duration time_left(request.time_left_us);
    const configuration::pool* pool = this->fleet.find_pool(request.pool);
    const bool is_engine =
        pool != nullptr && pool->kind == configuration::pool_kind::model_engine;
    return is_engine ? std::min<duration>(time_left, max_head_wait) : time_left;
}

asio::awaitable<void> runner_owner::fetch(run_pointer resumed)
{
    const online::run_result result = co_await this->forward(resumed);
    this->finish(resumed, result);
}

asio::awaitable<online::run_result> runner_owner::forward(run_pointer started)
{
    while (!started->runner_lost)
    {
        if (started->stream == nullptr)
        {
            const bool opened = co_await this->reopen_stream(started);
            if (!opened)
            {
                break;
            }
        }
        const net::http_response head = started->stream->head();
        const std::string type = find_type(head);
        if (!started->head_sent)
        {
            started->send_head(head.status, type);
        }
        const duration timeout = type.starts_with("text/event-stream")
                                     ? duration(event_stream_timeout)
                                     : duration(document_timeout);
        result<std::string> piece =
            co_await started->stream->read_some(timeout);
        if (started->runner_lost || started->cancelled)
        {
            break;
        }
        if (!piece)
        {
            started->stream.reset();
            continue;
        }
        if (piece.value().empty())
        {
            started->send_end();
            co_return online::run_result::completed;
        }
        const auto owned = this->runners.find(started->request.runner);
        if (owned != this->runners.end())
        {
            owned->second.queue.first_byte(started->id, read_monotonic_clock());
        }
        started->last_progress = read_monotonic_clock();
        started->send_bytes(std::move(piece.value()));
    }
    if (started->runner_lost)
    {
        co_return online::run_result::failed;
    }
    if (started->cancelled)
    {
        started->send_failure(
            wire::attempt_outcome::cancelled, started->cancel_reason);
        co_return online::run_result::cancelled;
    }
    started->send_failure(
        wire::attempt_outcome::unknown, reason::stream_broken);
    co_return online::run_result::failed;
}

asio::awaitable<bool> runner_owner::reopen_stream(run_pointer broken)
{
    for (int attempt = 0; attempt < max_stream_resumes; ++attempt)
    {
        if (broken->runner_lost || broken->cancelled)
        {
            co_return false;
        }
        net::open_outcome outcome = co_await this->servers.resume(
            broken->server, broken->id, broken->offset(), resume_timeout);
        if (broken->runner_lost || broken->cancelled)
        {
            co_return false;
        }
        if (is_refused(outcome))
        {
            this->on_runner_died(broken->request.runner, true);
            co_return false;
        }
        if (outcome.stream == nullptr)
        {
            continue;
        }
        if (outcome.stream->head().status == 200)
        {
            this->counters.add("answers_resumed_total");
            broken->stream = std::move(outcome.stream);
            co_return true;
        }
        // A runner that does not know the run may have restarted. Its next load
        // report shows that, and all its runs then fail together.
        co_await this->read_load(broken->request.runner, broken->server);
        co_return false;
    }
    co_return false;
}

asio::awaitable<void> runner_owner::cancel_on_runner(run_pointer run)
{
    const result<void> cancelled_on_runner =
        co_await this->servers.cancel(run->server, run->id);
    if (!cancelled_on_runner)
    {
        this->counters.add("cancels_failed_total");
    }
    if (run->stream != nullptr)
    {
        run->stream->close();
    }
}

asio::awaitable<void> runner_owner::watch()
{
    for (std::int64_t ticks = 0;; ++ticks)
    {
        this->timer.expires_after(tick_interval);
        auto [code] = co_await this->timer.async_wait(
            asio::as_tuple(asio::use_awaitable));
        if (code)
        {
            co_return;
        }
        this->tick();
        if (ticks % ticks_per_report == 0)
        {
            this->watch_runners();
        }
    }
}

void runner_owner::tick()
{
    const time_point now = read_monotonic_clock();
    for (auto& [name, owned] : this->runners)
    {
        this->apply(owned.queue.tick(now));
    }
    while (!this->completed_runs.empty() &&
           (this->completed_runs.front().expires_at <= now ||
            this->completed_runs.size() > max_completed_runs))
    {
        this->completed_runs.pop_front();
    }
}

void runner_owner::watch_runners()
{
    std::erase_if(
        this->runners,
        [this](const auto& entry)
        {
            return entry.second.queue.in_progress() == 0 &&
                   this->fleet.find_vm(entry.first) == nullptr;
        });
    for (const auto& [pool_name, pool] : this->fleet.get_tables().pools)
    {
        for (const membership::vm* runner : this->fleet.list_runners(pool))
        {
            if (!this->owns(*runner))
            {
                continue;
            }
            owned_runner& owned = this->find_or_add_runner(runner->id, pool);
            owned.queue.set_bounds(pool.slots_per_runner, pool.harm_weight);
        }
    }
    for (auto& [name, owned] : this->runners)
    {
        const membership::vm* runner = this->fleet.find_vm(name);
        if (runner == nullptr || owned.is_reading_load)
        {
            continue;
        }
        owned.is_reading_load = true;
        const net::endpoint server = {runner->address, runner->http_port};
        asio::co_spawn(
            this->executor, this->read_load(name, server), asio::detached);
    }
}

asio::awaitable<void>
runner_owner::read_load(std::string name, net::endpoint server)
{
    const result<backend::load_report> report =
        co_await this->servers.load(std::move(server));
    const auto found = this->runners.find(name);
    if (found == this->runners.end())
    {
        co_return;
    }
    found->second.is_reading_load = false;
    if (report)
    {
        this->handle_load_report(name, report.value());
        co_return;
    }
    if (report.error().kind == error_kind::internal)
    {
        // The server responds, but without a load report, as a plain service
        // may.
        found->second.failed_reports = 0;
        found->second.unreachable = false;
        co_return;
    }
    this->count_failed_report(name, found->second);
}

void runner_owner::count_failed_report(
    const std::string& name, owned_runner& owned)
{
    owned.failed_reports += 1;
    if (owned.failed_reports < max_failed_reports)
    {
        return;
    }
    // New connections may fail while open ones still work.
    owned.unreachable = this->has_recent_progress(name);
    if (!owned.unreachable)
    {
        this->on_runner_died(name, false);
    }
}

bool runner_owner::has_recent_progress(const std::string& runner) const
{
    const time_point now = read_monotonic_clock();
    return std::ranges::any_of(
        this->runs,
        [&runner, now](const auto& entry)
        {
            const owned_run& run = *entry.second;
            return run.request.runner == runner && run.stream != nullptr &&
                   run.last_progress + event_stream_timeout > now;
        });
}

void runner_owner::handle_load_report(
    const std::string& name, const backend::load_report& report)
{
    owned_runner& owned = this->runners.at(name);
    const time_point now = read_monotonic_clock();
    owned.failed_reports = 0;
    owned.unreachable = false;
    const bool first = owned.incarnation == 0;
    if (!first && owned.incarnation != report.incarnation)
    {
        this->on_runner_died(name, true);
    }
    if (owned.dead)
    {
        owned = owned_runner(owned.slots, owned.harm_weight);
    }
    if (owned.incarnation == 0)
    {
        owned.incarnation = report.incarnation;
        const std::int64_t inherited_runs =
            report.in_progress - owned.queue.in_progress();
        owned.queue.inherit(std::max<std::int64_t>(inherited_runs, 0));
    }
    this->apply(
        owned.queue.load_reported(report.in_progress, max_report_age, now));
    if (!report.leaving)
    {
        return;
    }
    if (owned.leaving_reports % reports_per_leaving_notice == 0)
    {
        this->announce_leaving(name);
    }
    owned.leaving_reports += 1;
    this->apply(owned.queue.leaving());
}

} // namespace chicory::gate
