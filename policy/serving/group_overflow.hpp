#ifndef CHICORY_POLICY_SERVING_GROUP_OVERFLOW_HPP
#define CHICORY_POLICY_SERVING_GROUP_OVERFLOW_HPP

#include "policy/serving/runner_group.hpp"
#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chicory::serving
{

/// State of a group that its coordinator sends to the coordinators of the
/// service's other groups.
struct group_status
{
    runner_group group;
    /// Number of nodes that use the group through this coordinator. When two
    /// nodes briefly coordinate the same group, the one with more nodes knows
    /// more of the slots in use.
    std::int64_t nodes = 0;
    /// Slots available to online requests: idle slots and slots used by items,
    /// minus the reserved slots and the requests that wait. May be negative.
    std::int64_t online_capacity = 0;
    /// Idle slots available to items. May be negative.
    std::int64_t batch_capacity = 0;
    /// The most recent runs that crashed a runner.
    std::vector<crashed_run> crashed;

    bool operator==(const group_status&) const = default;
};

/// Time limits for group statuses.
struct group_overflow_settings
{
    /// Time for which a group status is used. Some statuses are dropped or
    /// arrive late.
    duration lifetime = std::chrono::milliseconds(500);
};

/// Chooses the peer group for work that has no slot in its own group. Designed
/// for a zone with more than its share of the load, and for a group that lost
/// its runners. Redirected work is subtracted from the reported capacity, so
/// that no group receives more work than it reported capacity for. Groups that
/// redirect work concurrently spread it over all groups with free capacity.
class group_overflow
{
public:
    explicit group_overflow(group_overflow_settings initial = {});

    /// Records the status of a peer group. A status from a coordinator with
    /// fewer nodes than the recorded one is ignored while the recorded one is
    /// valid.
    void on_group_status(time_point now, const group_status& status);

    /// Returns whether any peer group has capacity for this kind of work.
    bool has_capacity(time_point now, work_kind kind) const;

    /// Returns a peer group with capacity for the work and reserves one slot of
    /// it. Returns nothing if no group has capacity. The id selects among the
    /// groups.
    std::optional<runner_group>
    reserve_capacity(time_point now, work_kind kind, const slot_id& id);

    /// Returns the one group, of `own` and the peer groups that are known, in
    /// which requests with a trait are tried. Groups that know the same peer
    /// groups choose the same one.
    runner_group choose_trial_group(
        time_point now, const runner_group& own, std::uint64_t trait) const;

private:
    struct peer_group
    {
        std::int64_t nodes = 0;
        std::int64_t online_capacity = 0;
        std::int64_t batch_capacity = 0;
        time_point received_at;
    };

    static std::int64_t capacity_of(const peer_group& entry, work_kind kind);

    group_overflow_settings settings;
    std::map<runner_group, peer_group> peer_groups;
};

} // namespace chicory::serving

#endif
