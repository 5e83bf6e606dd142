#include "policy/serving/runner_group.hpp"

#include <algorithm>
#include <utility>

namespace chicory::serving
{

std::string to_text(const runner_group& group)
{
    return group.service + "/" + group.zone + "/" + std::to_string(group.part);
}

runner_grouping::runner_grouping(
    std::string initial_service,
    const std::map<std::string, std::size_t>& zones,
    runner_grouping_settings settings)
    : service(std::move(initial_service))
{
    std::size_t total = 0;
    for (const auto& [zone, count] : zones)
    {
        total += count;
    }
    if (total <= settings.max_undivided_runners)
    {
        this->parts_of_zone[""] = 1;
        return;
    }
    for (const auto& [zone, count] : zones)
    {
        if (count > 0)
        {
            this->parts_of_zone[zone] = static_cast<std::uint32_t>(
                (count + settings.max_part_runners - 1) /
                settings.max_part_runners);
        }
    }
}

std::vector<runner_group> runner_grouping::groups() const
{
    std::vector<runner_group> all;
    for (const auto& [zone, parts] : this->parts_of_zone)
    {
        for (std::uint32_t part = 0; part < parts; ++part)
        {
            all.push_back({this->service, zone, part});
        }
    }
    return all;
}

bool runner_grouping::has(const runner_group& group) const
{
    const auto found = this->parts_of_zone.find(group.zone);
    return group.service == this->service &&
           found != this->parts_of_zone.end() && group.part < found->second;
}

runner_group runner_grouping::choose_part(
    const std::string& zone, std::uint32_t parts, const std::string& key) const
{
    // Rendezvous hashing: adding or removing one part moves few keys.
    std::uint32_t best = 0;
    std::uint64_t best_rank = 0;
    for (std::uint32_t part = 0; part < parts; ++part)
    {
        const std::uint64_t rank = hash_bytes(key, part + 1);
        if (rank > best_rank)
        {
            best = part;
            best_rank = rank;
        }
    }
    return {this->service, zone, best};
}

runner_group runner_grouping::group_of(
    const std::string& runner, const std::string& zone) const
{
    const auto found = this->parts_of_zone.find(zone);
    if (found == this->parts_of_zone.end())
    {
        return {this->service, "", 0};
    }
    return this->choose_part(zone, found->second, runner);
}

bool runner_grouping::holds(
    const runner_group& group,
    const std::string& runner,
    const std::string& zone) const
{
    if (group.zone.empty())
    {
        return true;
    }
    const auto found = this->parts_of_zone.find(zone);
    const bool is_known_part =
        found != this->parts_of_zone.end() && group.part < found->second;
    return zone == group.zone &&
           (!is_known_part || this->group_of(runner, zone) == group);
}

runner_group runner_grouping::home_group(
    const std::string& node, const std::string& zone) const
{
    if (const auto found = this->parts_of_zone.find(zone);
        found != this->parts_of_zone.end())
    {
        return this->choose_part(zone, found->second, node);
    }
    const auto nearest = std::max_element(
        this->parts_of_zone.begin(),
        this->parts_of_zone.end(),
        [&zone](const auto& left, const auto& right)
        {
            return hash_bytes(left.first, hash_bytes(zone)) <
                   hash_bytes(right.first, hash_bytes(zone));
        });
    return this->choose_part(nearest->first, nearest->second, node);
}

} // namespace chicory::serving
