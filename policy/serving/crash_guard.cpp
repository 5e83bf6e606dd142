#include "policy/serving/crash_guard.hpp"

#include <algorithm>
#include <cmath>

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
/// Number of crashes after which even the most popular part is quarantined. A
/// part may crash at most five runners, one of them in a later try.
constexpr std::size_t max_crashes_to_quarantine = 4;
/// Number of crashed runners after which a trait is not tried again soon.
constexpr std::int64_t max_crashes_of_part = 5;
/// Probability below which crashes with a part in common are no coincidence.
/// Up to 80 parts are popular at the same time, so that one herd of crashes in
/// about a hundred meets one of them by chance in spite of the trials.
constexpr double chance_limit = 0.01;
/// Number of crashed runs that are sent to other coordinators. They must fit
/// into one datagram.
constexpr std::size_t max_recent_crashes = 16;

bool contains(const request_traits& traits, std::uint64_t trait)
{
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

/// Returns the probability of at least `hits` of `trials` independent events of
/// a probability below one.
double chance_of_hits(std::size_t trials, std::size_t hits, double probability)
{
    double exactly = std::pow(1.0 - probability, static_cast<double>(trials));
    double fewer = 0.0;
    for (std::size_t count = 0; count < hits && count <= trials; ++count)
    {
        fewer += exactly;
        exactly *= static_cast<double>(trials - count) /
                   static_cast<double>(count + 1) * probability /
                   (1.0 - probability);
    }
    return 1.0 - fewer;
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

std::string format_crashes(const std::vector<crashed_run>& crashes)
{
    std::string text;
    for (const crashed_run& run : crashes)
    {
        text += (text.empty() ? "" : ",") + run.id.node + "/" +
                std::to_string(run.id.number) + "@" + run.runner + "/" +
                std::string(find_name(crash_stage_names, run.stage)) + "/" +
                std::to_string(run.lasted.count() / 1000) + "/" +
                std::to_string(run.age.count() / 1000);
    }
    return text;
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

double crash_guard::decay(duration passed) const
{
    return std::exp(
        -static_cast<double>(passed.count()) /
        static_cast<double>(this->settings.share_time.count()));
}

void crash_guard::on_good_traits(time_point now, const request_traits& traits)
{
    ++this->good_runs;
    this->good_weight =
        1.0 + this->good_weight * this->decay(now - this->good_weight_at);
    this->good_weight_at = now;
    for (const std::uint64_t trait : traits)
    {
        this->withdraw_crashes(trait);
        this->end_quarantine(trait);
        const auto [entry, added] =
            this->known_good.try_emplace(trait, good_trait{now, now, 0.0});
        good_trait& state = entry->second;
        state.weight = 1.0 + state.weight * this->decay(now - state.last);
        state.last = now;
        // A trait that is seen all the time is entered into the order only a
        // few times in its lifetime.
        if (!added &&
            now - state.entered < this->settings.known_good_lifetime / 4)
        {
            continue;
        }
        state.entered = now;
        this->known_good_order.emplace_back(now, trait);
    }
    this->on_tick(now);
}

double
crash_guard::share_of_good_runs(time_point now, std::uint64_t trait) const
{
    const auto found = this->known_good.find(trait);
    const double total =
        this->good_weight * this->decay(now - this->good_weight_at);
    if (found == this->known_good.end() || total <= 0.0)
    {
        return 0.0;
    }
    return std::min(
        1.0,
        found->second.weight * this->decay(now - found->second.last) / total);
}

void crash_guard::withdraw_crashes(std::uint64_t trait)
{
    if (this->crash_counts.erase(trait) > 0)
    {
        for (crash_state& crash : this->crashes)
        {
            std::erase(crash.traits, trait);
            std::erase(crash.concurrent, trait);
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

bool crash_guard::is_request_digest(std::uint64_t trait) const
{
    return std::any_of(
        this->crashes.begin(),
        this->crashes.end(),
        [trait](const crash_state& crash)
        {
            return crash.run.request_digest == trait;
        });
}

void crash_guard::choose_suspects(time_point now, crash_state& crash) const
{
    const crashed_run& run = crash.run;
    for (const std::uint64_t trait : make_traits(run.request_digest, run.parts))
    {
        const bool is_part = trait != run.request_digest;
        const auto good = this->known_good.find(trait);
        if ((is_part && run.age > this->settings.max_part_crash_age) ||
            (good != this->known_good.end() && good->second.last > crash.at))
        {
            continue;
        }
        if (!this->crash_counts.contains(trait))
        {
            crash.traits.push_back(trait);
            continue;
        }
        bool is_same_crash = false;
        bool is_concurrent = false;
        for (const crash_state& earlier : this->crashes)
        {
            if (!contains(earlier.traits, trait))
            {
                continue;
            }
            is_same_crash =
                is_same_crash ||
                (!run.runner.empty() && run.runner == earlier.run.runner &&
                 crash.at - earlier.at <= this->settings.same_crash_time);
            is_concurrent = is_concurrent || crash.begun <= earlier.at;
        }
        if (is_same_crash)
        {
            continue;
        }
        // Runners that crash at the same moment are one piece of evidence,
        // because the trait had no chance to show that it is good in between.
        // A new part whose first runs crash while no other runner does is no
        // such coincidence.
        if (is_concurrent &&
            (this->is_known_good(now, trait) ||
             (is_part && this->summarize_crashes(now, trait).others > 0)))
        {
            crash.concurrent.push_back(trait);
            continue;
        }
        crash.traits.push_back(trait);
    }
}

bool crash_guard::on_crash(time_point now, const crashed_run& run)
{
    const duration age = std::max(run.age, duration::zero());
    if (make_traits(run.request_digest, run.parts).empty() ||
        age > this->settings.max_request_crash_age ||
        !this->reported_runs.insert(run.id).second)
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
    crash.at = now - age;
    crash.begun =
        crash.at -
        std::clamp<duration>(
            run.lasted, duration::zero(), this->settings.crash_lifetime);
    if (const auto known = this->runs.find(run.id); known != this->runs.end())
    {
        crash.begun = known->second.begun;
    }
    crash.good_runs = this->good_runs;
    this->choose_suspects(now, crash);
    this->on_end(run.id);
    for (const std::uint64_t trait : crash.traits)
    {
        ++this->crash_counts[trait];
    }
    // A crash without suspects still shows that runners crash by themselves.
    this->crashes.push_back(crash);
    for (const std::uint64_t trait : crash.traits)
    {
        if (this->quarantines.contains(trait) ||
            this->should_quarantine(now, run, trait))
        {
            this->quarantine(now, crash.at, trait);
        }
    }
    for (const std::uint64_t trait : crash.concurrent)
    {
        if (!this->quarantines.contains(trait) &&
            this->should_quarantine(now, run, trait))
        {
            this->quarantine(now, crash.at, trait);
        }
    }
    if (this->crashes.size() > this->settings.max_crashes)
    {
        this->drop_crash(0);
    }
    return !crash.traits.empty();
}

bool crash_guard::should_quarantine(
    time_point now, const crashed_run& run, std::uint64_t trait) const
{
    if (trait != run.request_digest && run.age > this->settings.fresh_crash_age)
    {
        return false;
    }
    const std::size_t count = this->crash_count(trait);
    return (count >= crashes_of_trait &&
            count >= this->crashes_to_quarantine(now, trait)) ||
           (!this->is_known_good(now, trait) &&
            this->crashed_under(trait) >= max_crashes_to_quarantine);
}

void crash_guard::on_leaving(const std::string& runner)
{
    for (std::size_t index = this->crashes.size(); index > 0; --index)
    {
        if (this->crashes[index - 1].run.runner == runner)
        {
            this->drop_crash(index - 1);
        }
    }
}

quarantine_grounds
crash_guard::make_grounds(time_point now, std::uint64_t trait) const
{
    quarantine_grounds grounds;
    std::int64_t good_runs_before = this->good_runs;
    for (auto crash = this->crashes.rbegin();
         crash != this->crashes.rend() &&
         grounds.crashes.size() < static_cast<std::size_t>(max_crashes_of_part);
         ++crash)
    {
        if (!contains(crash->traits, trait) &&
            !contains(crash->concurrent, trait))
        {
            continue;
        }
        crashed_run run = crash->run;
        run.parts.clear();
        run.age = now - crash->at;
        run.lasted = crash->at - crash->begun;
        grounds.crashes.insert(grounds.crashes.begin(), std::move(run));
        good_runs_before = crash->good_runs;
    }
    grounds.good_runs = this->good_runs - good_runs_before;
    grounds.share_permille = static_cast<std::int64_t>(
        std::lround(this->share_of_good_runs(now, trait) * 1000.0));
    grounds.other_runners =
        static_cast<std::int64_t>(this->summarize_crashes(now, trait).others);
    return grounds;
}

void crash_guard::quarantine(
    time_point now, time_point crashed_at, std::uint64_t trait)
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
    state.grounds = this->make_grounds(now, trait);
    state.crashes = std::max(
        state.crashes + (added ? 0 : 1),
        static_cast<std::int64_t>(
            this->is_known_good(now, trait) ? this->crash_count(trait)
                                            : this->crashed_under(trait)));
    // Crashes of runs that began before the quarantine do not extend it.
    if (crashed_at >= state.until)
    {
        ++state.count;
        duration length = this->settings.first_quarantine;
        for (std::int64_t step = 1;
             step < state.count && length < this->settings.max_quarantine;
             ++step)
        {
            length *= this->settings.quarantine_factor;
        }
        state.until = now + std::min(length, this->settings.max_quarantine);
    }
    if (state.crashes >= max_crashes_of_part)
    {
        state.until =
            std::max(state.until, now + this->settings.max_quarantine);
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
    state.crashes = std::max(state.crashes, quarantine.crashes);
    if (!quarantine.grounds.crashes.empty())
    {
        state.grounds = quarantine.grounds;
    }
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
            found != this->known_good.end() && found->second.entered == at)
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
           now - found->second.last <= this->settings.known_good_lifetime;
}

std::size_t crash_guard::crash_count(std::uint64_t trait) const
{
    const auto found = this->crash_counts.find(trait);
    return found == this->crash_counts.end() ? 0 : found->second;
}

std::size_t crash_guard::crashed_under(std::uint64_t trait) const
{
    std::set<std::string> crashed;
    std::size_t unnamed = 0;
    for (const crash_state& crash : this->crashes)
    {
        if (!contains(crash.traits, trait) &&
            !contains(crash.concurrent, trait))
        {
            continue;
        }
        if (crash.run.runner.empty())
        {
            ++unnamed;
        }
        else
        {
            crashed.insert(crash.run.runner);
        }
    }
    return crashed.size() + unnamed;
}

crash_guard::crash_summary
crash_guard::summarize_crashes(time_point now, std::uint64_t trait) const
{
    std::set<std::string> with_trait;
    std::set<std::string> recent;
    std::size_t runs_in_time = 0;
    for (const crash_state& crash : this->crashes)
    {
        if (contains(crash.traits, trait))
        {
            with_trait.insert(crash.run.runner);
        }
        if (now - crash.at <= this->settings.other_crash_time)
        {
            recent.insert(crash.run.runner);
            ++runs_in_time;
        }
    }
    crash_summary summary;
    summary.with_trait = with_trait.size();
    summary.others = static_cast<std::size_t>(std::count_if(
        recent.begin(),
        recent.end(),
        [&with_trait](const std::string& runner)
        {
            return !with_trait.contains(runner);
        }));
    summary.runs_per_runner = recent.empty()
                                  ? 0.0
                                  : static_cast<double>(runs_in_time) /
                                        static_cast<double>(recent.size());
    return summary;
}

std::size_t
crash_guard::crashes_to_quarantine(time_point now, std::uint64_t trait) const
{
    const crash_summary crashed = this->summarize_crashes(now, trait);
    if (crashed.others < min_other_crashes)
    {
        return crashes_of_trait;
    }
    std::size_t needed = crashes_of_trait_among_others;
    if (this->is_request_digest(trait))
    {
        return needed;
    }
    // Probability that a crashed runner had a run with the trait by chance.
    const double by_chance =
        1.0 - std::pow(
                  1.0 - this->share_of_good_runs(now, trait),
                  crashed.runs_per_runner);
    const std::size_t runners = crashed.others + crashed.with_trait;
    while (needed < max_crashes_to_quarantine &&
           (by_chance >= 1.0 ||
            chance_of_hits(runners, needed, by_chance) > chance_limit))
    {
        ++needed;
    }
    return needed;
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

std::set<std::string> crash_guard::crashed_runners() const
{
    std::set<std::string> runners;
    for (const crash_state& crash : this->crashes)
    {
        runners.insert(crash.run.runner);
    }
    return runners;
}

std::vector<crashed_run> crash_guard::recent_crashes(time_point now) const
{
    std::vector<crashed_run> recent;
    for (auto crash = this->crashes.rbegin();
         crash != this->crashes.rend() && recent.size() < max_recent_crashes;
         ++crash)
    {
        const duration age = now - crash->at;
        crashed_run run;
        run.id = crash->run.id;
        run.runner = crash->run.runner;
        run.age = age;
        run.lasted = crash->at - crash->begun;
        run.stage = crash->run.stage;
        for (const std::uint64_t trait : crash->traits)
        {
            if (trait != crash->run.request_digest)
            {
                if (age <= this->settings.max_part_crash_age)
                {
                    run.parts.push_back(trait);
                }
            }
            else if (age <= this->settings.max_request_crash_age)
            {
                run.request_digest = trait;
            }
        }
        if (run.request_digest != 0 || !run.parts.empty())
        {
            recent.push_back(std::move(run));
        }
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
                std::max(duration::zero(), state.until - now),
                state.crashes,
                state.grounds};
        }
        changes.push_back(std::move(change));
    }
    this->changed.clear();
    return changes;
}

} // namespace chicory::serving
