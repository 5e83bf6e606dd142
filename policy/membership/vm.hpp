#ifndef CHICORY_POLICY_MEMBERSHIP_VM_HPP
#define CHICORY_POLICY_MEMBERSHIP_VM_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::membership
{

/// What a VM does in the fleet.
enum class vm_role
{
    entry,
    runner,
};

inline constexpr enum_table<vm_role, 2> vm_role_names = {{
    {vm_role::entry, "entry"},
    {vm_role::runner, "runner"},
}};

/// What is believed of a VM.
enum class vm_state
{
    alive,
    suspect,
    leaving,
    dead,
};

inline constexpr enum_table<vm_state, 4> vm_state_names = {{
    {vm_state::alive, "alive"},
    {vm_state::suspect, "suspect"},
    {vm_state::leaving, "leaving"},
    {vm_state::dead, "dead"},
}};

/// One VM as the rest of the system sees it. Ports are zero where the VM does
/// not offer that service.
struct vm
{
    std::string id;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::alive;
    /// Grows each time a VM of the same name starts anew.
    std::uint64_t incarnation = 0;
    std::string region;
    std::string zone;
    /// IP address in text form.
    std::string address;
    /// Callers' HTTP on an entry VM; the backend server's HTTP on a runner.
    std::uint16_t http_port = 0;
    /// Gate's link port on an entry VM.
    std::uint16_t link_port = 0;
    /// Batch process's HTTP port on an entry VM.
    std::uint16_t batch_port = 0;
    /// Control process's UDP port on an entry VM.
    std::uint16_t gossip_port = 0;
    /// Service label of a runner.
    std::string service;
    /// Memory of an entry VM in MB; zero when unknown.
    std::uint32_t memory_mb = 0;

    bool operator==(const vm&) const = default;
};

/// A node's view of the fleet. `version` grows with each change on this node.
struct fleet_view
{
    std::uint64_t version = 0;
    std::vector<vm> vms;

    bool operator==(const fleet_view&) const = default;
};

} // namespace chicory::membership

#endif
