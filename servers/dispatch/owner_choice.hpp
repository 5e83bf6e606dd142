#ifndef CHICORY_SERVERS_DISPATCH_OWNER_CHOICE_HPP
#define CHICORY_SERVERS_DISPATCH_OWNER_CHOICE_HPP

#include "policy/online/online.hpp"
#include "servers/dispatch/fleet_cache.hpp"

namespace chicory::dispatching
{

/// Converts a VM to the form that the online library uses.
online::placed_vm to_placed_vm(const membership::vm& source);

/// Returns the entry VM whose gate owns a runner, by the rule of
/// online::choose_owner over the entry VMs that are alive, or over those that
/// are leaving when none is alive. Returns null when there is none.
const membership::vm*
choose_owner(const fleet_cache& fleet, const membership::vm& runner);

} // namespace chicory::dispatching

#endif
