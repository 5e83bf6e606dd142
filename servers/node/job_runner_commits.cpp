// Writes of a job_runner to the store: results, pieces of the texts of running
// items, and the new owner of a job that it hands over.

#include "net/net.hpp"
#include "servers/node/job_runner.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Results that become ready within this time are committed in one transaction.
constexpr std::chrono::milliseconds commit_delay(50);
/// Maximum number of records and bytes of texts in one transaction. The store
/// accepts at most 100 records and 1 MB.
constexpr std::size_t max_commit_records = 80;
constexpr std::size_t max_commit_bytes = 500000;

} // namespace

void job_runner::request_commit(const std::shared_ptr<active_job>& job)
{
    if (!job->committing && !job->stopped)
    {
        job->committing = true;
        net::spawn_guarded(
            this->context.get_executor(),
            "committing results",
            this->commit(job));
    }
}

std::optional<job_change> job_runner::make_change(
    const active_job& job, const serving::job_record& record) const
{
    if (!this->ownership.owns(record) || record.ended)
    {
        return std::nullopt;
    }
    job_change change{record, {}};
    bool changed = false;
    for (const auto& [item, counts] : job.failures)
    {
        serving::item_failures& stored = change.record.failures[item];
        const serving::item_failures before = stored;
        // The counts of this node include those that it loaded. The maximum
        // keeps a change that is applied twice from counting twice.
        stored.failed = std::max(stored.failed, counts.failed);
        stored.impossible = std::max(stored.impossible, counts.impossible);
        changed = changed || stored != before;
    }
    std::size_t bytes = 0;
    for (const finished_item& entry : job.finished)
    {
        if (serving::is_listed(change.record, entry.item))
        {
            continue;
        }
        if (!change.writes.empty() &&
            (change.writes.size() >= max_commit_records ||
             bytes + entry.text.size() > max_commit_bytes))
        {
            break;
        }
        const std::int64_t position =
            static_cast<std::int64_t>(change.record.listed.size());
        std::vector<ports::record_write> writes =
            this->store.make_text_writes(job.id, position, entry.text);
        change.record.listed.push_back(
            {entry.item,
             entry.state,
             static_cast<std::int64_t>(writes.size())});
        std::move(
            writes.begin(), writes.end(), std::back_inserter(change.writes));
        for (const std::int64_t first : entry.pieces)
        {
            if (change.writes.size() >= max_commit_records)
            {
                // The result must be listed; a piece that is not removed does
                // no harm.
                break;
            }
            change.writes.push_back(
                {std::string(piece_table),
                 make_piece_key(job.id, entry.item, first),
                 std::nullopt});
        }
        bytes += entry.text.size();
        changed = true;
    }
    if (!changed)
    {
        return std::nullopt;
    }
    return change;
}

std::vector<std::int64_t> job_runner::list_pieces_to_remove(
    const active_job& job, const serving::item_progress& progress)
{
    std::vector<std::int64_t> pieces = progress.saved_pieces();
    if (job.saving)
    {
        // A save in progress may still write this piece before the item is
        // listed. After the listing, the save fails because the job's version
        // has changed.
        pieces.push_back(progress.next_piece());
    }
    return pieces;
}

job_runner::unsaved_pieces job_runner::collect_unsaved(const active_job& job)
{
    unsaved_pieces pieces;
    std::size_t bytes = 0;
    for (const auto& [item, execution] : job.executions)
    {
        std::optional<serving::item_piece> piece = execution->unsaved();
        if (!piece)
        {
            continue;
        }
        bytes += piece->text.size();
        if (pieces.size() >= max_commit_records ||
            (!pieces.empty() && bytes > max_commit_bytes))
        {
            break;
        }
        pieces.emplace_back(item, std::move(*piece));
    }
    return pieces;
}

void job_runner::request_save(
    time_point now, const std::shared_ptr<active_job>& job)
{
    if (job->saving || job->stopped || now < job->next_save)
    {
        return;
    }
    unsaved_pieces pieces = collect_unsaved(*job);
    if (pieces.empty())
    {
        return;
    }
    job->saving = true;
    net::spawn_guarded(
        this->context.get_executor(),
        "saving the texts of items",
        this->save(job, std::move(pieces)));
}

asio::awaitable<void>
job_runner::save(std::shared_ptr<active_job> job, unsaved_pieces pieces)
{
    const result<void> saved = co_await this->store.save_pieces(
        job->id, make_piece_writes(job->id, pieces));
    // A concurrent commit of results has changed the job, so nothing was saved.
    const bool again = !saved && saved.error().kind == error_kind::conflict;
    job->next_save = read_monotonic_clock() +
                     (again ? duration::zero() : duration(save_interval));
    job->saving = false;
    this->services.counters.add(
        saved ? "text_saves_total" : "text_saves_failed_total");
    for (const auto& [item, piece] : pieces)
    {
        if (const auto execution = job->executions.find(item);
            saved && execution != job->executions.end())
        {
            execution->second->on_saved(piece);
        }
    }
}

asio::awaitable<void> job_runner::hand_over(
    std::shared_ptr<active_job> job,
    unsaved_pieces pieces,
    serving::live_node successor)
{
    const std::vector<ports::record_write> writes =
        make_piece_writes(job->id, pieces);
    job_store::change_function transfer =
        [&](const serving::job_record& record) -> std::optional<job_change>
    {
        if (!this->ownership.owns(record) || !serving::is_open(record))
        {
            return std::nullopt;
        }
        // Results that are not committed yet are handed over in the same
        // change.
        job_change change =
            this->make_change(*job, record).value_or(job_change{record, {}});
        change.record.owner = successor.id;
        change.record.owner_incarnation = successor.incarnation;
        if (change.writes.size() + writes.size() <= max_commit_records)
        {
            std::copy(
                writes.begin(),
                writes.end(),
                std::back_inserter(change.writes));
        }
        return change;
    };
    const result<serving::job_record> transferred =
        co_await this->store.change(job->id, std::move(transfer), commit_limit);
    if (transferred)
    {
        log_event(
            event::job_handed_over,
            {{"job", job->id},
             {"to", transferred.value().owner},
             {"pieces", static_cast<std::int64_t>(pieces.size())}});
    }
}

asio::awaitable<void> job_runner::commit(std::shared_ptr<active_job> job)
{
    asio::steady_timer pause(this->context);
    pause.expires_after(commit_delay);
    co_await pause.async_wait(as_result);
    while (!job->stopped && (!job->finished.empty() || job->failures_changed))
    {
        job->failures_changed = false;
        job_store::change_function list_results =
            [this, job](const serving::job_record& record)
        {
            return this->make_change(*job, record);
        };
        const result<serving::job_record> changed = co_await this->store.change(
            job->id, std::move(list_results), commit_limit);
        if (!changed)
        {
            job->failures_changed = true;
            log_event(
                event::commit_deferred,
                {{"job", job->id}, {"error", changed.error().text}});
            pause.expires_after(load_retry);
            co_await pause.async_wait(as_result);
            continue;
        }
        const serving::job_record& record = changed.value();
        for (std::size_t at = 0; at < record.listed.size(); ++at)
        {
            const auto entry = std::find_if(
                job->finished.begin(),
                job->finished.end(),
                [&](const finished_item& candidate)
                {
                    return candidate.item == record.listed[at].item;
                });
            if (entry == job->finished.end())
            {
                continue;
            }
            // Another node may have listed the item with a different text. That
            // text is read from the store when it is needed.
            if (this->ownership.owns(record))
            {
                this->store.cache_text(
                    job->id,
                    static_cast<std::int64_t>(at),
                    std::move(entry->text));
            }
            job->finished.erase(entry);
        }
        if (!this->ownership.owns(record) || record.ended)
        {
            break;
        }
    }
    job->committing = false;
    const serving::job_record* record = this->store.find(job->id);
    if (record == nullptr || !serving::is_open(*record))
    {
        log_event(event::job_completed, {{"job", job->id}});
    }
    this->schedule_reconcile();
}

} // namespace chicory::node
