#include "policy/membership/entrypoint_choice.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace chicory::membership
{

namespace
{

/// Sort key of an entry VM: nearest first, then largest memory, then by a hash
/// that differs for each caller.
struct candidate
{
    int distance = 0;
    /// Bit width of the memory in MB, so that sizes within the same power of
    /// two count as equal.
    int size = 0;
    std::uint64_t caller_hash = 0;
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
        const bool is_eligible = entry.role == vm_role::entry &&
                                 entry.state == state && entry.http_port != 0;
        if (is_eligible)
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
                       left.distance,
                       right.size,
                       left.caller_hash,
                       left.entry->id) <
                   std::tie(
                       right.distance,
                       left.size,
                       right.caller_hash,
                       right.entry->id);
        });
    return candidates;
}

/// Moves the nearest candidate of another zone to the last of the `count`
/// positions that are returned.
void reserve_other_zone(std::vector<candidate>& candidates, std::size_t count)
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
        [](const candidate& remote)
        {
            return remote.distance > 0;
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
    reserve_other_zone(candidates, settings.count);
    entrypoint_response response;
    response.time_to_live = settings.time_to_live;
    for (const candidate& chosen : candidates)
    {
        if (response.addresses.size() == settings.count)
        {
            break;
        }
        const vm& entry = *chosen.entry;
        response.addresses.push_back(
            {entry.id, entry.address, entry.http_port, entry.zone});
    }
    return response;
}

} // namespace chicory::membership
