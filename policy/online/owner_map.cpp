#include "policy/online/owner_map.hpp"

#include "core/core.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace chicory::online
{

namespace
{

int proximity(const placed_vm& runner, const placed_vm& entry)
{
    if (runner.region != entry.region)
    {
        return 0;
    }
    return runner.zone == entry.zone ? 2 : 1;
}

} // namespace

std::string
choose_owner(const placed_vm& runner, const std::vector<placed_vm>& entries)
{
    using rank = std::tuple<int, std::uint64_t, std::string>;
    rank best = {-1, 0, ""};
    for (const placed_vm& entry : entries)
    {
        const std::uint64_t weight =
            hash_bytes(entry.id, hash_bytes(runner.id));
        const rank candidate = {proximity(runner, entry), weight, entry.id};
        best = std::max(best, candidate);
    }
    return std::get<std::string>(best);
}

std::vector<owner_change> owner_map::update(
    const std::vector<placed_vm>& entries,
    const std::vector<placed_vm>& runners)
{
    std::map<std::string, std::string> new_owners;
    for (const placed_vm& runner : runners)
    {
        new_owners[runner.id] = choose_owner(runner, entries);
    }
    std::vector<owner_change> changes;
    for (const auto& [runner, owner] : new_owners)
    {
        const std::string previous = this->owner_of(runner);
        if (previous != owner)
        {
            changes.push_back({runner, previous, owner});
        }
    }
    for (const auto& [runner, owner] : this->owners)
    {
        if (!new_owners.contains(runner) && !owner.empty())
        {
            changes.push_back({runner, owner, ""});
        }
    }
    this->owners = std::move(new_owners);
    return changes;
}

std::string owner_map::owner_of(const std::string& runner) const
{
    const auto found = this->owners.find(runner);
    return found == this->owners.end() ? std::string() : found->second;
}

std::vector<std::string> owner_map::owned_by(const std::string& entry) const
{
    std::vector<std::string> owned;
    for (const auto& [runner, owner] : this->owners)
    {
        if (owner == entry)
        {
            owned.push_back(runner);
        }
    }
    return owned;
}

} // namespace chicory::online
