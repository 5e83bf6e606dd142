#include "policy/serving/runner_slots.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
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
        runner_use& use = this->find_or_add(runner.id);
        use.runner = runner;
        use.usable = true;
    }
    std::erase_if(
        this->runners,
        [](const auto& item)
        {
            return !item.second.usable && item.second.present == 0;
        });
}

runner_slots::runner_use& runner_slots::find_or_add(const std::string& runner)
{
    const auto [entry, added] = this->runners.try_emplace(runner);
    runner_use& use = entry->second;
    if (added)
    {
        use.runner.id = runner;
        use.usable = false;
        use.failures = failure_rate(this->settings.failures);
        use.speed = runner_speed(this->settings.speed);
        use.share = this->find_usual(this->share_updated_at).share;
    }
    return use;
}

void runner_slots::begin_run(const std::string& runner, std::int64_t tokens)
{
    runner_use& use = this->find_or_add(runner);
    ++use.used;
    ++use.present;
    use.tokens += tokens;
    use.peak = std::max(use.peak, use.present);
}

void runner_slots::preempt_run(const std::string& runner, std::int64_t tokens)
{
    if (const auto found = this->runners.find(runner);
        found != this->runners.end())
    {
        --found->second.used;
        found->second.preempted_tokens += tokens;
    }
}

void runner_slots::end_run(
    const std::string& runner, std::int64_t tokens, bool was_preempted)
{
    if (const auto found = this->runners.find(runner);
        found != this->runners.end())
    {
        runner_use& use = found->second;
        use.used -= was_preempted ? 0 : 1;
        use.preempted_tokens -= was_preempted ? tokens : 0;
        --use.present;
        use.tokens -= tokens;
    }
}

void runner_slots::on_load(
    time_point now, const std::string& runner, const load_sample& sample)
{
    if (const auto found = this->runners.find(runner);
        found != this->runners.end())
    {
        runner_use& use = found->second;
        const duration age = std::max(duration::zero(), sample.age);
        use.speed.on_load(
            now - age, sample.load, std::max(use.peak, use.previous_peak));
    }
}

void runner_slots::on_time(time_point now)
{
    const duration passed = now - this->share_updated_at;
    if (passed < this->settings.share_interval)
    {
        return;
    }
    this->share_updated_at = now;
    const double weight = std::min(
        1.0,
        static_cast<double>(passed.count()) /
            static_cast<double>(this->settings.share_window.count()));
    const bool peak_ends =
        now - this->peak_began_at >= this->settings.peak_window;
    this->peak_began_at = peak_ends ? now : this->peak_began_at;
    for (auto& [id, use] : this->runners)
    {
        const double share =
            static_cast<double>(use.used) /
            static_cast<double>(std::max<std::int64_t>(1, use.runner.slots));
        use.share += weight * (share - use.share);
        if (peak_ends)
        {
            use.previous_peak = use.peak;
            use.peak = use.present;
        }
    }
}

runner_slots::usual_values runner_slots::find_usual(time_point now) const
{
    usual_values usual;
    double measured = 0.0;
    double times = 0.0;
    double usable = 0.0;
    double shares = 0.0;
    for (const auto& [id, use] : this->runners)
    {
        if (!use.usable)
        {
            continue;
        }
        usable += 1.0;
        shares += use.share;
        if (use.speed.is_measured())
        {
            measured += 1.0;
            times += use.speed.average_time(now, 1.0);
        }
    }
    usual.measured = measured > 0.0;
    usual.work_time = usual.measured ? times / measured : 1.0;
    usual.share = usable > 0.0 ? shares / usable : 0.0;
    return usual;
}

double runner_slots::cost(
    time_point now,
    const runner_use& use,
    const slot_request& request,
    const usual_values& usual) const
{
    placement_candidate candidate;
    candidate.slots = use.runner.slots;
    candidate.runs =
        static_cast<double>(use.used) + use.speed.work_of_others(now, 0.0);
    candidate.past_excess = use.share - usual.share;
    candidate.work_time = use.speed.current_time(now, usual.work_time);
    candidate.is_in_zone = use.runner.zone == request.zone;
    return placement_cost(candidate, request.kind, this->settings.cost);
}

bool runner_slots::fits_memory(
    const runner_use& use, std::int64_t tokens, std::int64_t freed)
{
    return use.runner.token_capacity <= 0 || tokens <= 0 ||
           use.tokens - freed + tokens <= use.runner.token_capacity;
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
    case slot_outcome::unsuitable:
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

std::optional<std::string> runner_slots::choose_measured_runner(
    time_point now,
    const slot_request& request,
    const usual_values& usual) const
{
    const runner_use* best = nullptr;
    std::pair<bool, double> best_rank;
    for (const auto& [id, use] : this->runners)
    {
        if (use.used >= use.runner.slots || !this->may_use(now, use, request) ||
            !fits_memory(use, request.tokens, 0))
        {
            continue;
        }
        const std::pair<bool, double> rank(
            use.failures.is_degraded(now),
            this->cost(now, use, request, usual));
        if (best == nullptr || rank < best_rank)
        {
            best = &use;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->runner.id);
}

std::optional<std::string> runner_slots::choose_idle_runner(
    time_point now, const slot_request& request) const
{
    if (const usual_values usual = this->find_usual(now); usual.measured)
    {
        return this->choose_measured_runner(now, request, usual);
    }
    const runner_use* best = nullptr;
    // Runners that are not degraded come first, then those in the request's
    // zone, then those with the most idle slots.
    std::tuple<bool, bool, std::int64_t> best_rank;
    for (const auto& [id, use] : this->runners)
    {
        const std::int64_t idle = use.runner.slots - use.used;
        if (idle <= 0 || !this->may_use(now, use, request) ||
            !fits_memory(use, request.tokens, 0))
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

std::map<std::string, std::int64_t> runner_slots::preemption_costs(
    time_point now, const slot_request& request) const
{
    const usual_values usual = this->find_usual(now);
    const auto step =
        static_cast<double>(this->settings.preemption_step.count());
    std::map<std::string, std::int64_t> costs;
    for (const auto& [id, use] : this->runners)
    {
        const std::int64_t by_zone = use.runner.zone == request.zone ? 0 : 1;
        costs[id] = usual.measured
                        ? static_cast<std::int64_t>(std::floor(
                              this->cost(now, use, request, usual) / step))
                        : by_zone;
    }
    return costs;
}

bool runner_slots::has_token_limit() const
{
    return std::any_of(
        this->runners.begin(),
        this->runners.end(),
        [](const auto& item)
        {
            return item.second.usable && item.second.runner.token_capacity > 0;
        });
}

std::int64_t runner_slots::largest_memory() const
{
    std::int64_t largest = 0;
    for (const auto& [id, use] : this->runners)
    {
        if (use.usable)
        {
            const std::int64_t capacity = use.runner.token_capacity;
            largest = std::max(
                largest,
                capacity > 0 ? capacity
                             : std::numeric_limits<std::int64_t>::max());
        }
    }
    return largest;
}

bool runner_slots::exceeds_every_memory(const slot_request& request) const
{
    bool has_usable = false;
    for (const auto& [id, use] : this->runners)
    {
        if (use.usable)
        {
            has_usable = true;
            if (fits_memory(use, request.tokens, use.tokens))
            {
                return false;
            }
        }
    }
    return has_usable;
}

bool runner_slots::holds_tokens(
    const std::string& runner, const slot_request& request) const
{
    const auto found = this->runners.find(runner);
    return found != this->runners.end() &&
           fits_memory(found->second, request.tokens, 0);
}

bool runner_slots::may_hold_tokens(
    const std::string& runner,
    const slot_request& request,
    std::int64_t freed) const
{
    const auto found = this->runners.find(runner);
    return found != this->runners.end() &&
           fits_memory(
               found->second,
               request.tokens,
               found->second.preempted_tokens + freed);
}

bool runner_slots::has_memory_soon(
    time_point now, const slot_request& request) const
{
    return std::any_of(
        this->runners.begin(),
        this->runners.end(),
        [&](const auto& item)
        {
            const runner_use& use = item.second;
            return use.used < use.runner.slots &&
                   !fits_memory(use, request.tokens, 0) &&
                   fits_memory(use, request.tokens, use.preempted_tokens) &&
                   this->may_use(now, use, request);
        });
}

double runner_slots::work_time(time_point now, const std::string& runner) const
{
    const auto found = this->runners.find(runner);
    return found == this->runners.end()
               ? 1.0
               : found->second.speed.average_time(now, 1.0);
}

double runner_slots::mean_work_time(time_point now) const
{
    return this->find_usual(now).work_time;
}

runner_speeds runner_slots::speeds(time_point now) const
{
    runner_speeds speeds;
    for (const auto& [id, use] : this->runners)
    {
        if (!use.usable || !use.speed.is_measured())
        {
            continue;
        }
        const double speed = 1.0 / use.speed.average_time(now, 1.0);
        speeds.smallest =
            speeds.measured == 0 ? speed : std::min(speeds.smallest, speed);
        speeds.largest = std::max(speeds.largest, speed);
        speeds.mean += speed;
        speeds.busiest_share = std::max(speeds.busiest_share, use.share);
        speeds.mean_share += use.share;
        ++speeds.measured;
    }
    if (speeds.measured > 0)
    {
        speeds.mean /= static_cast<double>(speeds.measured);
        speeds.mean_share /= static_cast<double>(speeds.measured);
    }
    return speeds;
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
