#ifndef CHICORY_POLICY_MEMBERSHIP_MEMBER_TABLE_HPP
#define CHICORY_POLICY_MEMBERSHIP_MEMBER_TABLE_HPP

#include "policy/membership/gossip_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::membership
{

/// Source of a member update.
enum class update_source
{
    member,
    /// A list that all members read.
    list,
};

/// Status and details of one VM as this node knows them.
struct member_record
{
    vm details;
    member_status status;
    /// Time of the last change of `status`.
    time_point since;
};

/// Holds all VMs that a node knows, and the pending updates that it still has
/// to disseminate to other cluster members. Dead VMs are retained for a limited
/// time, so that a late update does not revive them.
class member_table
{
public:
    /// The salt varies the order in which updates are sent, so that nodes with
    /// the same pending updates do not all send the same subset.
    explicit member_table(std::uint64_t order_salt);

    /// Applies an update and returns whether it changed the table. An update
    /// about an unknown VM is ignored if it has no details. A change becomes a
    /// pending update, unless it came from a list that all members read.
    bool apply(
        const member_update& update,
        time_point now,
        update_source source = update_source::member);

    const std::map<std::string, member_record>& records() const;

    /// Returns the record of a VM, or null if the VM is unknown.
    const member_record* find(const std::string& id) const;

    /// Returns a counter that increases with each change.
    std::uint64_t version() const;

    /// Returns the number of entry VMs that are not dead.
    std::size_t live_entries() const;

    /// Returns the number of entry VMs, including dead ones that are still
    /// retained.
    std::size_t known_entries() const;

    /// Returns the current update about a VM, which must be in the table.
    member_update make_update(const std::string& id, bool with_details) const;

    /// Appends pending updates to a list, up to `remaining_bytes` encoded
    /// bytes, and counts the transmission. VMs that are not alive come first,
    /// then the least transmitted updates. An update is no longer pending after
    /// `limit` transmissions. This order keeps a failure from queuing behind an
    /// update about every live VM when a whole fleet starts at the same time.
    void take_updates(
        std::vector<member_update>& list,
        std::size_t& remaining_bytes,
        std::size_t limit);

    /// Returns whether any pending update has been transmitted fewer than
    /// `max_transmissions` times.
    bool has_pending_updates(std::size_t max_transmissions) const;

    /// Appends up to `count` VMs in round-robin order, whether or not they have
    /// pending updates, up to `remaining_bytes` encoded bytes. This brings
    /// views to agreement where updates were missed.
    void take_round_robin(
        std::vector<member_update>& list,
        std::size_t& remaining_bytes,
        std::size_t count);

    /// Sets whether updates that report an entry VM as suspect or dead are
    /// withheld from other members.
    void set_withholding_failures(bool withhold);

    bool is_withholding_failures() const;

    /// Marks one entry VM, or all entry VMs that became suspect or dead since a
    /// given time, as alive. The status keeps its incarnation and refutation,
    /// so this is valid only for a state that was not sent to other members.
    void mark_alive(const std::string& id, time_point now);
    void mark_alive_since(time_point since, time_point now);

    /// Removes VMs that have been dead since before the given time.
    void remove_dead(time_point before);

private:
    struct pending_update
    {
        std::size_t transmissions = 0;
        bool with_details = false;
        bool is_alive = false;
    };

    /// Sort key: whether the VM is alive, number of transmissions, a hash that
    /// varies the order of updates with equally many transmissions, and the
    /// VM's id.
    using transmit_key =
        std::tuple<bool, std::size_t, std::uint64_t, std::string>;

    transmit_key
    make_key(const pending_update& item, const std::string& id) const;
    bool is_disseminated(const member_record& record) const;
    void drop_pending(const std::string& id);
    void add_pending(const std::string& id, bool with_details);
    void adjust_entry_counts(const vm& details, vm_state state, int change);

    std::uint64_t salt;
    std::map<std::string, member_record> members;
    std::map<std::string, pending_update> pending;
    /// Pending updates in the order in which they are sent.
    std::set<transmit_key> transmit_order;
    std::string last_round_robin;
    bool withholding_failures = false;
    std::uint64_t changes = 0;
    std::size_t live_entry_count = 0;
    std::size_t known_entry_count = 0;
};

} // namespace chicory::membership

#endif
