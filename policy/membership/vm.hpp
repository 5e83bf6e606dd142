#ifndef CHICORY_POLICY_MEMBERSHIP_VM_HPP
#define CHICORY_POLICY_MEMBERSHIP_VM_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Role of a VM in the fleet.
enum class vm_role
{
    entry,
    runner,
};

inline constexpr enum_table<vm_role, 2> vm_role_names = {{
    {vm_role::entry, "entry"},
    {vm_role::runner, "runner"},
}};

/// State of a VM as a node believes it to be.
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

/// One VM as seen by the rest of the system. A port is zero if the VM does not
/// offer that service.
struct vm
{
    std::string id;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::alive;
    /// Increases each time a VM of the same name restarts.
    std::uint64_t incarnation = 0;
    std::string region;
    std::string zone;
    /// IP address in text form.
    std::string address;
    /// HTTP port for callers on an entry VM; HTTP port of the backend server on
    /// a runner.
    std::uint16_t http_port = 0;
    /// Link port of the gate on an entry VM.
    std::uint16_t link_port = 0;
    /// HTTP port of the batch process on an entry VM; peer port of a node.
    std::uint16_t batch_port = 0;
    /// UDP port for membership messages on an entry VM.
    std::uint16_t gossip_port = 0;
    /// Service label of a runner.
    std::string service;
    /// Memory of an entry VM in MB; zero if unknown.
    std::uint32_t memory_mb = 0;

    bool operator==(const vm&) const = default;
};

/// A node's view of the fleet. `version` increases with each change on this
/// node.
struct fleet_view
{
    std::uint64_t version = 0;
    std::vector<vm> vms;

    bool operator==(const fleet_view&) const = default;
};

} // namespace chicory::membership

#endif
