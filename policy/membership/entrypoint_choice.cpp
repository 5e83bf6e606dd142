#include "policy/membership/entrypoint_choice.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace chicory::membership
{

namespace
{

/// Orders candidates: nearer first, then larger, then by the caller's own hash.
struct candidate
{
    int distance = 0;
    /// Sizes within a power of two count as equal.
    int size = 0;
    std::uint64_t mixed = 0;
    const vm* entry = nullptr;
};

int find_distance(
    const vm& entry, const std::string& region, const std::string& zone)
{
    if (entry.region != region)
    {
        return 2;
    }
    return entry.zone == zone ? 0 : 1;
}

std::vector<candidate> list_candidates(
    const fleet_view& view,
    vm_state state,
    const std::string& region,
    const std::string& zone,
    const std::string& caller)
{
    std::vector<candidate> candidates;
    for (const vm& entry : view.vms)
    {
        const bool fit = entry.role == vm_role::entry && entry.state == state &&
                         entry.http_port != 0;
        if (fit)
        {
            candidates.push_back(
                {find_distance(entry, region, zone),
                 static_cast<int>(std::bit_width(entry.memory_mb)),
                 hash_bytes(entry.id, hash_bytes(caller)),
                 &entry});
        }
    }
    std::sort(
        candidates.begin(),
        candidates.end(),
        [](const candidate& left, const candidate& right)
        {
            return std::tie(
                       left.distance, right.size, left.mixed, left.entry->id) <
                   std::tie(
                       right.distance, left.size, right.mixed, right.entry->id);
        });
    return candidates;
}

/// Moves the nearest candidate of another zone to the last place that is
/// answered.
void keep_other_zone(std::vector<candidate>& candidates, std::size_t count)
{
    if (count < 2 || candidates.size() <= count)
    {
        return;
    }
    const auto last =
        candidates.begin() + static_cast<std::ptrdiff_t>(count) - 1;
    if (last->distance > 0)
    {
        return;
    }
    const auto other = std::find_if(
        last,
        candidates.end(),
        [](const candidate& far)
        {
            return far.distance > 0;
        });
    if (other != candidates.end())
    {
        std::iter_swap(last, other);
    }
}

} // namespace

entrypoint_response choose_entrypoints(
    const fleet_view& view,
    const std::string& region,
    const std::string& zone,
    const std::string& caller,
    const entrypoint_settings& settings)
{
    std::vector<candidate> candidates =
        list_candidates(view, vm_state::alive, region, zone, caller);
    if (candidates.empty())
    {
        candidates =
            list_candidates(view, vm_state::suspect, region, zone, caller);
    }
    keep_other_zone(candidates, settings.count);
    entrypoint_response answer;
    answer.time_to_live = settings.time_to_live;
    for (const candidate& chosen : candidates)
    {
        if (answer.addresses.size() == settings.count)
        {
            break;
        }
        const vm& entry = *chosen.entry;
        answer.addresses.push_back(
            {entry.id, entry.address, entry.http_port, entry.zone});
    }
    return answer;
}

} // namespace chicory::membership
