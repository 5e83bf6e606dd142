#include "policy/batch/commit_queue.hpp"

#include <algorithm>
#include <utility>

namespace chicory::batch
{

namespace
{

constexpr std::uint64_t max_doublings = 16;

const found_row*
find_row(const std::vector<found_row>& rows, const std::string& key)
{
    for (const found_row& row : rows)
    {
        if (row.key == key)
        {
            return &row;
        }
    }
    return nullptr;
}

} // namespace

commit_queue::commit_queue(commit_settings settings, std::uint64_t seed)
    : settings(settings), generator(seed)
{
}

void commit_queue::push(finished_chunk chunk)
{
    commit_request& request = chunk.request;
    request.committed.results = results_name(
        request.committed.job, request.committed.name, request.token);
    this->bytes += chunk.results.size();
    this->entries.push_back(
        {++this->last_id, std::move(chunk), stage::finished});
}

std::optional<commit_action> commit_queue::next(time_point now)
{
    if (this->action_in_progress || this->entries.empty() ||
        now < this->not_before)
    {
        return std::nullopt;
    }
    this->action_in_progress = true;
    for (const entry& item : this->entries)
    {
        if (item.current_stage == stage::uncertain)
        {
            return read_back{item.id, item.chunk.request.chunk_key};
        }
    }
    for (const entry& item : this->entries)
    {
        if (item.current_stage == stage::finished)
        {
            return store_results{
                item.id,
                item.chunk.request.committed.results,
                item.chunk.results};
        }
    }
    return this->plan_group();
}

void commit_queue::on_stored(
    std::uint64_t id, write_outcome outcome, time_point now)
{
    this->action_in_progress = false;
    if (outcome != write_outcome::done)
    {
        // The object name is unique to this content, so storing it again is
        // safe.
        this->back_off(now);
        return;
    }
    this->reset_backoff();
    if (entry* item = this->find(id))
    {
        item->current_stage = stage::stored;
    }
}

void commit_queue::on_transaction(
    const std::vector<std::uint64_t>& ids,
    write_outcome outcome,
    const std::vector<found_row>& conflicts,
    time_point now)
{
    this->action_in_progress = false;
    if (outcome != write_outcome::done)
    {
        this->back_off(now);
    }
    else
    {
        this->reset_backoff();
    }
    for (const std::uint64_t id : ids)
    {
        entry* item = this->find(id);
        if (item == nullptr || outcome == write_outcome::no_effect)
        {
            continue;
        }
        if (outcome == write_outcome::unknown)
        {
            item->current_stage = stage::uncertain;
            continue;
        }
        if (conflicts.empty())
        {
            this->resolve(id, chunk_outcome::committed);
            continue;
        }
        const commit_request& request = item->chunk.request;
        if (const found_row* row = find_row(conflicts, request.chunk_key))
        {
            this->resolve_by_row(*item, *row);
        }
        else if (find_row(conflicts, request.open_key) != nullptr)
        {
            this->resolve(id, chunk_outcome::job_over);
        }
    }
}

void commit_queue::on_read(
    std::uint64_t id, const std::optional<found_row>& row, time_point now)
{
    this->action_in_progress = false;
    if (!row)
    {
        this->back_off(now);
        return;
    }
    this->reset_backoff();
    if (entry* item = this->find(id))
    {
        this->resolve_by_row(*item, *row);
    }
}

std::vector<resolved_chunk> commit_queue::take_resolved()
{
    return std::exchange(this->resolved, {});
}

bool commit_queue::holds(std::string_view job, std::string_view name) const
{
    return std::any_of(
        this->entries.begin(),
        this->entries.end(),
        [job, name](const entry& item)
        {
            const chunk_record& record = item.chunk.request.committed;
            return record.job == job && record.name == name;
        });
}

std::size_t commit_queue::size() const
{
    return this->entries.size();
}

std::size_t commit_queue::held_bytes() const
{
    return this->bytes;
}

bool commit_queue::is_full() const
{
    return this->bytes >= this->settings.max_bytes;
}

commit_queue::entry* commit_queue::find(std::uint64_t id)
{
    for (entry& item : this->entries)
    {
        if (item.id == id)
        {
            return &item;
        }
    }
    return nullptr;
}

void commit_queue::resolve(std::uint64_t id, chunk_outcome outcome)
{
    const auto found = std::find_if(
        this->entries.begin(),
        this->entries.end(),
        [id](const entry& item)
        {
            return item.id == id;
        });
    const chunk_record& record = found->chunk.request.committed;
    this->resolved.push_back({record.job, record.name, outcome});
    this->bytes -= found->chunk.results.size();
    this->entries.erase(found);
}

void commit_queue::resolve_by_row(entry& item, const found_row& chunk_row)
{
    const commit_request& request = item.chunk.request;
    switch (check_write_effect(
        chunk_row, request.token, request.committed.operation_id))
    {
    case write_effect::no_effect:
        item.current_stage = stage::stored;
        return;
    case write_effect::took_effect:
        this->resolve(item.id, chunk_outcome::committed);
        return;
    case write_effect::superseded:
        this->resolve(item.id, chunk_outcome::lease_lost);
        return;
    }
}

commit_action commit_queue::plan_group()
{
    commit_chunks action;
    for (const entry& item : this->entries)
    {
        if (action.ids.size() == this->settings.max_chunks_per_transaction)
        {
            break;
        }
        action.ids.push_back(item.id);
        plan_commit(action.plan, item.chunk.request);
    }
    return action;
}

void commit_queue::back_off(time_point now)
{
    const std::uint64_t doublings = std::min(this->failures, max_doublings);
    ++this->failures;
    const duration length = std::min(
        this->settings.max_wait,
        this->settings.first_wait * (std::int64_t{1} << doublings));
    std::uniform_int_distribution<std::int64_t> draw(
        length.count() / 2, length.count());
    this->not_before = now + duration(draw(this->generator));
}

void commit_queue::reset_backoff()
{
    this->failures = 0;
    this->not_before = {};
}

} // namespace chicory::batch
