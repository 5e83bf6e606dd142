#ifndef CHICORY_POLICY_SERVING_RUNNER_GROUP_HPP
#define CHICORY_POLICY_SERVING_RUNNER_GROUP_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::serving
{

/// Runners of one service whose slots are assigned by the same coordinator.
struct runner_group
{
    std::string service;
    /// Availability zone of the runners; empty if a single group contains all
    /// runners of the service.
    std::string zone;
    /// Index of the group among the parts of a large zone.
    std::uint32_t part = 0;

    bool operator==(const runner_group&) const = default;

    bool operator<(const runner_group& other) const
    {
        return std::tie(this->service, this->zone, this->part) <
               std::tie(other.service, other.zone, other.part);
    }
};

/// Returns the name of a group for logs, such as `chat/zone-a/0`.
std::string to_text(const runner_group& group);

/// Size limits of groups.
struct runner_grouping_settings
{
    /// Largest number of runners of a service that form a single group, whose
    /// coordinator knows every slot.
    std::size_t max_undivided_runners = 64;
    /// Maximum mean number of runners in each part of a zone.
    std::size_t max_part_runners = 32;
};

/// Divides the runners of a service into groups with one coordinator each: by
/// availability zone, and a large zone into parts. Designed for fleets with
/// more requests than a single coordinator can schedule, and for zones that
/// fail or are partitioned from the network: scheduling and sending stay within
/// the caller's zone. Every node with the same view of the runners divides them
/// in the same way.
class runner_grouping
{
public:
    /// `zones` maps each zone to the number of the service's runners in it.
    runner_grouping(
        std::string initial_service,
        const std::map<std::string, std::size_t>& zones,
        runner_grouping_settings settings = {});

    /// Returns all groups.
    std::vector<runner_group> groups() const;

    /// Returns whether a group is part of this grouping. A group of an earlier
    /// grouping gets no new work and does not redirect work to other groups.
    bool has(const runner_group& group) const;

    /// Returns the group of a runner.
    runner_group
    group_of(const std::string& runner, const std::string& zone) const;

    /// Returns whether a runner belongs to a group that was named by another
    /// node. That node may see other runners and divide them differently; if
    /// the group is not part of this grouping, all runners of its zone belong
    /// to it.
    bool holds(
        const runner_group& group,
        const std::string& runner,
        const std::string& zone) const;

    /// Returns the group to which a node sends its requests first: a group in
    /// its own zone, or, if the zone has no runners, a group in another zone
    /// that is the same for all nodes of the zone.
    runner_group
    home_group(const std::string& node, const std::string& zone) const;

private:
    runner_group choose_part(
        const std::string& zone,
        std::uint32_t parts,
        const std::string& key) const;

    std::string service;
    /// Number of parts of each zone.
    std::map<std::string, std::uint32_t> parts_of_zone;
};

} // namespace chicory::serving

#endif
