#include "policy/serving/crash_guard.hpp"

#include <algorithm>

namespace chicory::serving
{

namespace
{

/// Maximum number of concurrent runs of a trait without evidence.
constexpr std::size_t max_first_runs = 2;
/// Number of crashes after which a trait is quarantined, and the number while
/// at least `min_other_crashes` other runners crash.
constexpr std::size_t crashes_of_trait = 2;
constexpr std::size_t crashes_of_trait_among_others = 3;
constexpr std::size_t min_other_crashes = 2;
/// Number of crashed runs that are sent to other coordinators. They must fit
/// into one datagram.
constexpr std::size_t max_recent_crashes = 16;

bool contains(const request_traits& traits, std::uint64_t trait)
{
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

} // namespace

request_traits
make_traits(std::uint64_t request_digest, const part_digests& parts)
{
    request_traits traits;
    traits.reserve(parts.size() + 1);
    if (request_digest != 0)
    {
        traits.push_back(request_digest);
    }
    traits.insert(traits.end(), parts.begin(), parts.end());
    return traits;
}

crash_guard::crash_guard(crash_guard_settings initial) : settings(initial)
{
}

void crash_guard::on_begin(
    time_point now, const slot_id& run, const request_traits& traits)
{
    if (traits.empty())
    {
        return;
    }
    this->on_end(run);
    this->runs[run] = {now, traits};
    for (const std::uint64_t trait : traits)
    {
        this->runs_by_trait[trait].insert(run);
    }
}

void crash_guard::on_end(const slot_id& run)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
    {
        return;
    }
    for (const std::uint64_t trait : found->second.traits)
    {
        const auto by_trait = this->runs_by_trait.find(trait);
        if (by_trait == this->runs_by_trait.end())
        {
            continue;
        }
        by_trait->second.erase(run);
        if (by_trait->second.empty())
        {
            this->runs_by_trait.erase(by_trait);
        }
    }
    this->runs.erase(found);
}

void crash_guard::on_good_run(time_point now, const slot_id& run)
{
    if (const auto found = this->runs.find(run); found != this->runs.end())
    {
        const request_traits traits = found->second.traits;
        this->on_end(run);
        this->on_good_traits(now, traits);
    }
}

void crash_guard::on_good_traits(time_point now, const request_traits& traits)
{
    for (const std::uint64_t trait : traits)
    {
        this->withdraw_crashes(trait);
        this->end_quarantine(trait);
        const auto [entry, added] = this->known_good.try_emplace(trait, now);
        // A trait that is seen all the time is entered into the order only a
        // few times in its lifetime.
        if (!added &&
            now - entry->second < this->settings.known_good_lifetime / 4)
        {
            continue;
        }
        entry->second = now;
        this->known_good_order.emplace_back(now, trait);
    }
    this->on_tick(now);
}

void crash_guard::withdraw_crashes(std::uint64_t trait)
{
    if (this->crash_counts.erase(trait) > 0)
    {
        for (crash_state& crash : this->crashes)
        {
            std::erase(crash.traits, trait);
        }
    }
    for (auto& [other, state] : this->quarantines)
    {
        if (other != trait && state.companions.erase(trait) > 0)
        {
            this->changed.insert(other);
        }
    }
}

void crash_guard::end_quarantine(std::uint64_t trait)
{
    if (this->quarantines.erase(trait) > 0)
    {
        this->changed.insert(trait);
    }
}

void crash_guard::lift(std::uint64_t trait)
{
    this->withdraw_crashes(trait);
    this->quarantines.erase(trait);
    this->changed.erase(trait);
}

request_traits
crash_guard::choose_suspects(time_point now, const crashed_run& run) const
{
    request_traits suspects;
    const auto known_run = this->runs.find(run.id);
    for (const std::uint64_t trait : make_traits(run.request_digest, run.parts))
    {
        if (!this->is_known_good(now, trait))
        {
            suspects.push_back(trait);
            continue;
        }
        // Runners that crash at the same moment are one piece of evidence: the
        // trait had no chance to show that it is good in between.
        const auto earlier = std::find_if(
            this->crashes.begin(),
            this->crashes.end(),
            [trait](const crash_state& crash)
            {
                return contains(crash.traits, trait);
            });
        const bool is_same_moment = earlier != this->crashes.end() &&
                                    (known_run == this->runs.end() ||
                                     known_run->second.begun <= earlier->at);
        if (!is_same_moment)
        {
            suspects.push_back(trait);
        }
    }
    return suspects;
}

bool crash_guard::on_crash(time_point now, const crashed_run& run)
{
    if (!this->reported_runs.insert(run.id).second)
    {
        return false;
    }
    this->reported_order.push_back(run.id);
    if (this->reported_order.size() > this->settings.max_reported_runs)
    {
        this->reported_runs.erase(this->reported_order.front());
        this->reported_order.pop_front();
    }
    crash_state crash;
    crash.run = run;
    crash.at = now;
    crash.traits = this->choose_suspects(now, run);
    this->on_end(run.id);
    if (crash.traits.empty())
    {
        return false;
    }
    for (const std::uint64_t trait : crash.traits)
    {
        ++this->crash_counts[trait];
    }
    this->crashes.push_back(crash);
    for (const std::uint64_t trait : crash.traits)
    {
        if (this->crash_count(trait) >=
                this->crashes_to_quarantine(now, trait) ||
            this->quarantines.contains(trait))
        {
            this->quarantine(now, trait);
        }
    }
    if (this->crashes.size() > this->settings.max_crashes)
    {
        this->drop_crash(0);
    }
    return true;
}

void crash_guard::quarantine(time_point now, std::uint64_t trait)
{
    std::optional<std::set<std::uint64_t>> common;
    for (const crash_state& crash : this->crashes)
    {
        if (!contains(crash.traits, trait))
        {
            continue;
        }
        std::set<std::uint64_t> next;
        for (const std::uint64_t other : crash.traits)
        {
            if (!common || common->contains(other))
            {
                next.insert(other);
            }
        }
        common = std::move(next);
    }
    const auto [entry, added] = this->quarantines.try_emplace(trait);
    quarantine_state& state = entry->second;
    if (!added && common)
    {
        std::erase_if(
            state.companions,
            [&common](std::uint64_t other)
            {
                return !common->contains(other);
            });
    }
    else if (common)
    {
        state.companions = std::move(*common);
    }
    state.companions.insert(trait);
    // Crashes of runs that began before the quarantine do not extend it.
    if (now >= state.until)
    {
        ++state.count;
        duration length = this->settings.first_quarantine;
        for (std::int64_t step = 1;
             step < state.count && length < this->settings.max_quarantine;
             ++step)
        {
            length *= 2;
        }
        state.until = now + std::min(length, this->settings.max_quarantine);
    }
    this->changed.insert(trait);
    if (this->quarantines.size() > this->settings.max_quarantines)
    {
        const auto first = std::min_element(
            this->quarantines.begin(),
            this->quarantines.end(),
            [](const auto& left, const auto& right)
            {
                return left.second.until < right.second.until;
            });
        this->end_quarantine(first->first);
    }
}

void crash_guard::on_quarantine(
    time_point now, const trait_quarantine& quarantine)
{
    const auto [entry, added] = this->quarantines.try_emplace(quarantine.trait);
    quarantine_state& state = entry->second;
    const duration time_left = std::clamp<duration>(
        quarantine.time_left, duration::zero(), this->settings.max_quarantine);
    state.until = std::max(state.until, now + time_left);
    state.count = std::max(state.count, quarantine.count);
    const std::set<std::uint64_t> companions(
        quarantine.companions.begin(), quarantine.companions.end());
    if (added)
    {
        state.companions = companions;
    }
    else
    {
        std::erase_if(
            state.companions,
            [&companions](std::uint64_t other)
            {
                return !companions.contains(other);
            });
    }
    state.companions.insert(quarantine.trait);
}

void crash_guard::drop_crash(std::size_t index)
{
    for (const std::uint64_t trait : this->crashes[index].traits)
    {
        if (const auto count = this->crash_counts.find(trait);
            count != this->crash_counts.end() && --count->second == 0)
        {
            this->crash_counts.erase(count);
        }
    }
    this->crashes.erase(
        this->crashes.begin() + static_cast<std::ptrdiff_t>(index));
}

void crash_guard::on_tick(time_point now)
{
    while (!this->known_good_order.empty() &&
           (now - this->known_good_order.front().first >
                this->settings.known_good_lifetime ||
            this->known_good.size() > this->settings.max_known_good))
    {
        const auto [at, trait] = this->known_good_order.front();
        this->known_good_order.pop_front();
        if (const auto found = this->known_good.find(trait);
            found != this->known_good.end() && found->second == at)
        {
            this->known_good.erase(found);
        }
    }
    while (!this->crashes.empty() &&
           now - this->crashes.front().at > this->settings.crash_lifetime)
    {
        this->drop_crash(0);
    }
    std::vector<std::uint64_t> unused;
    for (const auto& [trait, state] : this->quarantines)
    {
        if (now - state.until > this->settings.unused_quarantine_lifetime)
        {
            unused.push_back(trait);
        }
    }
    for (const std::uint64_t trait : unused)
    {
        this->end_quarantine(trait);
    }
}

bool crash_guard::is_known_good(time_point now, std::uint64_t trait) const
{
    const auto found = this->known_good.find(trait);
    return found != this->known_good.end() &&
           now - found->second <= this->settings.known_good_lifetime;
}

std::size_t crash_guard::crash_count(std::uint64_t trait) const
{
    const auto found = this->crash_counts.find(trait);
    return found == this->crash_counts.end() ? 0 : found->second;
}

std::size_t
crash_guard::crashes_to_quarantine(time_point now, std::uint64_t trait) const
{
    std::set<std::string> crashed_by_trait;
    std::set<std::string> crashed;
    for (const crash_state& crash : this->crashes)
    {
        if (contains(crash.traits, trait))
        {
            crashed_by_trait.insert(crash.run.runner);
        }
        else if (now - crash.at <= this->settings.other_crash_time)
        {
            crashed.insert(crash.run.runner);
        }
    }
    const auto others = std::count_if(
        crashed.begin(),
        crashed.end(),
        [&crashed_by_trait](const std::string& runner)
        {
            return !crashed_by_trait.contains(runner);
        });
    return static_cast<std::size_t>(others) >= min_other_crashes
               ? crashes_of_trait_among_others
               : crashes_of_trait;
}

void crash_guard::on_progress(
    const std::string& runner, time_point begun, time_point progress)
{
    for (std::size_t index = this->crashes.size(); index > 0; --index)
    {
        const crash_state& crash = this->crashes[index - 1];
        if (crash.run.runner == runner && begun < crash.at &&
            progress > crash.at + this->settings.progress_tolerance)
        {
            this->drop_crash(index - 1);
        }
    }
}

std::size_t
crash_guard::runs_begun_since(time_point since, std::uint64_t trait) const
{
    const auto found = this->runs_by_trait.find(trait);
    if (found == this->runs_by_trait.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(),
        found->second.end(),
        [this, since](const slot_id& run)
        {
            return this->runs.at(run).begun > since;
        }));
}

std::optional<duration>
crash_guard::quarantine_left(time_point now, const request_traits& traits) const
{
    if (this->quarantines.empty())
    {
        return std::nullopt;
    }
    std::optional<duration> left;
    for (const std::uint64_t trait : traits)
    {
        const auto found = this->quarantines.find(trait);
        if (found == this->quarantines.end() || found->second.until <= now)
        {
            continue;
        }
        const std::set<std::uint64_t>& companions = found->second.companions;
        const bool has_all = std::all_of(
            companions.begin(),
            companions.end(),
            [&traits](std::uint64_t other)
            {
                return contains(traits, other);
            });
        if (has_all)
        {
            left = std::max(
                left.value_or(duration::zero()), found->second.until - now);
        }
    }
    return left;
}

bool crash_guard::is_suspect(const request_traits& traits) const
{
    return std::any_of(
        traits.begin(),
        traits.end(),
        [this](std::uint64_t trait)
        {
            return this->crash_counts.contains(trait) ||
                   this->quarantines.contains(trait);
        });
}

std::optional<std::uint64_t> crash_guard::find_trial_trait(
    time_point now, const request_traits& traits) const
{
    if (this->crash_counts.empty() && this->quarantines.empty())
    {
        return std::nullopt;
    }
    const auto found = std::find_if(
        traits.begin(),
        traits.end(),
        [this, now](std::uint64_t trait)
        {
            return this->is_suspect({trait}) && !this->is_cleared(now, trait);
        });
    return found == traits.end() ? std::nullopt : std::optional(*found);
}

bool crash_guard::is_cleared(time_point now, std::uint64_t trait) const
{
    return this->is_known_good(now, trait) &&
           this->crash_count(trait) < crashes_of_trait;
}

bool crash_guard::may_begin(time_point now, const request_traits& traits) const
{
    return std::all_of(
        traits.begin(),
        traits.end(),
        [this, now](std::uint64_t trait)
        {
            if (this->is_cleared(now, trait))
            {
                return true;
            }
            if (this->is_suspect({trait}))
            {
                return this->runs_begun_since(
                           now - this->settings.trial_time, trait) == 0;
            }
            return this->runs_begun_since(
                       now - this->settings.observation_time, trait) <
                   max_first_runs;
        });
}

bool crash_guard::needs_first_event(
    time_point now, const request_traits& traits) const
{
    return this->is_suspect(traits) ||
           std::any_of(
               traits.begin(),
               traits.end(),
               [this, now](std::uint64_t trait)
               {
                   return !this->is_known_good(now, trait) &&
                          this->runs_by_trait.contains(trait);
               });
}

std::size_t crash_guard::remembered_traits() const
{
    return this->known_good.size() + this->crash_counts.size() +
           this->quarantines.size();
}

std::vector<crashed_run> crash_guard::recent_crashes() const
{
    std::vector<crashed_run> recent;
    for (auto crash = this->crashes.rbegin();
         crash != this->crashes.rend() && recent.size() < max_recent_crashes;
         ++crash)
    {
        if (crash->traits.empty())
        {
            continue;
        }
        crashed_run run;
        run.id = crash->run.id;
        for (const std::uint64_t trait : crash->traits)
        {
            if (trait == crash->run.request_digest)
            {
                run.request_digest = trait;
            }
            else
            {
                run.parts.push_back(trait);
            }
        }
        recent.push_back(std::move(run));
    }
    return recent;
}

std::vector<quarantine_change> crash_guard::take_changes(time_point now)
{
    std::vector<quarantine_change> changes;
    for (const std::uint64_t trait : this->changed)
    {
        quarantine_change change;
        change.trait = trait;
        if (const auto found = this->quarantines.find(trait);
            found != this->quarantines.end())
        {
            const quarantine_state& state = found->second;
            change.quarantine = trait_quarantine{
                trait,
                {state.companions.begin(), state.companions.end()},
                state.count,
                std::max(duration::zero(), state.until - now)};
        }
        changes.push_back(std::move(change));
    }
    this->changed.clear();
    return changes;
}

} // namespace chicory::serving
