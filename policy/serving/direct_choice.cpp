#include "policy/serving/direct_choice.hpp"

#include <algorithm>

namespace chicory::serving
{

direct_choice::direct_choice(direct_choice_settings initial) : settings(initial)
{
}

void direct_choice::on_load(
    time_point stated_at,
    const std::string& runner,
    const runner_load& load,
    std::int64_t own_runs)
{
    if (load.time_percent <= 0)
    {
        return;
    }
    const auto [entry, added] =
        this->runners.try_emplace(runner, this->settings.speed);
    entry->second.on_load(stated_at, load, own_runs);
    if (!added || this->runners.size() <= this->settings.max_runners)
    {
        return;
    }
    this->runners.erase(std::max_element(
        this->runners.begin(),
        this->runners.end(),
        [stated_at](const auto& left, const auto& right)
        {
            return left.second.age(stated_at) < right.second.age(stated_at);
        }));
}

bool direct_choice::is_measured(
    const std::vector<direct_candidate>& candidates) const
{
    return std::any_of(
        candidates.begin(),
        candidates.end(),
        [this](const direct_candidate& candidate)
        {
            return this->runners.contains(candidate.id);
        });
}

std::optional<std::string> direct_choice::choose(
    time_point now,
    const std::vector<direct_candidate>& candidates,
    std::uint64_t draw) const
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    double known = 0.0;
    double times = 0.0;
    double others = 0.0;
    for (const direct_candidate& candidate : candidates)
    {
        if (const auto found = this->runners.find(candidate.id);
            found != this->runners.end())
        {
            known += 1.0;
            times += found->second.average_time(now, 1.0);
            others += found->second.work_of_others(now, 0.0);
        }
    }
    const double usual_time = known > 0.0 ? times / known : 1.0;
    const double usual_work = known > 0.0 ? others / known : 0.0;
    const auto cost_of = [&](const direct_candidate& candidate)
    {
        placement_candidate seen;
        seen.slots = candidate.slots;
        seen.is_in_zone = candidate.is_in_zone;
        seen.runs = static_cast<double>(candidate.own_runs) + usual_work;
        seen.work_time = usual_time;
        if (const auto found = this->runners.find(candidate.id);
            found != this->runners.end())
        {
            seen.runs = static_cast<double>(candidate.own_runs) +
                        found->second.work_of_others(now, usual_work);
            seen.work_time = found->second.current_time(now, usual_time);
        }
        return placement_cost(seen, work_kind::online, this->settings.cost);
    };
    const std::size_t count = candidates.size();
    const std::size_t first = draw % count;
    if (count == 1)
    {
        return candidates[first].id;
    }
    const std::size_t second =
        (first + 1 + (draw / count) % (count - 1)) % count;
    return cost_of(candidates[second]) < cost_of(candidates[first])
               ? candidates[second].id
               : candidates[first].id;
}

} // namespace chicory::serving
