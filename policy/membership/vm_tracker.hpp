#ifndef CHICORY_POLICY_MEMBERSHIP_VM_TRACKER_HPP
#define CHICORY_POLICY_MEMBERSHIP_VM_TRACKER_HPP

#include "policy/membership/gossip_message.hpp"
#include "policy/membership/member_table.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Result of one read of the VM list.
struct list_changes
{
    std::vector<member_update> updates;
    /// True if VMs were missing for the first time. The list should then be
    /// read again soon, because a VM is removed only after a second read.
    bool read_again = false;
    /// True if so many VMs were missing that none of them is treated as
    /// removed.
    bool implausible = false;
};

/// Converts reads of the VM list, which lags, and reports from other sources
/// into updates. The first report that a VM is leaving or removed holds,
/// whatever its source; the VM returns only with a higher incarnation.
class vm_tracker
{
public:
    /// Handles one read of the list. Listed VMs must be in state alive or
    /// leaving.
    list_changes
    on_list(const std::vector<vm>& listed, const member_table& known);

    /// Handles a report that a runner is leaving, from the runner itself or
    /// from a rejected request. Returns nothing if the table already shows this
    /// or does not know the VM.
    static std::vector<member_update> on_leaving(
        const std::string& id,
        std::uint64_t incarnation,
        const member_table& known);

    /// Handles a runner's own report. An incarnation higher than the known one
    /// shows that the runner has restarted.
    static std::vector<member_update> on_report(
        const std::string& id,
        std::uint64_t incarnation,
        bool leaving,
        const member_table& known);

private:
    struct listed_state
    {
        vm listed;
        bool missed = false;
    };

    std::map<std::string, listed_state> last_listed;
};

} // namespace chicory::membership

#endif
