#include "policy/batch/slot_probes.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace chicory::batch
{

namespace
{

/// Limits of the random factor applied to pauses. Without it, processes with
/// the same schedule would probe an owner at the same time.
constexpr double min_jitter_factor = 0.25;
constexpr double max_jitter_factor = 1.75;

duration scale(duration length, double factor)
{
    return std::chrono::duration_cast<duration>(length * factor);
}

} // namespace

slot_probes::slot_probes(probe_settings settings, std::uint64_t seed)
    : settings(settings), seed(seed), generator(seed)
{
}

std::vector<std::size_t>
slot_probes::choose(const std::vector<probe_target>& targets, time_point now)
{
    this->remove_other_targets(targets);
    std::vector<candidate> due;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        state& target_state = this->find_or_add_state(targets[i], now);
        if (target_state.due <= now)
        {
            due.push_back({i, false, targets[i].is_near, &target_state});
        }
    }
    const duration max_wait = this->max_pause();
    for (candidate& found : due)
    {
        found.is_overdue = now - found.target_state->due >= max_wait;
    }
    std::sort(due.begin(), due.end(), has_priority);
    due.resize(std::min(due.size(), this->settings.max_probes));
    std::vector<std::size_t> chosen;
    for (const candidate& next : due)
    {
        next.target_state->due = now + this->settings.reply_timeout;
        chosen.push_back(next.position);
    }
    return chosen;
}

slot_probes::state&
slot_probes::find_or_add_state(const probe_target& target, time_point now)
{
    target_name name(target.owner, target.pool);
    if (const auto found = this->states.find(name); found != this->states.end())
    {
        return found->second;
    }
    state& added = this->states[std::move(name)];
    added.due = now;
    added.pause = this->settings.interval;
    added.tie_breaker =
        hash_bytes(target.pool, hash_bytes(target.owner, this->seed));
    return added;
}

void slot_probes::on_reply(
    const std::string& owner,
    const std::string& pool,
    bool has_slots,
    time_point now)
{
    const auto found = this->states.find({owner, pool});
    if (found == this->states.end())
    {
        return;
    }
    state& target_state = found->second;
    if (has_slots)
    {
        target_state.pause = this->settings.interval;
        // The target is due immediately, because the next round may start
        // slightly early.
        target_state.due = now;
        return;
    }
    const duration delay = target_state.pause - this->settings.interval;
    std::uniform_real_distribution<double> jitter(
        min_jitter_factor, max_jitter_factor);
    target_state.due = now + scale(delay, jitter(this->generator));
    target_state.pause = std::min(target_state.pause * 2, this->max_pause());
}

void slot_probes::remove_other_targets(const std::vector<probe_target>& targets)
{
    if (this->states.size() <= targets.size())
    {
        // At most as many obsolete targets as there are current ones are
        // retained.
        return;
    }
    std::set<target_name> current_names;
    for (const probe_target& target : targets)
    {
        current_names.emplace(target.owner, target.pool);
    }
    std::erase_if(
        this->states,
        [&current_names](const auto& element)
        {
            return !current_names.contains(element.first);
        });
}

duration slot_probes::max_pause() const
{
    const std::size_t owners = this->states.size();
    if (owners <= this->settings.max_probes)
    {
        return this->settings.interval;
    }
    const std::size_t stretch = std::clamp<std::size_t>(
        owners / this->settings.owners_per_stretch,
        1,
        this->settings.max_stretch);
    const auto stretched_owners = static_cast<std::int64_t>(owners * stretch);
    return this->settings.interval * stretched_owners /
           static_cast<std::int64_t>(this->settings.max_probes);
}

bool slot_probes::has_priority(const candidate& left, const candidate& right)
{
    // An overdue target has priority over near targets, so that near targets
    // with idle slots cannot starve it.
    const auto rank = [](const candidate& item)
    {
        return item.is_overdue ? 0 : item.is_near ? 1 : 2;
    };
    return std::tuple(
               rank(left),
               left.target_state->due,
               left.target_state->tie_breaker) <
           std::tuple(
               rank(right),
               right.target_state->due,
               right.target_state->tie_breaker);
}

} // namespace chicory::batch
