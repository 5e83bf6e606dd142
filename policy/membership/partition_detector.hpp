#ifndef CHICORY_POLICY_MEMBERSHIP_PARTITION_DETECTOR_HPP
#define CHICORY_POLICY_MEMBERSHIP_PARTITION_DETECTOR_HPP

#include "policy/membership/gossip_settings.hpp"
#include "policy/membership/member_table.hpp"

#include <map>
#include <string>

namespace chicory::membership
{

/// What it means that a VM spoke.
enum class return_effect
{
    none,
    /// The VM was doubted wrongly and is alive again.
    sender_alive,
    /// The cut is over: all doubt that arose in it is taken back.
    cut_over,
};

/// Notices that a node is cut off from most of the others.
///
/// A node that believes most entry VMs dead is probably cut off itself. It
/// keeps such beliefs to itself and tells them only to the VM concerned, so
/// that its return does not make the others doubt each other, and drops them
/// when several VMs that it believed dead speak to it.
class partition_detector
{
public:
    /// The table must outlive the guard.
    partition_detector(const gossip_settings& initial, member_table& table);

    /// Returns the word that may be believed of a member_update: whoever calls
    /// a VM dead that nobody suspected here may have been cut off.
    member_status soften(const member_update& heard) const;

    /// Finds out whether the node is cut off, after any change of the table.
    void judge(time_point now);

    /// Takes that a VM spoke.
    return_effect notice_return(const std::string& sender, time_point now);

private:
    bool is_cut_over(time_point now);

    gossip_settings settings;
    member_table& members;
    time_point isolated_since;
    /// VMs believed dead that spoke lately.
    std::map<std::string, time_point> returned;
};

} // namespace chicory::membership

#endif
