#include "policy/online/runner_queue.hpp"

#include <algorithm>

namespace chicory::online
{

namespace
{

/// Minimum delay after which a refused caller is asked to retry.
constexpr duration min_retry_after = std::chrono::milliseconds(50);
/// Time for which a member that requested a batch slot counts as requesting
/// one.
constexpr duration batch_request_memory = std::chrono::seconds(1);
/// Maximum lag of a load report that is evaluated.
constexpr duration max_report_lag = std::chrono::seconds(5);

duration update_mean(duration mean, duration sample)
{
    return mean == duration::zero() ? sample : (mean * 7 + sample) / 8;
}

} // namespace

runner_queue::runner_queue(std::int64_t slots, std::int64_t harm_weight)
    : limit(slots), batch_limit(slots, harm_weight)
{
}

void runner_queue::set_bounds(std::int64_t slots, std::int64_t harm_weight)
{
    this->limit.set_max(slots);
    this->batch_limit.set_bounds(slots, harm_weight);
}

queue_actions runner_queue::arrive(const queued_run& run, time_point now)
{
    if (this->knows(run.id))
    {
        return {};
    }
    if (this->closed)
    {
        return {refuse_run{run.id, this->closed_reason, duration::zero()}};
    }
    if (run.kind == work_class::online)
    {
        return this->arrive_online(run, now);
    }
    return this->arrive_batch(run, now);
}

queue_actions runner_queue::arrive_online(const queued_run& run, time_point now)
{
    this->batch_limit.record_online_arrival(now);
    const duration wait = this->expected_wait(run.member);
    const duration retry_after = std::max(wait, min_retry_after);
    if (wait > max_wait)
    {
        return {refuse_run{run.id, reason::queue_time, retry_after}};
    }
    if (!this->can_meet(run.deadline, wait, now))
    {
        return {refuse_run{run.id, reason::deadline_too_short, retry_after}};
    }
    queue_actions actions;
    this->waiting.push(run);
    this->batch_limit.record_online_load(this->count_online(), now);
    this->advance(actions, now);
    return actions;
}

queue_actions runner_queue::arrive_batch(const queued_run& run, time_point now)
{
    const bool is_over_share = this->exceeds_batch_share(run.member, now);
    this->batch_requesters[run.member] = now;
    // Runs that cannot be preempted take at most the slots that the largest
    // recent burst leaves free.
    const bool no_slot = this->idle_batch_slots(now) <= 0 ||
                         (run.not_repeatable &&
                          this->count_not_repeatable_batch() +
                                  this->batch_limit.max_burst_size(
                                      now, batch_slot_limit::burst_memory) >=
                              this->limit.value());
    if (no_slot || is_over_share || !this->can_send(run))
    {
        const duration retry_after =
            std::max(this->mean_service_time / 4, min_retry_after);
        return {refuse_run{run.id, reason::runner_full, retry_after}};
    }
    queue_actions actions;
    this->send(run, actions, now);
    return actions;
}

void runner_queue::first_byte(const std::string& id, time_point now)
{
    const auto found = this->sent.find(id);
    if (found == this->sent.end() || found->second.has_first_byte)
    {
        return;
    }
    sent_run& run = found->second;
    run.has_first_byte = true;
    if (run.run.kind == work_class::batch)
    {
        return;
    }
    const duration latency = now - run.sent_at;
    this->mean_latency = update_mean(this->mean_latency, latency);
    this->limit.record_first_byte(latency, run.all_runs_at_start);
    if (run.all_runs_at_start <= this->limit.value())
    {
        this->batch_limit.record_online_first_byte(
            latency, run.batch_runs_at_start, now);
    }
}

queue_actions
runner_queue::finished(const std::string& id, run_result end, time_point now)
{
    const auto found = this->sent.find(id);
    if (found == this->sent.end())
    {
        return {};
    }
    const sent_run ended = found->second;
    this->batch_limit.record_online_load(this->count_online(), now);
    this->sent.erase(found);
    this->record_count(now);
    this->suspects_sent -= ended.run.suspect ? 1 : 0;
    const duration elapsed = now - ended.sent_at;
    if (ended.cancelling && end == run_result::cancelled)
    {
        this->batch_limit.record_cancel_duration(now - ended.cancelled_at);
    }
    if (ended.run.kind == work_class::online)
    {
        this->waiting.charge(ended.run.member, elapsed - ended.charged_time);
        if (end == run_result::completed)
        {
            this->update_service_time(elapsed);
            this->batch_limit.record_online_duration(elapsed);
        }
    }
    queue_actions actions;
    this->advance(actions, now);
    return actions;
}

queue_actions runner_queue::cancel(const std::string& id, time_point now)
{
    if (this->waiting.remove(id))
    {
        return {};
    }
    const auto found = this->sent.find(id);
    if (found == this->sent.end() || found->second.cancelling)
    {
        return {};
    }
    found->second.cancelling = true;
    found->second.cancelled_at = now;
    return {cancel_run{id, reason::caller_gone}};
}

queue_actions runner_queue::load_reported(
    std::int64_t in_progress, duration lag, time_point now)
{
    // The report describes the load at some time within its lag. On average
    // this many of the runs that it counts were own runs.
    const std::int64_t own = this->mean_count(now - lag, now);
    const std::int64_t other_runs =
        std::max<std::int64_t>(in_progress - own, 0);
    this->inherited = std::min(this->inherited, other_runs);
    queue_actions actions;
    this->advance(actions, now);
    return actions;
}

void runner_queue::inherit(std::int64_t in_progress)
{
    this->inherited = in_progress;
}

queue_actions runner_queue::leaving()
{
    this->closed = true;
    this->closed_reason = reason::runner_leaving;
    queue_actions actions;
    const auto all = [](const queued_run&)
    {
        return true;
    };
    for (const queued_run& run : this->waiting.remove_if(all))
    {
        actions.emplace_back(
            refuse_run{run.id, this->closed_reason, duration::zero()});
    }
    return actions;
}

void runner_queue::reopen()
{
    this->closed = false;
    this->closed_reason = reason::outcome_unknown;
}

queue_actions runner_queue::died()
{
    queue_actions actions = this->leaving();
    this->closed_reason = reason::runner_crashed;
    for (queue_action& action : actions)
    {
        std::get<refuse_run>(action).why = reason::runner_crashed;
    }
    for (const auto& [id, run] : this->sent)
    {
        actions.emplace_back(lost_run{id, run.run.fingerprint});
    }
    this->sent.clear();
    this->suspects_sent = 0;
    this->inherited = 0;
    return actions;
}

queue_actions runner_queue::tick(time_point now)
{
    queue_actions actions;
    const auto misses_deadline = [this, now](const queued_run& run)
    {
        return !this->can_meet(run.deadline, duration::zero(), now);
    };
    for (const queued_run& run : this->waiting.remove_if(misses_deadline))
    {
        const duration wait = this->expected_wait(run.member);
        actions.emplace_back(refuse_run{
            run.id,
            reason::deadline_too_short,
            std::max(wait, min_retry_after)});
    }
    for (auto& [id, run] : this->sent)
    {
        if (run.run.deadline <= now && !run.cancelling)
        {
            run.cancelling = true;
            run.cancelled_at = now;
            actions.emplace_back(cancel_run{id, reason::deadline_too_short});
        }
    }
    std::erase_if(
        this->batch_requesters,
        [now](const auto& entry)
        {
            return entry.second + batch_request_memory < now;
        });
    this->advance(actions, now);
    return actions;
}

runner_summary runner_queue::summary(time_point now) const
{
    runner_summary result;
    result.online_in_progress = this->count(work_class::online);
    result.online_queued = this->waiting.size();
    result.batch_in_progress = this->count(work_class::batch);
    result.limit = this->limit.value();
    result.idle_batch_slots =
        this->closed ? 0
                     : std::max<std::int64_t>(this->idle_batch_slots(now), 0);
    result.latency = this->mean_latency;
    return result;
}

std::int64_t runner_queue::in_progress() const
{
    return static_cast<std::int64_t>(this->sent.size());
}

bool runner_queue::knows(const std::string& id) const
{
    return this->sent.contains(id) || this->waiting.contains(id);
}

void runner_queue::advance(queue_actions& actions, time_point now)
{
    const auto is_sendable = [this](const queued_run& run)
    {
        return this->can_send(run);
    };
    // Batch runs do not reduce the capacity for online runs: they are cancelled
    // below.
    while (this->count(work_class::online) + this->inherited <
           this->limit.value())
    {
        const std::optional<queued_run> next = this->waiting.pop(is_sendable);
        if (!next)
        {
            break;
        }
        this->send(*next, actions, now);
    }
    this->preempt_batch_runs(actions, now);
}

void runner_queue::send(
    const queued_run& run, queue_actions& actions, time_point now)
{
    sent_run entry;
    entry.run = run;
    entry.sent_at = now;
    entry.batch_runs_at_start = this->count(work_class::batch);
    if (run.kind == work_class::online)
    {
        entry.charged_time = this->mean_service_time;
        this->waiting.charge(run.member, entry.charged_time);
    }
    this->sent.emplace(run.id, entry);
    this->sent.at(run.id).all_runs_at_start =
        this->in_progress() + this->inherited;
    this->suspects_sent += run.suspect ? 1 : 0;
    this->record_count(now);
    actions.emplace_back(send_run{run.id});
}

void runner_queue::record_count(time_point now)
{
    this->run_counts.emplace_back(now, this->in_progress());
    // The newest entry that is too old gives the count at the start of the
    // interval, so it is kept.
    while (this->run_counts.size() > 1 &&
           this->run_counts[1].first + max_report_lag < now)
    {
        this->run_counts.pop_front();
    }
}

std::int64_t runner_queue::mean_count(time_point from, time_point to) const
{
    duration run_time = duration::zero();
    time_point begin = from;
    std::int64_t current = 0;
    for (const auto& [at, count] : this->run_counts)
    {
        if (at > begin)
        {
            run_time += (at - begin) * current;
            begin = at;
        }
        current = count;
    }
    run_time += (to - begin) * current;
    return to > from ? run_time / (to - from) : current;
}

void runner_queue::preempt_batch_runs(queue_actions& actions, time_point now)
{
    if (this->count(work_class::online) == 0)
    {
        return;
    }
    std::vector<sent_run*> batch;
    for (auto& [id, run] : this->sent)
    {
        // A run that must not be repeated could not be run again after a
        // cancellation.
        if (run.run.kind == work_class::batch && !run.cancelling &&
            !run.run.not_repeatable)
        {
            batch.push_back(&run);
        }
    }
    std::ranges::sort(
        batch,
        [](const sent_run* left, const sent_run* right)
        {
            return left->sent_at > right->sent_at;
        });
    const std::int64_t not_repeatable_runs = this->count_not_repeatable_batch();
    std::int64_t remaining = this->count(work_class::online) + this->inherited +
                             not_repeatable_runs +
                             static_cast<std::int64_t>(batch.size());
    const std::int64_t max_remaining =
        this->limit.value() - this->batch_limit.headroom(now);
    for (sent_run* const youngest : batch)
    {
        if (remaining <= max_remaining)
        {
            return;
        }
        youngest->cancelling = true;
        youngest->cancelled_at = now;
        actions.emplace_back(
            cancel_run{youngest->run.id, reason::yielded_to_online});
        remaining -= 1;
    }
}

bool runner_queue::can_send(const queued_run& run) const
{
    return !run.suspect || this->suspects_sent == 0;
}

bool runner_queue::exceeds_batch_share(
    const std::string& member, time_point now)
{
    std::map<std::string, std::int64_t> runs_by_member;
    for (const auto& [id, run] : this->sent)
    {
        if (run.run.kind == work_class::batch)
        {
            runs_by_member[run.run.member] += 1;
        }
    }
    std::int64_t requesting_members = 1;
    bool another_has_fewer = false;
    for (const auto& [requester, requested_at] : this->batch_requesters)
    {
        if (requester == member || requested_at + batch_request_memory < now)
        {
            continue;
        }
        requesting_members += 1;
        another_has_fewer |= runs_by_member[requester] < runs_by_member[member];
    }
    const std::int64_t share =
        std::max<std::int64_t>(this->limit.value() / requesting_members, 1);
    return another_has_fewer && runs_by_member[member] >= share;
}

std::int64_t runner_queue::count(work_class kind) const
{
    return std::ranges::count_if(
        this->sent,
        [kind](const auto& entry)
        {
            return entry.second.run.kind == kind;
        });
}

std::int64_t runner_queue::count_online() const
{
    return this->count(work_class::online) + this->waiting.size();
}

std::int64_t runner_queue::count_not_repeatable_batch() const
{
    return std::ranges::count_if(
        this->sent,
        [](const auto& entry)
        {
            return entry.second.run.kind == work_class::batch &&
                   entry.second.run.not_repeatable;
        });
}

std::int64_t runner_queue::idle_batch_slots(time_point now) const
{
    const std::int64_t batch = this->count(work_class::batch);
    const std::int64_t online = this->count_online();
    const std::int64_t free = this->limit.value() - this->inherited - online -
                              batch - this->batch_limit.reserve(online, now);
    return std::min(free, this->batch_limit.limit(now) - batch);
}

duration runner_queue::expected_wait(const std::string& member) const
{
    // Fair sharing limits the number of runs ahead of a member's newest run.
    const std::int64_t own = this->waiting.size_of(member);
    const std::int64_t members = this->waiting.members() + (own == 0 ? 1 : 0);
    const std::int64_t ahead =
        std::min(this->waiting.size(), (own + 1) * members - 1);
    const std::int64_t busy = this->count(work_class::online) + this->inherited;
    const std::int64_t limit_now = this->limit.value();
    const std::int64_t excess =
        ahead + 1 - std::max<std::int64_t>(limit_now - busy, 0);
    if (excess <= 0)
    {
        return duration::zero();
    }
    return this->mean_service_time * excess / limit_now;
}

bool runner_queue::can_meet(
    time_point deadline, duration wait, time_point now) const
{
    return now + wait + this->short_service_time < deadline;
}

void runner_queue::update_service_time(duration time)
{
    this->mean_service_time = update_mean(this->mean_service_time, time);
    // Tracks the shortest runs, so that no run that could meet its deadline is
    // refused.
    const bool shorter = this->short_service_time == duration::zero() ||
                         time < this->short_service_time;
    const duration gap = time - this->short_service_time;
    this->short_service_time += shorter ? gap : gap / 64;
}

} // namespace chicory::online
