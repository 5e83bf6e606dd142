#ifndef CHICORY_POLICY_MEMBERSHIP_ENTRYPOINT_CHOICE_HPP
#define CHICORY_POLICY_MEMBERSHIP_ENTRYPOINT_CHOICE_HPP

#include "policy/membership/vm.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::membership
{

/// How entry addresses are chosen.
struct entrypoint_settings
{
    /// Addresses in one answer.
    std::size_t count = 4;
    /// How long a caller may keep the answer.
    duration time_to_live = std::chrono::seconds(10);
};

/// One address that a caller may use.
struct entrypoint
{
    std::string vm_id;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;

    bool operator==(const entrypoint&) const = default;
};

/// Addresses for one caller, the best first.
struct entrypoint_response
{
    std::vector<entrypoint> addresses;
    duration time_to_live = duration::zero();
};

/// Chooses the entry VMs that a caller should use: those of the preferred
/// availability zone first, then of its region, then any; within these those
/// with more memory, which have more of a processor too, and then by
/// rendezvous hashing of the caller's name, which spreads callers evenly and
/// moves few of them when a VM comes or goes. Answers the load pattern of a
/// burst that small VMs fall behind first. The last address is of another
/// zone where there is one, so that the answer outlives the loss of a zone.
/// VMs that are leaving are never named; suspects only when nothing else is
/// left.
entrypoint_response choose_entrypoints(
    const fleet_view& view,
    const std::string& region,
    const std::string& zone,
    const std::string& caller,
    const entrypoint_settings& settings);

} // namespace chicory::membership

#endif
