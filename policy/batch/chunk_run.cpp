#include "policy/batch/chunk_run.hpp"

#include <algorithm>

namespace chicory::batch
{

namespace
{

constexpr std::int64_t first_success_status = 200;
constexpr std::int64_t first_redirect_status = 300;
constexpr std::int64_t first_client_error_status = 400;
constexpr std::int64_t first_server_error_status = 500;
constexpr std::uint64_t max_doublings = 16;

bool is_final(item_state state)
{
    return state == item_state::completed || state == item_state::failed ||
           state == item_state::outcome_unknown;
}

duration compute_backoff(duration first, std::uint64_t times, duration limit)
{
    const std::uint64_t doublings = std::min(times, max_doublings);
    return std::min(limit, first * (std::int64_t{1} << doublings));
}

} // namespace

chunk_run::chunk_run(
    const item_lifecycle& lifecycle,
    run_settings settings,
    chunk_record record,
    const std::vector<std::pair<std::uint64_t, item_request>>& items,
    std::uint64_t seed)
    : lifecycle(lifecycle), settings(settings), row(std::move(record)),
      generator(seed)
{
    for (const auto& [position, request] : items)
    {
        entry& item = this->items[position];
        item.request = request;
        this->enqueue(position, item);
    }
    for (std::size_t index = 0; index < this->row.members.size(); ++index)
    {
        if (const auto found = this->items.find(this->row.members[index]);
            found != this->items.end())
        {
            found->second.failures = this->row.attempts[index];
            found->second.runs = this->row.attempts[index];
        }
    }
    for (const std::uint64_t position : this->row.started)
    {
        if (const auto found = this->items.find(position);
            found != this->items.end())
        {
            found->second.runs = 1;
            this->end_unknown(
                position,
                found->second,
                "the process that had started the item was lost");
        }
    }
}

const chunk_record& chunk_run::record() const
{
    return this->row;
}

std::vector<std::uint64_t>
chunk_run::find_items_to_mark(std::size_t slots, time_point now) const
{
    if (this->closed_early)
    {
        return {};
    }
    const std::size_t group = std::clamp(
        this->items.size() / this->settings.mark_divisor,
        this->settings.min_mark_group,
        this->settings.max_mark_group);
    return this->waiting.choose_unmarked(slots, group, now);
}

void chunk_run::on_marked(
    const std::vector<std::uint64_t>& positions, chunk_record written)
{
    this->row = std::move(written);
    for (const std::uint64_t position : positions)
    {
        entry& item = this->items.at(position);
        item.marked = true;
        if (item.state == item_state::waiting)
        {
            this->apply_event(position, item, item_event::mark);
        }
    }
}

std::vector<item_attempt>
chunk_run::start_attempts(std::size_t slots, time_point now)
{
    if (this->closed_early)
    {
        return {};
    }
    std::vector<item_attempt> attempts;
    for (const std::uint64_t position : this->waiting.choose(slots, now))
    {
        entry& item = this->items.at(position);
        this->start_attempt(position, item);
        attempts.push_back({position, item.attempt, &item.request});
    }
    return attempts;
}

void chunk_run::on_response(
    std::uint64_t position,
    std::uint32_t attempt,
    std::int64_t status,
    std::string body,
    time_point now)
{
    entry* item = this->find_running(position, attempt);
    if (item == nullptr)
    {
        return;
    }
    if (status >= first_success_status && status < first_redirect_status)
    {
        ++item->runs;
        this->apply_event(position, *item, item_event::answer);
        this->set_result(
            *item, item_state::completed, status, std::move(body), {});
        return;
    }
    const std::string reason = "status " + std::to_string(status);
    const bool is_refusal = status >= first_client_error_status &&
                            status < first_server_error_status;
    if (is_refusal || item->request.not_repeatable)
    {
        ++item->runs;
        this->apply_event(position, *item, item_event::give_up);
        this->set_result(
            *item, item_state::failed, status, std::move(body), reason);
        return;
    }
    this->on_attempt_failed(position, attempt, reason, now);
}

void chunk_run::on_not_run(
    std::uint64_t position,
    std::uint32_t attempt,
    const std::string& reason,
    time_point now)
{
    entry* item = this->find_running(position, attempt);
    if (item == nullptr)
    {
        return;
    }
    ++item->refusals;
    if (item->refusals >= this->settings.max_refusals)
    {
        this->end_failed(
            position, *item, 0, "refused without a run: " + reason);
        return;
    }
    this->apply_event(position, *item, item_event::not_run);
    const duration length = compute_backoff(
        this->settings.refusal_wait,
        item->refusals - 1,
        this->settings.max_refusal_wait);
    this->delay_item(position, *item, length, now);
}

void chunk_run::on_preempted(
    std::uint64_t position, std::uint32_t attempt, time_point now)
{
    entry* item = this->find_running(position, attempt);
    if (item == nullptr)
    {
        return;
    }
    if (item->request.not_repeatable)
    {
        ++item->runs;
        this->end_unknown(
            position, *item, "the attempt was cancelled after it had started");
        return;
    }
    this->apply_event(position, *item, item_event::yield);
    this->delay_item(position, *item, this->settings.refusal_wait, now);
}

void chunk_run::on_attempt_failed(
    std::uint64_t position,
    std::uint32_t attempt,
    const std::string& reason,
    time_point now)
{
    entry* item = this->find_running(position, attempt);
    if (item == nullptr)
    {
        return;
    }
    ++item->runs;
    if (item->request.not_repeatable)
    {
        this->end_unknown(position, *item, reason);
        return;
    }
    ++item->failures;
    if (item->failures >= this->settings.max_failures)
    {
        this->end_failed(position, *item, 0, reason);
        return;
    }
    this->apply_event(position, *item, item_event::attempt_failed);
    item->record.reason = reason;
    const duration length = compute_backoff(
        this->settings.first_wait, item->failures - 1, this->settings.max_wait);
    this->delay_item(position, *item, length, now);
}

void chunk_run::on_quarantined(
    std::uint64_t position, std::uint32_t attempt, const std::string& reason)
{
    if (entry* item = this->find_running(position, attempt))
    {
        this->end_failed(position, *item, 0, reason);
    }
}

std::size_t chunk_run::ready(time_point now) const
{
    return this->closed_early ? 0 : this->waiting.ready(now);
}

std::size_t chunk_run::unsent() const
{
    return this->closed_early ? 0 : this->waiting.size();
}

std::size_t chunk_run::running() const
{
    return this->in_progress;
}

std::size_t chunk_run::held_bytes() const
{
    return this->result_bytes;
}

std::vector<std::pair<std::uint64_t, std::uint32_t>>
chunk_run::list_running() const
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> attempts;
    for (const auto& [position, item] : this->items)
    {
        if (item.state == item_state::running)
        {
            attempts.emplace_back(position, item.attempt);
        }
    }
    return attempts;
}

std::vector<std::uint64_t> chunk_run::list_sent_non_repeatable() const
{
    std::vector<std::uint64_t> positions;
    for (const auto& [position, item] : this->items)
    {
        const bool sent = item.runs > 0 || item.state == item_state::running;
        if (item.request.not_repeatable && sent)
        {
            positions.push_back(position);
        }
    }
    return positions;
}

void chunk_run::close_early()
{
    this->closed_early = true;
}

bool chunk_run::is_complete() const
{
    return std::all_of(
        this->items.begin(),
        this->items.end(),
        [this](const auto& element)
        {
            return is_final(element.second.state) ||
                   this->may_split(element.second);
        });
}

run_outcome chunk_run::finish(std::string operation)
{
    run_outcome outcome;
    outcome.committed = this->row;
    outcome.committed.state = chunk_state::committed;
    outcome.committed.operation_id = operation;
    outcome.committed.started.clear();
    std::vector<std::uint64_t> split;
    std::vector<std::uint64_t> failures;
    for (auto& [position, item] : this->items)
    {
        if (this->may_split(item))
        {
            split.push_back(position);
            failures.push_back(item.failures);
            this->apply_event(position, item, item_event::split);
            continue;
        }
        outcome.results += encode(item.record) + "\n";
        outcome.committed.completed += item.state == item_state::completed;
        outcome.committed.failed += item.state == item_state::failed;
        outcome.committed.outcome_unknown +=
            item.state == item_state::outcome_unknown;
    }
    if (!split.empty())
    {
        outcome.stragglers = this->row.split(
            std::move(split), std::move(failures), std::move(operation));
    }
    return outcome;
}

void chunk_run::abandon()
{
    for (auto& [position, item] : this->items)
    {
        if (!is_final(item.state) && item.state != item_state::split_off)
        {
            this->apply_event(position, item, item_event::abandon);
        }
    }
    this->waiting.clear();
}

chunk_run::entry*
chunk_run::find_running(std::uint64_t position, std::uint32_t attempt)
{
    const auto found = this->items.find(position);
    if (found == this->items.end() ||
        found->second.state != item_state::running ||
        found->second.attempt != attempt)
    {
        return nullptr;
    }
    return &found->second;
}

void chunk_run::apply_event(
    std::uint64_t position, entry& item, item_event event)
{
    const item_state next = this->lifecycle.next(item.state, event);
    if (item.state == item_state::running)
    {
        --this->in_progress;
    }
    if (next == item_state::running)
    {
        ++this->in_progress;
    }
    const bool sendable = next == item_state::waiting ||
                          next == item_state::marked ||
                          next == item_state::spaced;
    if (sendable)
    {
        this->enqueue(position, item);
    }
    else
    {
        this->waiting.remove(position, item.request.prefix);
    }
    item.state = next;
}

void chunk_run::start_attempt(std::uint64_t position, entry& item)
{
    ++item.attempt;
    this->apply_event(position, item, item_event::send);
}

void chunk_run::end_failed(
    std::uint64_t position,
    entry& item,
    std::int64_t status,
    const std::string& reason)
{
    this->apply_event(position, item, item_event::give_up);
    this->set_result(item, item_state::failed, status, {}, reason);
}

void chunk_run::end_unknown(
    std::uint64_t position, entry& item, const std::string& reason)
{
    this->apply_event(position, item, item_event::lost_track);
    this->set_result(item, item_state::outcome_unknown, 0, {}, reason);
}

void chunk_run::delay_item(
    std::uint64_t position, entry& item, duration length, time_point now)
{
    item.not_before = now + this->add_jitter(length);
    this->enqueue(position, item);
}

void chunk_run::enqueue(std::uint64_t position, const entry& item)
{
    this->waiting.add(
        position,
        item.request.prefix,
        item.not_before,
        item.request.not_repeatable && !item.marked);
}

duration chunk_run::add_jitter(duration length)
{
    std::uniform_int_distribution<std::int64_t> draw(
        length.count() / 2, length.count());
    return duration(draw(this->generator));
}

void chunk_run::set_result(
    entry& item,
    item_state state,
    std::int64_t status,
    std::string body,
    std::string reason)
{
    item.record.index = item.request.index;
    item.record.custom_id = item.request.custom_id;
    item.record.state = state;
    item.record.status = status;
    item.record.body = std::move(body);
    item.record.reason = std::move(reason);
    item.record.attempts = item.runs;
    this->result_bytes += item.record.body.size();
}

bool chunk_run::may_split(const entry& item) const
{
    if (this->closed_early)
    {
        return item.state == item_state::waiting ||
               item.state == item_state::marked ||
               item.state == item_state::spaced;
    }
    return item.state == item_state::spaced && !this->row.is_straggler();
}

} // namespace chicory::batch
