#include "servers/batch/chunk_holder.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds max_renew_check_interval(250);
constexpr int checks_per_renewal = 16;
constexpr std::chrono::seconds write_limit(5);
constexpr std::chrono::milliseconds min_search_pause(250);
constexpr std::chrono::milliseconds watch_pause(800);
constexpr std::chrono::milliseconds outage_pause(100);
constexpr std::chrono::milliseconds idle_pause(2000);
constexpr std::size_t max_jobs_per_search = 8;
constexpr std::size_t max_leases_per_search = 8;
constexpr std::size_t max_cached_manifests = 64;

} // namespace

chunk_holder::chunk_holder(
    asio::any_io_executor context,
    std::string initial_process,
    job_table& initial_table,
    ports::object_store& initial_objects,
    item_feeder& initial_feeder,
    commit_runner& initial_commits,
    const lifecycles& initial_charts,
    identifier_source& initial_identifiers,
    metrics& initial_counters,
    lease_settings leases)
    : executor(context), process(std::move(initial_process)),
      table(initial_table), objects(initial_objects), feeder(initial_feeder),
      commits(initial_commits), charts(initial_charts),
      identifiers(initial_identifiers), counters(initial_counters),
      schedule(leases), observer(leases),
      renew_check_interval(std::min<duration>(
          max_renew_check_interval,
          leases.renew_interval / checks_per_renewal)),
      generator(std::random_device()()), search_timer(context)
{
}

void chunk_holder::start()
{
    asio::co_spawn(this->executor, this->renew_loop(), asio::detached);
    asio::co_spawn(this->executor, this->search_loop(), asio::detached);
    asio::co_spawn(this->executor, this->watch_loop(), asio::detached);
}

void chunk_holder::wake()
{
    this->search_again = true;
    this->search_timer.cancel();
}

void chunk_holder::drain()
{
    this->draining = true;
}

asio::awaitable<void> chunk_holder::deregister()
{
    co_await this->delete_row();
}

bool chunk_holder::holds_work() const
{
    return this->leases_in_progress > 0 || !this->feeder.held().empty() ||
           this->commits.queue().size() > 0;
}

asio::awaitable<void> chunk_holder::renew_loop()
{
    while (true)
    {
        const time_point now = read_monotonic_clock();
        const bool needed = this->holds_work();
        if (this->schedule.should_delete_row(needed, now))
        {
            co_await this->delete_row();
        }
        else if (needed && now >= this->schedule.renew_at())
        {
            co_await this->renew();
        }
        co_await this->pause(this->renew_check_interval);
    }
}

asio::awaitable<void> chunk_holder::delete_row()
{
    const std::int64_t version = this->schedule.version();
    if (version == 0)
    {
        co_return;
    }
    // From here on the process writes its row again before it leases a chunk.
    this->schedule.on_version_mismatch(0, read_monotonic_clock());
    write_plan plan;
    plan.replace(holder_row_key(this->process), version, std::nullopt);
    const transaction_report report = co_await this->table.run(std::move(plan));
    if (report.outcome != write_outcome::done && this->schedule.version() == 0)
    {
        this->schedule.on_version_mismatch(version, read_monotonic_clock());
    }
}

asio::awaitable<void> chunk_holder::renew()
{
    const time_point sent_at = read_monotonic_clock();
    const std::string operation = this->identifiers.next("op-");
    boost::json::object value;
    value["process"] = this->process;
    value["operation_id"] = operation;
    const std::string key = holder_row_key(this->process);
    write_plan plan;
    plan.replace(key, this->schedule.version(), boost::json::serialize(value));
    const result<resolved_write> written = co_await this->table.write(
        std::move(plan), key, operation, write_limit);
    if (written && written.value().took_effect)
    {
        this->schedule.on_renewed(written.value().version, sent_at);
        co_return;
    }
    if (!written && written.error().kind != error_kind::outcome_unknown)
    {
        this->schedule.on_failed(read_monotonic_clock());
        co_return;
    }
    // An earlier write of this process whose response was dropped has changed
    // the version of the row. No other process writes this row, so the next
    // renewal continues from the version that is stored.
    const result<found_row> row = co_await this->table.read(key);
    if (!row)
    {
        this->schedule.on_failed(read_monotonic_clock());
        co_return;
    }
    this->schedule.on_version_mismatch(
        row.value().version, read_monotonic_clock());
}

asio::awaitable<void> chunk_holder::search_loop()
{
    duration search_pause = min_search_pause;
    while (true)
    {
        this->search_again = false;
        const bool leased = co_await this->search();
        const bool needs_chunks =
            this->has_open_jobs && this->feeder.needs_chunks();
        duration length = idle_pause;
        if (needs_chunks)
        {
            search_pause =
                leased ? duration(min_search_pause)
                       : std::min<duration>(search_pause * 2, idle_pause);
            length = search_pause;
        }
        if (!this->search_again)
        {
            this->search_timer.expires_after(length);
            co_await this->search_timer.async_wait(
                asio::as_tuple(asio::use_awaitable));
        }
    }
}

asio::awaitable<void> chunk_holder::watch_loop()
{
    while (true)
    {
        const bool is_reachable = co_await this->watch_held_jobs();
        co_await this->pause(is_reachable ? watch_pause : outage_pause);
    }
}

asio::awaitable<bool> chunk_holder::watch_held_jobs()
{
    std::set<std::string> jobs;
    for (const auto& [key, chunk] : this->feeder.held())
    {
        jobs.insert(chunk->job.record.id);
    }
    for (const std::string& job : jobs)
    {
        const result<found_row> row =
            co_await this->table.read(open_row_key(job));
        if (!row)
        {
            co_return false;
        }
        if (row.value().version == 0)
        {
            this->feeder.drop_job(job, reason::job_cancelled);
        }
    }
    co_return true;
}

asio::awaitable<bool> chunk_holder::search()
{
    result<std::vector<stored_job>> open =
        co_await this->table.list_open_jobs();
    if (!open)
    {
        this->observer.on_outage();
        co_return false;
    }
    std::vector<stored_job>& jobs = open.value();
    this->has_open_jobs = !jobs.empty();
    std::sort(
        jobs.begin(),
        jobs.end(),
        [](const stored_job& left, const stored_job& right)
        {
            return left.record.deadline_ms < right.record.deadline_ms;
        });
    if (jobs.size() > max_jobs_per_search)
    {
        // The last place goes to a job chosen at random from all remaining
        // jobs, so that a job with a late deadline is not skipped forever.
        std::uniform_int_distribution<std::size_t> draw(
            max_jobs_per_search - 1, jobs.size() - 1);
        std::swap(jobs[max_jobs_per_search - 1], jobs[draw(this->generator)]);
        jobs.resize(max_jobs_per_search);
    }
    bool leased = false;
    for (const stored_job& job : jobs)
    {
        if (this->draining || this->commits.queue().is_full() ||
            !this->feeder.needs_chunks())
        {
            break;
        }
        const bool found = co_await this->lease_from(job);
        leased = found || leased;
    }
    co_return leased;
}

asio::awaitable<bool> chunk_holder::lease_from(stored_job job)
{
    const result<std::vector<stored_chunk>> rows =
        co_await this->table.list_chunks(job.record.id);
    if (!rows)
    {
        co_return false;
    }
    std::vector<stored_chunk> candidates =
        co_await this->find_candidates(job, rows.value());
    std::size_t committed = 0;
    for (const stored_chunk& row : rows.value())
    {
        committed += row.record.state == chunk_state::committed ? 1 : 0;
    }
    if (candidates.empty() && committed == rows.value().size())
    {
        co_await this->finish_job(job.record.id, rows.value());
        co_return false;
    }
    // Random order lets processes that search the same job concurrently start
    // at different chunks.
    std::shuffle(candidates.begin(), candidates.end(), this->generator);
    std::size_t leased = 0;
    for (const stored_chunk& chunk : candidates)
    {
        if (leased == max_leases_per_search || !this->feeder.needs_chunks())
        {
            break;
        }
        const bool is_leased = co_await this->lease(job, chunk);
        leased += is_leased ? 1 : 0;
    }
    co_return leased > 0;
}

asio::awaitable<std::vector<stored_chunk>>
chunk_holder::find_candidates(stored_job job, std::vector<stored_chunk> rows)
{
    std::vector<stored_chunk> candidates;
    std::set<std::string> stored_names;
    for (const stored_chunk& row : rows)
    {
        stored_names.insert(row.record.name);
        if (row.record.state == chunk_state::committed)
        {
            continue;
        }
        const bool free = co_await this->is_free(row.record);
        if (free)
        {
            candidates.push_back(row);
        }
    }
    const result<std::vector<manifest_entry>> manifest =
        co_await this->read_manifest(job.record.id);
    if (!manifest)
    {
        co_return candidates;
    }
    for (std::size_t number = 0; number < manifest.value().size(); ++number)
    {
        stored_chunk chunk;
        chunk.record.job = job.record.id;
        chunk.record.name = chunk_name(number);
        if (stored_names.contains(chunk.record.name))
        {
            continue;
        }
        chunk.record.source = items_name(job.record.id, chunk.record.name);
        chunk.record.first = manifest.value()[number].first;
        chunk.record.items = manifest.value()[number].items;
        candidates.push_back(std::move(chunk));
    }
    co_return candidates;
}

asio::awaitable<bool> chunk_holder::is_free(chunk_record record)
{
    const std::string key = chunk_row_key(record.job, record.name);
    if (this->feeder.held().contains(key) ||
        this->commits.queue().holds(record.job, record.name))
    {
        co_return false;
    }
    if (record.state == chunk_state::waiting || record.holder == this->process)
    {
        co_return true;
    }
    const result<found_row> row =
        co_await this->table.read(holder_row_key(record.holder));
    if (!row)
    {
        this->observer.on_outage();
        co_return false;
    }
    co_return this->observer.observe(
        record.holder, row.value().version, read_monotonic_clock());
}

asio::awaitable<bool> chunk_holder::lease(stored_job job, stored_chunk chunk)
{
    // While the counter is above zero, the renewal loop keeps the holder row:
    // it neither deletes the row nor lets the lease expire.
    ++this->leases_in_progress;
    const bool leased =
        co_await this->lease_with_holder_row(std::move(job), std::move(chunk));
    --this->leases_in_progress;
    co_return leased;
}

asio::awaitable<bool>
chunk_holder::lease_with_holder_row(stored_job job, stored_chunk chunk)
{
    if (this->schedule.estimate_state(read_monotonic_clock()) !=
        lease_state_estimate::held)
    {
        co_await this->renew();
    }
    if (this->schedule.estimate_state(read_monotonic_clock()) !=
        lease_state_estimate::held)
    {
        co_return false;
    }
    const auto items = co_await this->read_items(chunk.record);
    if (!items)
    {
        co_return false;
    }
    const bool taken_over = chunk.record.state == chunk_state::leased;
    const std::string operation = this->identifiers.next("op-");
    write_plan plan =
        plan_lease(this->charts, chunk, job, this->process, operation);
    const std::string key = chunk_row_key(chunk.record.job, chunk.record.name);
    const result<resolved_write> written = co_await this->table.write(
        std::move(plan), key, operation, write_limit);
    if (!written || !written.value().took_effect)
    {
        co_return false;
    }
    chunk.version = written.value().version;
    const std::shared_ptr<held_chunk> held = std::make_shared<held_chunk>();
    held->run = std::make_unique<chunk_run>(
        this->charts.item,
        run_settings{},
        chunk.record,
        items.value(),
        this->generator());
    held->chunk = std::move(chunk);
    held->job = std::move(job);
    this->counters.add(
        taken_over ? "chunks_taken_over_total" : "chunks_leased_total");
    log_event(event::chunk_leased, {{"chunk", key}});
    this->feeder.add(held);
    co_return true;
}

asio::awaitable<result<std::vector<manifest_entry>>>
chunk_holder::read_manifest(std::string job)
{
    if (const auto cached = this->manifests.find(job);
        cached != this->manifests.end())
    {
        co_return cached->second;
    }
    const result<std::string> bytes =
        co_await this->objects.get(manifest_name(job));
    if (!bytes)
    {
        co_return bytes.error();
    }
    result<std::vector<manifest_entry>> entries =
        decode_manifest(bytes.value());
    if (entries)
    {
        if (this->manifests.size() >= max_cached_manifests)
        {
            this->manifests.erase(this->manifests.begin());
        }
        this->manifests[job] = entries.value();
    }
    co_return entries;
}

asio::awaitable<result<std::vector<std::pair<std::uint64_t, item_request>>>>
chunk_holder::read_items(chunk_record record)
{
    const result<std::string> bytes = co_await this->objects.get(record.source);
    if (!bytes)
    {
        co_return bytes.error();
    }
    co_return decode_items(bytes.value(), record.first, record.members);
}

asio::awaitable<void>
chunk_holder::finish_job(std::string job, std::vector<stored_chunk> rows)
{
    result<stored_job> stored = co_await this->table.read_job(job);
    if (!stored)
    {
        co_return;
    }
    const std::string operation = this->identifiers.next("op-");
    std::optional<write_plan> plan = plan_finish(
        this->charts, stored.value(), rows, operation, read_wall_clock_ms());
    if (!plan)
    {
        co_return;
    }
    const result<resolved_write> written = co_await this->table.write(
        std::move(*plan), job_row_key(job), operation, write_limit);
    if (written && written.value().took_effect)
    {
        this->manifests.erase(job);
        this->counters.add("jobs_finished_total");
        log_event(event::job_completed, {{"job", job}});
    }
}

asio::awaitable<void> chunk_holder::pause(duration length)
{
    asio::steady_timer timer(this->executor);
    timer.expires_after(length);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace chicory::batch
