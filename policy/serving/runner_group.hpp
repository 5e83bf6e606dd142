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

/// Runners of one service at which one coordinator places work.
struct runner_group
{
    std::string service;
    /// Availability zone of the runners; empty where one group holds them all.
    std::string zone;
    /// Part of a large zone.
    std::uint32_t part = 0;

    bool operator==(const runner_group&) const = default;

    bool operator<(const runner_group& other) const
    {
        return std::tie(this->service, this->zone, this->part) <
               std::tie(other.service, other.zone, other.part);
    }
};

/// Returns a name for logs, such as `chat/zone-a/0`.
std::string to_text(const runner_group& group);

/// Sizes by which runners are divided.
struct runner_grouping_settings
{
    /// Up to so many runners stay in one group, whose coordinator knows every
    /// slot.
    std::size_t max_undivided_runners = 64;
    /// Runners in one part of a zone.
    std::size_t max_part_runners = 32;
};

/// Divides the runners of a service into groups with a coordinator each: by
/// availability zone, a large zone in parts. Answers the load patterns of
/// fleets whose requests one coordinator cannot place, and of zones that are
/// lost or cut off: placing and sending stay within the caller's zone. The
/// same runners are divided alike at every node.
class runner_grouping
{
public:
    /// `zones` holds the number of the service's runners in each zone.
    runner_grouping(
        std::string initial_service,
        const std::map<std::string, std::size_t>& zones,
        runner_grouping_settings settings = {});

    std::vector<runner_group> groups() const;

    /// Returns whether this is one of the groups. Groups of an earlier division
    /// get no new work and pass none on.
    bool has(const runner_group& group) const;

    /// Returns the group of a runner.
    runner_group
    group_of(const std::string& runner, const std::string& zone) const;

    /// Returns whether a runner is in a group that another node named. That
    /// node may see other runners and divide them otherwise; its group is then
    /// all of the zone here.
    bool holds(
        const runner_group& group,
        const std::string& runner,
        const std::string& zone) const;

    /// Returns the group that a node asks first: one of its own zone, or where
    /// that has no runner, one that all nodes of the zone agree on.
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
