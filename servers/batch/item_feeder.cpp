#include "servers/batch/item_feeder.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <set>
#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds probe_interval(50);
constexpr std::chrono::seconds item_limit(120);
constexpr std::chrono::seconds mark_limit(10);
constexpr std::chrono::milliseconds mark_pause(500);
constexpr std::size_t max_marks_ahead = 8;
constexpr std::size_t min_unsent_items = 16;
constexpr std::size_t max_unsent_items = 512;
constexpr std::size_t prefix_bytes = 256;

reason find_reason(const wire::response_failed& failure)
{
    if (const auto known = find_value(reason_names, failure.reason))
    {
        return *known;
    }
    switch (failure.outcome)
    {
    case wire::attempt_outcome::not_sent:
        return reason::owner_unreachable;
    case wire::attempt_outcome::refused_not_run:
        return reason::runner_refused;
    case wire::attempt_outcome::cancelled:
        return reason::yielded_to_online;
    case wire::attempt_outcome::unknown:
        break;
    }
    return reason::stream_broken;
}

} // namespace

item_feeder::item_feeder(
    asio::any_io_executor context,
    std::string own_vm,
    dispatching::fleet_cache& initial_fleet,
    dispatching::dispatcher& initial_owners,
    job_table& initial_table,
    commit_runner& initial_commits,
    const lifecycles& initial_charts,
    identifier_source& initial_identifiers,
    metrics& initial_counters)
    : executor(context), fleet(initial_fleet), owners(initial_owners),
      table(initial_table), commits(initial_commits), charts(initial_charts),
      identifiers(initial_identifiers), counters(initial_counters),
      offers(initial_fleet, initial_owners, std::move(own_vm)), timer(context)
{
}

void item_feeder::start()
{
    asio::co_spawn(this->executor, this->run(), asio::detached);
}

void item_feeder::add(std::shared_ptr<held_chunk> chunk)
{
    const chunk_record& record = chunk->chunk.record;
    const std::string key = chunk_row_key(record.job, record.name);
    this->chunks[key] = chunk;
    this->counters.set(
        "chunks_held", static_cast<std::int64_t>(this->chunks.size()));
    this->finish_if_complete(chunk);
    this->feed();
}

void item_feeder::receive(const std::string& owner, const wire::message& value)
{
    if (const auto* reply = std::get_if<wire::probe_reply>(&value))
    {
        this->offers.receive(owner, *reply, read_monotonic_clock());
        this->feed();
    }
}

const std::map<std::string, std::shared_ptr<held_chunk>>&
item_feeder::held() const
{
    return this->chunks;
}

void item_feeder::drop(const std::string& key, reason cause)
{
    const auto found = this->chunks.find(key);
    if (found == this->chunks.end())
    {
        return;
    }
    const std::shared_ptr<held_chunk> chunk = found->second;
    this->chunks.erase(found);
    this->counters.count_refusal(cause);
    log_event(event::chunk_lease_lost, {{"chunk", key}});
    chunk->dropped = true;
    chunk->run->abandon();
    for (const auto& [position, attempt] : chunk->attempts)
    {
        this->owners.cancel(*attempt);
        wire::response_failed failure;
        failure.request_id = attempt->request_id;
        failure.attempt = attempt->number;
        failure.outcome = wire::attempt_outcome::cancelled;
        failure.reason = std::string(name_of(cause));
        attempt->responses.push(std::move(failure));
    }
}

void item_feeder::drop_job(const std::string& job, reason cause)
{
    std::vector<std::string> keys;
    for (const auto& [key, chunk] : this->chunks)
    {
        if (chunk->job.record.id == job)
        {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys)
    {
        this->drop(key, cause);
    }
}

void item_feeder::drain()
{
    this->draining = true;
    const std::map<std::string, std::shared_ptr<held_chunk>> all = this->chunks;
    for (const auto& [key, chunk] : all)
    {
        chunk->run->close_early();
        this->finish_if_complete(chunk);
    }
}

bool item_feeder::needs_chunks() const
{
    std::size_t unsent = 0;
    for (const auto& [key, chunk] : this->chunks)
    {
        unsent += chunk->run->unsent();
    }
    const std::size_t target = std::min(
        max_unsent_items,
        std::max(min_unsent_items, 2 * this->offers.total_slots()));
    return !this->draining && unsent < target;
}

asio::awaitable<void> item_feeder::run()
{
    while (true)
    {
        std::set<std::string> pools;
        for (const auto& [key, chunk] : this->chunks)
        {
            const configuration::route* route =
                this->fleet.find_route(chunk->job.record.route);
            if (route != nullptr && chunk->run->unsent() > 0)
            {
                pools.insert(route->pool);
            }
        }
        this->offers.probe(pools, read_monotonic_clock());
        this->feed();
        this->timer.expires_after(probe_interval);
        co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void item_feeder::feed()
{
    if (this->draining || this->commits.queue().is_full())
    {
        return;
    }
    const time_point now = read_monotonic_clock();
    std::vector<feed_source> sources;
    std::vector<std::shared_ptr<held_chunk>> held;
    for (const auto& [key, chunk] : this->chunks)
    {
        const configuration::route* route =
            this->fleet.find_route(chunk->job.record.route);
        if (route == nullptr)
        {
            continue;
        }
        if (!chunk->marking &&
            !chunk->run->find_items_to_mark(max_marks_ahead, now).empty())
        {
            chunk->marking = true;
            asio::co_spawn(this->executor, this->mark(chunk), asio::detached);
        }
        const job_record& job = chunk->job.record;
        sources.push_back(
            {job.id,
             job.member,
             route->pool,
             job.deadline_ms,
             chunk->run->ready(now),
             chunk->run->running()});
        held.push_back(chunk);
    }
    for (const feed_grant& grant :
         this->feeder.share(sources, this->offers.list(now)))
    {
        this->start_items(held[grant.source], grant);
    }
}

void item_feeder::start_items(
    const std::shared_ptr<held_chunk>& chunk, const feed_grant& grant)
{
    const configuration::route* route =
        this->fleet.find_route(chunk->job.record.route);
    for (const item_attempt& item :
         chunk->run->start_attempts(grant.items, read_monotonic_clock()))
    {
        wire::dispatch request = this->make_dispatch(*chunk, item, *route);
        request.runner = grant.runner;
        this->offers.on_sent(grant.runner);
        this->counters.add("items_sent_total");
        asio::co_spawn(
            this->executor,
            this->run_item(chunk, item, grant.runner, std::move(request)),
            asio::detached);
    }
}

asio::awaitable<void> item_feeder::run_item(
    std::shared_ptr<held_chunk> chunk,
    item_attempt item,
    std::string runner,
    wire::dispatch request)
{
    const std::shared_ptr<dispatching::attempt> attempt =
        this->owners.start(std::move(request));
    chunk->attempts[item.position] = attempt;
    std::string response;
    std::int64_t status = 0;
    std::optional<wire::response_failed> failure;
    bool done = false;
    while (!done && !failure)
    {
        std::optional<wire::message> next =
            co_await attempt->responses.pop(item_limit);
        if (!next)
        {
            this->owners.cancel(*attempt);
            failure.emplace();
            failure->reason = std::string(name_of(reason::link_silent));
            break;
        }
        if (const auto* head = std::get_if<wire::response_head>(&*next))
        {
            status = head->status;
        }
        const auto* frame = std::get_if<wire::response_frame>(&*next);
        if (frame != nullptr && frame->offset == response.size())
        {
            response += frame->bytes;
        }
        if (const auto* end = std::get_if<wire::response_end>(&*next))
        {
            done = end->length == response.size();
            if (!done)
            {
                failure.emplace();
                failure->reason = std::string(name_of(reason::stream_broken));
            }
        }
        if (const auto* failed = std::get_if<wire::response_failed>(&*next))
        {
            failure = *failed;
        }
    }
    this->owners.forget(*attempt);
    if (const auto found = chunk->attempts.find(item.position);
        found != chunk->attempts.end() && found->second == attempt)
    {
        chunk->attempts.erase(found);
    }
    if (failure)
    {
        this->handle_failure(*chunk, item, runner, *failure);
    }
    else
    {
        const time_point now = read_monotonic_clock();
        this->offers.on_completed(runner, now);
        chunk->run->on_response(
            item.position, item.attempt, status, std::move(response), now);
    }
    this->finish_if_complete(chunk);
    this->feed();
}

void item_feeder::handle_failure(
    held_chunk& chunk,
    const item_attempt& item,
    const std::string& runner,
    const wire::response_failed& failure)
{
    const time_point now = read_monotonic_clock();
    if (failure.outcome == wire::attempt_outcome::cancelled)
    {
        this->offers.on_preempted(runner);
    }
    else
    {
        this->offers.on_refused(runner, now);
    }
    if (chunk.dropped)
    {
        return;
    }
    const reason cause = find_reason(failure);
    const std::string text(name_of(cause));
    this->counters.count_retry(cause);
    if (cause == reason::quarantined)
    {
        chunk.run->on_quarantined(item.position, item.attempt, text);
        return;
    }
    switch (failure.outcome)
    {
    case wire::attempt_outcome::not_sent:
    case wire::attempt_outcome::refused_not_run:
        chunk.run->on_not_run(item.position, item.attempt, text, now);
        return;
    case wire::attempt_outcome::cancelled:
        chunk.run->on_preempted(item.position, item.attempt, now);
        return;
    case wire::attempt_outcome::unknown:
        chunk.run->on_attempt_failed(item.position, item.attempt, text, now);
        return;
    }
}

asio::awaitable<void> item_feeder::mark(std::shared_ptr<held_chunk> chunk)
{
    const std::vector<std::uint64_t> marks =
        chunk->run->find_items_to_mark(max_marks_ahead, read_monotonic_clock());
    const std::string operation = this->identifiers.next("op-");
    const chunk_record marked = chunk->chunk.record.marked(marks, operation);
    const std::string key = chunk_row_key(marked.job, marked.name);
    const write_plan plan =
        plan_mark(this->charts, chunk->chunk, chunk->job, marked);
    while (!marks.empty() && !chunk->dropped)
    {
        const result<resolved_write> written =
            co_await this->table.write(plan, key, operation, mark_limit);
        if (!written)
        {
            // The same write is sent again until its outcome is known. If a
            // mark took effect without this process knowing it, the stored
            // version would no longer match the fencing token of the chunk.
            asio::steady_timer pause(this->executor);
            pause.expires_after(mark_pause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (!written.value().took_effect)
        {
            this->drop(key, reason::lease_lost);
            co_return;
        }
        chunk->chunk.version = written.value().version;
        chunk->chunk.record = marked;
        chunk->run->on_marked(marks, marked);
        break;
    }
    chunk->marking = false;
    this->finish_if_complete(chunk);
    this->feed();
}

void item_feeder::finish_if_complete(const std::shared_ptr<held_chunk>& chunk)
{
    if (chunk->dropped || chunk->marking || !chunk->run->is_complete())
    {
        return;
    }
    chunk->dropped = true;
    const chunk_record& record = chunk->chunk.record;
    run_outcome outcome = chunk->run->finish(this->identifiers.next("op-"));
    finished_chunk done;
    done.request.open_key = open_row_key(record.job);
    done.request.open_version = chunk->job.open_version;
    done.request.chunk_key = chunk_row_key(record.job, record.name);
    done.request.token = chunk->chunk.version;
    done.request.committed = std::move(outcome.committed);
    done.request.stragglers = std::move(outcome.stragglers);
    done.results = std::move(outcome.results);
    this->chunks.erase(done.request.chunk_key);
    this->commits.push(std::move(done));
}

wire::dispatch item_feeder::make_dispatch(
    const held_chunk& chunk,
    const item_attempt& item,
    const configuration::route& route)
{
    const item_request& source = *item.request;
    wire::dispatch request;
    request.request_id = this->identifiers.next("item-");
    request.attempt = item.attempt;
    request.kind = wire::work_class::batch;
    request.member = chunk.job.record.member;
    request.route = route.name;
    request.pool = route.pool;
    request.path = source.url;
    request.content_type = "application/json";
    request.body = source.body;
    request.time_left_us = duration(item_limit).count();
    request.not_repeatable = source.not_repeatable;
    const std::uint64_t salt = hash_bytes(request.member);
    request.fingerprint =
        hash_bytes(request.body, hash_bytes(request.route, salt));
    request.prefix_key = hash_bytes(
        std::string_view(request.body).substr(0, prefix_bytes), salt);
    return request;
}

} // namespace chicory::batch
