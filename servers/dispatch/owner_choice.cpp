#include "servers/dispatch/owner_choice.hpp"

#include "policy/online/online.hpp"

#include <vector>

namespace chicory::dispatching
{

namespace
{

std::vector<online::placed_vm>
list_entries(const fleet_cache& fleet, membership::vm_state state)
{
    std::vector<online::placed_vm> entries;
    for (const membership::vm& candidate : fleet.get_view().vms)
    {
        if (candidate.role == membership::vm_role::entry &&
            candidate.state == state)
        {
            entries.push_back(to_placed_vm(candidate));
        }
    }
    return entries;
}

} // namespace

online::placed_vm to_placed_vm(const membership::vm& source)
{
    return {source.id, source.region, source.zone};
}

const membership::vm*
choose_owner(const fleet_cache& fleet, const membership::vm& runner)
{
    std::vector<online::placed_vm> entries =
        list_entries(fleet, membership::vm_state::alive);
    if (entries.empty())
    {
        // A leaving gate still serves the requests in progress.
        entries = list_entries(fleet, membership::vm_state::leaving);
    }
    return fleet.find_vm(online::choose_owner(to_placed_vm(runner), entries));
}

} // namespace chicory::dispatching
