// What a job_runner writes to the store: results, texts of items that run, and
// jobs that it hands over.

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
/// Results that are ready within this time go into one transaction.
constexpr std::chrono::milliseconds commit_delay(50);
/// Records and bytes of texts in one transaction, of which the store takes 100
/// and 1 MB.
constexpr std::size_t most_commit_records = 80;
constexpr std::size_t most_commit_bytes = 500000;

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
    job_change wanted{record, {}};
    bool changed = false;
    for (const auto& [item, counts] : job.failures)
    {
        serving::item_failures& kept = wanted.record.failures[item];
        const serving::item_failures before = kept;
        // Counts of this node include those that it found, so that a change
        // that is made twice counts once.
        kept.failed = std::max(kept.failed, counts.failed);
        kept.impossible = std::max(kept.impossible, counts.impossible);
        changed = changed || kept != before;
    }
    std::size_t bytes = 0;
    for (const finished_item& entry : job.finished)
    {
        if (serving::is_listed(wanted.record, entry.item))
        {
            continue;
        }
        if (!wanted.writes.empty() &&
            (wanted.writes.size() >= most_commit_records ||
             bytes + entry.text.size() > most_commit_bytes))
        {
            break;
        }
        const std::int64_t position =
            static_cast<std::int64_t>(wanted.record.listed.size());
        std::vector<ports::record_write> writes =
            this->ledger.make_text_writes(job.id, position, entry.text);
        wanted.record.listed.push_back(
            {entry.item,
             entry.state,
             static_cast<std::int64_t>(writes.size())});
        std::move(
            writes.begin(), writes.end(), std::back_inserter(wanted.writes));
        for (const std::int64_t first : entry.pieces)
        {
            if (wanted.writes.size() >= most_commit_records)
            {
                // The listing matters; a piece that stays does no harm.
                break;
            }
            wanted.writes.push_back(
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
    return wanted;
}

std::vector<std::int64_t> job_runner::list_pieces(
    const active_job& job, const serving::item_progress& progress)
{
    std::vector<std::int64_t> pieces = progress.saved_pieces();
    if (job.saving)
    {
        // A save that is under way may still write it before the listing; one
        // that comes after the listing fails on the job's version.
        pieces.push_back(progress.next_piece());
    }
    return pieces;
}

job_runner::unsaved_pieces job_runner::collect_unsaved(const active_job& job)
{
    unsaved_pieces pieces;
    std::size_t bytes = 0;
    for (const auto& [item, run] : job.runs)
    {
        std::optional<serving::item_piece> piece = run->unsaved();
        if (!piece)
        {
            continue;
        }
        bytes += piece->text.size();
        if (pieces.size() >= most_commit_records ||
            (!pieces.empty() && bytes > most_commit_bytes))
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
    const result<void> saved = co_await this->ledger.save_pieces(
        job->id, make_piece_writes(job->id, pieces));
    // A commit of results that came first changed the job; nothing was saved.
    const bool again = !saved && saved.error().kind == error_kind::conflict;
    job->next_save = read_monotonic_clock() +
                     (again ? duration::zero() : duration(save_interval));
    job->saving = false;
    this->services.numbers.add(
        saved ? "text_saves_total" : "text_saves_failed_total");
    for (const auto& [item, piece] : pieces)
    {
        if (const auto run = job->runs.find(item);
            saved && run != job->runs.end())
        {
            run->second->on_saved(piece);
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
    job_store::change_function give =
        [&](const serving::job_record& record) -> std::optional<job_change>
    {
        if (!this->ownership.owns(record) || !serving::is_open(record))
        {
            return std::nullopt;
        }
        // Results that were not committed go along.
        job_change wanted =
            this->make_change(*job, record).value_or(job_change{record, {}});
        wanted.record.owner = successor.id;
        wanted.record.owner_incarnation = successor.incarnation;
        if (wanted.writes.size() + writes.size() <= most_commit_records)
        {
            std::copy(
                writes.begin(),
                writes.end(),
                std::back_inserter(wanted.writes));
        }
        return wanted;
    };
    const result<serving::job_record> given =
        co_await this->ledger.change(job->id, std::move(give), commit_limit);
    if (given)
    {
        log_event(
            event::job_handed_over,
            {{"job", job->id},
             {"to", given.value().owner},
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
        job_store::change_function list =
            [this, job](const serving::job_record& record)
        {
            return this->make_change(*job, record);
        };
        const result<serving::job_record> changed =
            co_await this->ledger.change(
                job->id, std::move(list), commit_limit);
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
            // Another node may have listed the item with a text of its own;
            // it is read from the store then.
            if (this->ownership.owns(record))
            {
                this->ledger.keep_text(
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
    if (!serving::is_open(*this->ledger.find(job->id)))
    {
        log_event(event::job_completed, {{"job", job->id}});
    }
    this->schedule();
}

} // namespace chicory::node
