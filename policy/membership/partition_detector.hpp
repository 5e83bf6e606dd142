#ifndef CHICORY_POLICY_MEMBERSHIP_PARTITION_DETECTOR_HPP
#define CHICORY_POLICY_MEMBERSHIP_PARTITION_DETECTOR_HPP

#include "policy/membership/gossip_settings.hpp"
#include "policy/membership/member_table.hpp"

#include <map>
#include <string>

namespace chicory::membership
{

/// Effect of a message from a cluster member on the table.
enum class contact_effect
{
    none,
    /// The sender was wrongly believed suspect or dead and is alive again.
    sender_alive,
    /// The partition has healed: all entry VMs that became suspect or dead
    /// during it are alive again.
    partition_healed,
};

/// Detects that this node is isolated from most other cluster members.
///
/// A node that believes most entry VMs dead is probably isolated itself. It
/// withholds such states from all members but the VM concerned, so that its
/// return does not make other members suspect each other. It discards them when
/// several VMs that it believed dead send messages again.
class partition_detector
{
public:
    /// The table must outlive the detector.
    partition_detector(
        const gossip_settings& initial_settings, member_table& table);

    /// Returns the status to apply for an update. A death is downgraded to a
    /// suspicion when this node does not suspect the VM, because the member
    /// that declared it dead may have been isolated.
    member_status downgrade_sudden_death(const member_update& update) const;

    /// Updates whether the node is isolated; must be called after each change
    /// of the table.
    void evaluate(time_point now);

    /// Handles a message from a VM: marks the sender alive if this node is
    /// isolated, and checks whether the partition has healed.
    contact_effect on_contact(const std::string& sender, time_point now);

private:
    bool is_partition_healed(time_point now);

    gossip_settings settings;
    member_table& members;
    time_point isolated_since;
    /// VMs believed dead that sent a message, with the time of the message.
    std::map<std::string, time_point> returned;
};

} // namespace chicory::membership

#endif
