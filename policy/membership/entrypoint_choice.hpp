#ifndef CHICORY_POLICY_MEMBERSHIP_ENTRYPOINT_CHOICE_HPP
#define CHICORY_POLICY_MEMBERSHIP_ENTRYPOINT_CHOICE_HPP

#include "policy/membership/vm.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Settings for the choice of entry addresses.
struct entrypoint_settings
{
    /// Maximum number of addresses in one response.
    std::size_t count = 4;
    /// Time for which a caller may cache the response.
    duration time_to_live = std::chrono::seconds(10);
};

/// Address of one entry VM that a caller may use.
struct entrypoint
{
    std::string vm_id;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;

    bool operator==(const entrypoint&) const = default;
};

/// Entry addresses for one caller, the preferred address first.
struct entrypoint_response
{
    std::vector<entrypoint> addresses;
    duration time_to_live = duration::zero();
};

/// Chooses the entry VMs that a caller should use. VMs in the caller's
/// availability zone come first, then those in its region, then all others.
/// Within each of these, VMs with more memory come first, because they also
/// have a larger share of a processor; small VMs are the first to fall behind
/// in a burst. The remaining order follows rendezvous hashing of the caller's
/// name, which spreads callers evenly and moves few of them when a VM is added
/// or removed.
///
/// The last address belongs to another zone if there is one, so that the
/// response stays usable when a zone fails. VMs that are leaving are never
/// returned; suspected VMs are returned only when no VM is alive.
entrypoint_response choose_entrypoints(
    const fleet_view& view,
    const std::string& region,
    const std::string& zone,
    const std::string& caller,
    const entrypoint_settings& settings);

} // namespace chicory::membership

#endif
