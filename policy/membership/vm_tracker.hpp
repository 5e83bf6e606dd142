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

/// What a read of the VM list led to.
struct list_changes
{
    std::vector<member_update> updates;
    /// True when VMs were missing for the first time: the list should be read
    /// again soon, because only a second read takes them away.
    bool read_again = false;
    /// True when so many VMs were missing that the read is not believed.
    bool doubtful = false;
};

/// Turns reads of the lagging VM list, and words from elsewhere, into updates.
/// The first word that a VM is leaving or gone holds, from whatever source;
/// the VM is back only with a higher incarnation.
class vm_tracker
{
public:
    /// Takes one read of the list. VMs that are listed count with the state
    /// alive or leaving.
    list_changes
    on_list(const std::vector<vm>& listed, const member_table& known);

    /// Takes what a runner or a refusal said: that the runner is leaving.
    /// Returns nothing when the table knows it already or knows no such VM.
    static std::vector<member_update> on_leaving(
        const std::string& id,
        std::uint64_t incarnation,
        const member_table& known);

    /// Takes the incarnation in a runner's own report. A higher one than
    /// known shows that the runner started anew.
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

    std::map<std::string, listed_state> last;
};

} // namespace chicory::membership

#endif
