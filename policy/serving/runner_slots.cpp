#include "policy/serving/runner_slots.hpp"

#include <algorithm>
#include <tuple>

namespace chicory::serving
{

namespace
{

bool is_excluded(const slot_request& request, const std::string& runner)
{
    const std::vector<std::string>& excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), runner) !=
           excluded.end();
}

} // namespace

runner_slots::runner_slots(runner_slots_settings initial) : settings(initial)
{
}

void runner_slots::set_usable(const std::vector<slot_runner>& usable)
{
    for (auto& [id, use] : this->runners)
    {
        use.usable = false;
    }
    for (const slot_runner& runner : usable)
    {
        const auto [entry, added] = this->runners.try_emplace(runner.id);
        runner_use& use = entry->second;
        use.runner = runner;
        use.usable = true;
        if (added)
        {
            use.failures = failure_rate(this->settings.failures);
        }
    }
    std::erase_if(
        this->runners,
        [](const auto& item)
        {
            return !item.second.usable && item.second.used == 0;
        });
}

void runner_slots::begin_run(const std::string& runner)
{
    const auto [entry, added] = this->runners.try_emplace(runner);
    if (added)
    {
        entry->second.runner.id = runner;
        entry->second.usable = false;
        entry->second.failures = failure_rate(this->settings.failures);
    }
    ++entry->second.used;
}

void runner_slots::end_run(const std::string& runner)
{
    if (const auto found = this->runners.find(runner);
        found != this->runners.end())
    {
        --found->second.used;
    }
}

void runner_slots::on_outcome(
    time_point now, const std::string& runner, slot_outcome outcome)
{
    const auto found = this->runners.find(runner);
    if (found == this->runners.end())
    {
        return;
    }
    runner_use& use = found->second;
    switch (outcome)
    {
    case slot_outcome::completed:
    case slot_outcome::rejected:
        use.suspect_since.reset();
        use.last_progress = now;
        use.failures.on_success(now);
        break;
    case slot_outcome::failed:
        use.last_progress = now;
        use.failures.on_failure(now);
        break;
    case slot_outcome::unreachable:
    case slot_outcome::broken:
    case slot_outcome::crashed:
        use.suspect_since = now;
        use.backoff_until = now + this->settings.failure_backoff;
        break;
    case slot_outcome::refused:
        use.backoff_until = now + this->settings.failure_backoff;
        break;
    case slot_outcome::cancelled:
    case slot_outcome::unused:
        break;
    }
}

void runner_slots::record_silence(
    time_point now, const std::vector<held_slot>& held)
{
    for (const held_slot& slot : held)
    {
        if (const auto found = this->runners.find(slot.runner);
            found != this->runners.end())
        {
            time_point& last = found->second.last_progress;
            last = std::max(last, now - slot.silence);
        }
    }
    for (const held_slot& slot : held)
    {
        const auto found = this->runners.find(slot.runner);
        if (found == this->runners.end() || found->second.suspect_since)
        {
            continue;
        }
        const duration limit = this->settings.silence_limit;
        if (slot.silence >= limit && now - found->second.last_progress >= limit)
        {
            found->second.suspect_since = now;
        }
    }
}

bool runner_slots::may_use(
    time_point now, const runner_use& use, const slot_request& request) const
{
    if (!use.usable || now < use.backoff_until ||
        use.failures.is_in_backoff(now))
    {
        return false;
    }
    if (use.used > 0 && use.failures.is_degraded(now))
    {
        return false;
    }
    if (use.suspect_since &&
        (use.used > 0 ||
         (!request.repeatable &&
          now - *use.suspect_since < this->settings.suspect_time)))
    {
        return false;
    }
    // An item has no caller that waits, and no other end than a completed run.
    return !is_excluded(request, use.runner.id) ||
           (request.kind == work_kind::batch &&
            this->is_every_runner_excluded(request));
}

bool runner_slots::is_every_runner_excluded(const slot_request& request) const
{
    return std::all_of(
        this->runners.begin(),
        this->runners.end(),
        [&request](const auto& item)
        {
            return !item.second.usable || is_excluded(request, item.first);
        });
}

std::optional<std::string> runner_slots::choose_idle_runner(
    time_point now, const slot_request& request) const
{
    const runner_use* best = nullptr;
    // Runners that are not degraded come first, then those in the request's
    // zone, then those with the most idle slots.
    std::tuple<bool, bool, std::int64_t> best_rank;
    for (const auto& [id, use] : this->runners)
    {
        const std::int64_t idle = use.runner.slots - use.used;
        if (idle <= 0 || !this->may_use(now, use, request))
        {
            continue;
        }
        const std::tuple<bool, bool, std::int64_t> rank(
            !use.failures.is_degraded(now),
            use.runner.zone == request.zone,
            idle);
        if (best == nullptr || rank > best_rank)
        {
            best = &use;
            best_rank = rank;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->runner.id;
}

bool runner_slots::may_preempt(
    time_point now,
    const std::string& runner,
    const slot_request& request) const
{
    const auto found = this->runners.find(runner);
    return found != this->runners.end() &&
           found->second.used <= found->second.runner.slots &&
           this->may_use(now, found->second, request);
}

bool runner_slots::is_in_zone(
    const std::string& runner, const std::string& zone) const
{
    const auto found = this->runners.find(runner);
    return found != this->runners.end() && found->second.runner.zone == zone;
}

std::int64_t runner_slots::idle_slots() const
{
    std::int64_t sum = 0;
    for (const auto& [id, use] : this->runners)
    {
        sum += use.usable
                   ? std::max<std::int64_t>(0, use.runner.slots - use.used)
                   : 0;
    }
    return sum;
}

std::int64_t runner_slots::total_slots() const
{
    std::int64_t sum = 0;
    for (const auto& [id, use] : this->runners)
    {
        sum += use.usable ? use.runner.slots : 0;
    }
    return sum;
}

} // namespace chicory::serving
