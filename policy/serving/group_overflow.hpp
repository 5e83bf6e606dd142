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

/// What the coordinator of a group tells those of the service's other groups.
struct group_status
{
    runner_group group;
    /// Nodes that use the group by this coordinator. Of two that coordinate one
    /// group for a moment, the one with more knows more of its slots.
    std::int64_t nodes = 0;
    /// Slots that online requests may take at once: idle ones and those of
    /// items.
    std::int64_t online_capacity = 0;
    /// Idle slots that items may take.
    std::int64_t batch_capacity = 0;
    /// The latest runs that crashed a runner.
    std::vector<crashed_run> crashed;

    bool operator==(const group_status&) const = default;
};

/// Times by which digests are judged.
struct group_overflow_settings
{
    /// A digest is used for so long; some are lost or late.
    duration lifetime = std::chrono::milliseconds(500);
};

/// Chooses the group that takes what has no slot in its own. Answers the load
/// patterns of a zone with more than its share of the load and of a group that
/// lost its runners. The room of a digest is spent as work is sent there, so
/// that nothing is sent to a group beyond what it said; several groups that
/// send at once spread over all that have room.
class group_overflow
{
public:
    explicit group_overflow(group_overflow_settings initial = {});

    void on_group_status(time_point now, const group_status& status);

    /// Returns whether a group has room for work of this kind.
    bool has_capacity(time_point now, work_kind kind) const;

    /// Returns a group with room for the work and spends a slot of it.
    std::optional<runner_group>
    reserve_capacity(time_point now, work_kind kind, const slot_id& id);

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
