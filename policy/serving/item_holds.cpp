#include "policy/serving/item_holds.hpp"

#include <algorithm>

namespace chicory::serving
{

item_holds::item_holds(item_holds_settings initial) : settings(initial)
{
}

void item_holds::set_capacities(
    std::map<std::string, std::int64_t> tokens_by_service)
{
    this->capacities = std::move(tokens_by_service);
    for (auto& [service, state] : this->services)
    {
        const std::int64_t capacity = this->capacity_of(service);
        while (!state.exceeding.empty() &&
               state.exceeding.begin()->first <= capacity)
        {
            this->released.push_back({state.exceeding.begin()->second, false});
            state.exceeding.erase(state.exceeding.begin());
        }
    }
    std::erase_if(
        this->services,
        [](const auto& item)
        {
            return is_unused(item.second);
        });
}

std::int64_t item_holds::capacity_of(const std::string& service) const
{
    const auto found = this->capacities.find(service);
    return found == this->capacities.end() || found->second <= 0
               ? no_limit
               : found->second;
}

std::optional<hold_reason>
item_holds::find_reason(const item_requirement& needed, bool is_trial) const
{
    if (needed.tokens > this->capacity_of(needed.service))
    {
        return hold_reason::exceeds_memory;
    }
    const auto state = this->services.find(needed.service);
    if (!is_trial && state != this->services.end() &&
        state->second.missing_weights.contains(needed.weights))
    {
        return hold_reason::other_weights;
    }
    return std::nullopt;
}

std::optional<item_holds::current_trial>
item_holds::end_trial(service_state& state, const item_key& key)
{
    if (!state.trial || state.trial->key != key)
    {
        return std::nullopt;
    }
    return std::exchange(state.trial, std::nullopt);
}

void item_holds::schedule(
    service_state& state,
    const trial_target& target,
    trial_times& times,
    time_point when)
{
    state.trials.erase({times.next, target});
    times.next = when;
    state.trials.emplace(when, target);
}

item_holds::trial_times item_holds::next_times(
    time_point now, const std::optional<current_trial>& ended) const
{
    const duration interval = ended ? std::min(
                                          ended->times.interval * 2,
                                          this->settings.max_trial_interval)
                                    : this->settings.initial_trial_interval;
    return {now + interval, interval};
}

void item_holds::hold(
    time_point now,
    const item_requirement& needed,
    const item_key& key,
    hold_reason reason)
{
    service_state& state = this->services[needed.service];
    const std::optional<current_trial> ended = end_trial(state, key);
    const trial_times times = this->next_times(now, ended);
    switch (reason)
    {
    case hold_reason::exceeds_memory:
        state.exceeding.emplace(needed.tokens, key);
        break;
    case hold_reason::refused:
    {
        erase_refused(state, key);
        refused_item& item = state.refused[key];
        item = {needed.tokens, times};
        state.refused_by_size.emplace(needed.tokens, key);
        schedule(state, {"", key}, item.times, times.next);
        break;
    }
    case hold_reason::other_weights:
    {
        const auto [entry, added] =
            state.missing_weights.try_emplace(needed.weights);
        weights_group& group = entry->second;
        state.held_for_weights += group.items.insert(key).second ? 1 : 0;
        if (added || ended)
        {
            group.times.interval = times.interval;
            schedule(state, {needed.weights, {}}, group.times, times.next);
        }
        break;
    }
    }
    if (ended)
    {
        // A trial may end for another reason than that for which the other
        // items for its weights are held, which are then tried next.
        update_group(now, state, needed.weights);
    }
}

void item_holds::erase_refused(service_state& state, const item_key& key)
{
    if (const auto found = state.refused.find(key);
        found != state.refused.end())
    {
        state.trials.erase({found->second.times.next, {"", key}});
        state.refused_by_size.erase({found->second.tokens, key});
        state.refused.erase(found);
    }
}

void item_holds::remove(
    time_point now, const item_requirement& needed, const item_key& key)
{
    const auto found = this->services.find(needed.service);
    if (found == this->services.end())
    {
        return;
    }
    service_state& state = found->second;
    state.exceeding.erase({needed.tokens, key});
    erase_refused(state, key);
    end_trial(state, key);
    if (const auto group = state.missing_weights.find(needed.weights);
        group != state.missing_weights.end())
    {
        state.held_for_weights -= group->second.items.erase(key);
        update_group(now, state, needed.weights);
    }
    if (is_unused(state))
    {
        this->services.erase(found);
    }
}

void item_holds::update_group(
    time_point now, service_state& state, const std::string& weights)
{
    const auto entry = state.missing_weights.find(weights);
    const bool on_trial = state.trial && !state.trial->target.refused &&
                          state.trial->target.weights == weights;
    if (entry == state.missing_weights.end() || on_trial)
    {
        return;
    }
    weights_group& group = entry->second;
    const trial_target target = {weights, {}};
    if (group.items.empty())
    {
        state.trials.erase({group.times.next, target});
        state.missing_weights.erase(entry);
    }
    else if (!state.trials.contains({group.times.next, target}))
    {
        schedule(state, target, group.times, now);
    }
}

bool item_holds::is_unused(const service_state& state)
{
    return state.exceeding.empty() && state.missing_weights.empty() &&
           state.refused.empty() && !state.trial &&
           state.refused_from == no_limit;
}

bool item_holds::on_refused(
    const item_requirement& needed,
    const item_key& key,
    hold_reason reason,
    int refusals)
{
    service_state& state = this->services[needed.service];
    const bool is_trial = state.trial && state.trial->key == key;
    const bool was_suspect =
        !state.refused.empty() && needed.tokens >= state.refused_from;
    if (reason == hold_reason::refused)
    {
        state.refused_from = std::min(state.refused_from, needed.tokens);
    }
    else
    {
        this->served_weights.erase({needed.service, needed.weights});
    }
    return is_trial || was_suspect || this->find_reason(needed) ||
           refusals >= this->settings.refusals_to_hold;
}

void item_holds::release_weights(
    service_state& state, const std::string& weights)
{
    const auto entry = state.missing_weights.find(weights);
    if (entry == state.missing_weights.end())
    {
        return;
    }
    for (const item_key& key : entry->second.items)
    {
        this->released.push_back({key, false});
    }
    state.held_for_weights -= entry->second.items.size();
    state.trials.erase({entry->second.times.next, {weights, {}}});
    state.missing_weights.erase(entry);
}

void item_holds::release_refused(service_state& state, std::int64_t largest)
{
    while (!state.refused_by_size.empty() &&
           state.refused_by_size.begin()->first <= largest)
    {
        const item_key key = state.refused_by_size.begin()->second;
        this->released.push_back({key, false});
        erase_refused(state, key);
    }
}

void item_holds::on_accepted(
    const item_requirement& needed, const item_key& key)
{
    if (!needed.weights.empty())
    {
        if (this->served_weights.size() >= this->settings.max_served_weights)
        {
            this->served_weights.clear();
        }
        this->served_weights.emplace(needed.service, needed.weights);
    }
    const auto found = this->services.find(needed.service);
    if (found == this->services.end())
    {
        return;
    }
    service_state& state = found->second;
    const std::optional<current_trial> ended = end_trial(state, key);
    state.trial_interval = ended ? duration::zero() : state.trial_interval;
    if (!needed.weights.empty())
    {
        this->release_weights(state, needed.weights);
    }
    const std::int64_t twice =
        needed.tokens > no_limit / 2 ? no_limit : needed.tokens * 2;
    if (ended && ended->target.refused)
    {
        this->release_refused(state, twice);
    }
    if (needed.tokens >= state.refused_from)
    {
        state.refused_from = std::max(twice, needed.tokens + 1);
    }
    if (state.refused.empty() && !state.trial)
    {
        state.refused_from = no_limit;
    }
    if (is_unused(state))
    {
        this->services.erase(found);
    }
}

void item_holds::on_runners_changed(time_point now, const std::string& service)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    service_state& state = found->second;
    state.refused_from = no_limit;
    state.trial_interval = duration::zero();
    state.next_trial = now;
    std::set<std::pair<time_point, trial_target>> due;
    for (const auto& [when, target] : state.trials)
    {
        trial_times& times =
            target.refused ? state.refused.at(*target.refused).times
                           : state.missing_weights.at(target.weights).times;
        times.interval = this->settings.initial_trial_interval;
        times.next = std::min(when, now);
        due.emplace(times.next, target);
    }
    state.trials = std::move(due);
    if (is_unused(state))
    {
        this->services.erase(found);
    }
}

bool item_holds::is_uncertain(const item_requirement& needed) const
{
    if (!needed.weights.empty() &&
        !this->served_weights.contains({needed.service, needed.weights}))
    {
        return true;
    }
    const auto found = this->services.find(needed.service);
    return found != this->services.end() &&
           needed.tokens >= found->second.refused_from;
}

std::optional<item_holds::trial_target>
item_holds::choose_trial(time_point now, service_state& state)
{
    if (state.trial || state.trials.empty() || now < state.next_trial ||
        now < state.trials.begin()->first)
    {
        return std::nullopt;
    }
    trial_target target = state.trials.begin()->second;
    if (target.refused &&
        std::exchange(state.tried_smallest, !state.tried_smallest))
    {
        // Of many items the smallest is the most likely to succeed, but it may
        // be refused for another reason than its size, so that every other
        // trial is that of the item that was not tried for longest.
        const item_key& smallest = state.refused_by_size.begin()->second;
        target.refused = state.refused.at(smallest).times.next <= now
                             ? smallest
                             : *target.refused;
    }
    const time_point when =
        target.refused ? state.refused.at(*target.refused).times.next
                       : state.missing_weights.at(target.weights).times.next;
    state.trials.erase({when, target});
    return target;
}

void item_holds::start_trial(
    std::vector<released_item>& out, time_point now, service_state& state)
{
    const std::optional<trial_target> chosen = choose_trial(now, state);
    if (!chosen)
    {
        return;
    }
    const trial_target& target = *chosen;
    state.trial_interval = std::clamp(
        state.trial_interval * 2,
        this->settings.initial_trial_interval,
        this->settings.max_trial_interval);
    state.next_trial = now + state.trial_interval;
    if (target.refused)
    {
        const refused_item item = state.refused.at(*target.refused);
        erase_refused(state, *target.refused);
        state.trial = {target, *target.refused, item.tokens, item.times};
    }
    else
    {
        weights_group& group = state.missing_weights.at(target.weights);
        auto next = group.items.upper_bound(group.last_tried);
        next = next == group.items.end() ? group.items.begin() : next;
        group.last_tried = *next;
        state.trial = {target, *next, 0, group.times};
        group.items.erase(next);
        --state.held_for_weights;
    }
    out.push_back({state.trial->key, true});
}

std::vector<item_holds::released_item> item_holds::release(time_point now)
{
    std::vector<released_item> out = std::exchange(this->released, {});
    for (auto& [service, state] : this->services)
    {
        this->start_trial(out, now, state);
    }
    return out;
}

bool item_holds::empty() const
{
    return this->services.empty();
}

std::map<std::string, hold_counts> item_holds::count() const
{
    std::map<std::string, hold_counts> counts;
    for (const auto& [service, state] : this->services)
    {
        hold_counts found;
        found.exceeds_memory = state.exceeding.size();
        found.other_weights = state.held_for_weights;
        found.refused = state.refused.size();
        if (state.trial)
        {
            ++(state.trial->target.refused ? found.refused
                                           : found.other_weights);
        }
        if (found != hold_counts())
        {
            counts[service] = found;
        }
    }
    return counts;
}

} // namespace chicory::serving
