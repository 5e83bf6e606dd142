#ifndef CHICORY_POLICY_SERVING_QUOTA_CONTACTS_HPP
#define CHICORY_POLICY_SERVING_QUOTA_CONTACTS_HPP

#include "policy/serving/organisation_quota.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::serving
{

/// Parameters of `quota_contacts`.
struct quota_contacts_settings
{
    /// Time for which a status proves contact: three statuses and a delay.
    duration status_lifetime = std::chrono::milliseconds(500);
    /// Time for which a node that disappeared without leaving counts as a node
    /// that may be cut off and in use.
    duration lost_lifetime = std::chrono::seconds(60);
    /// Time after a takeover within which the others respond.
    duration takeover_grace = std::chrono::milliseconds(300);
    /// Shortest suspension that counts: about the time after which nodes ask
    /// another coordinator.
    duration min_suspension = std::chrono::milliseconds(90);
};

/// Minimum number of nodes that exchange statuses, so that the failure of two
/// of them leaves a majority.
inline constexpr std::size_t min_quota_participants = 5;

/// Returns the number of distinct first nodes of the orders.
std::size_t count_preferred_coordinators(
    const std::vector<const std::vector<std::string>*>& orders);

/// Returns the nodes that exchange quota statuses: the preferred coordinator of
/// each group, and the next ones in order while there are fewer than
/// `min_quota_participants`. `orders` are the coordinators of each group in
/// order of preference.
std::vector<std::string> choose_quota_participants(
    const std::vector<const std::vector<std::string>*>& orders);

/// Decides whether this node is in contact with the majority of the fleet.
/// Designed for a node or a part of the fleet that is cut off and becomes its
/// own coordinator: as the others may grant the whole quota, the smaller part
/// grants only its part of a reserve. Two conditions are needed: statuses from
/// the majority of the participants, which fail within half a second but only
/// until the smaller part has forgotten the others, and more than half of the
/// nodes that were live recently.
class quota_contacts
{
public:
    explicit quota_contacts(
        std::string node, quota_contacts_settings initial = {});

    /// Sets the nodes that are live, this one included, and the nodes that
    /// announced that they are leaving.
    void set_nodes(
        time_point now,
        const std::vector<std::string>& live,
        const std::vector<std::string>& leaving);

    /// Sets the nodes that exchange statuses, and how many of them are
    /// preferred coordinators of a group.
    void set_participants(
        std::vector<std::string> nodes, std::size_t preferred_coordinators);

    /// Records a status from another node. Returns whether that node was not
    /// in contact before.
    bool on_heard(time_point now, const std::string& node);

    /// Records that this node takes over a group.
    void on_takeover(time_point now);

    /// Compares the process's clock with one that runs on while the machine is
    /// suspended. Returns whether the machine was suspended since the last
    /// call; what was heard before proves no contact then. Designed for a
    /// coordinator that is suspended and does not know that its successor
    /// granted the quotas meanwhile.
    bool on_clocks(time_point now, boot_time_point boot_now);

    quota_contact find_contact(time_point now) const;

    /// Returns whether this node is a participant.
    bool is_participant() const;

    /// Returns the nodes to which statuses are sent: the participants and the
    /// nodes from which statuses arrive.
    std::vector<std::string> receivers(time_point now) const;

    /// Returns the number of nodes that may be in use.
    std::size_t known_nodes() const;

private:
    bool is_heard(time_point now, const std::string& node) const;

    std::string self;
    quota_contacts_settings settings;
    std::vector<std::string> participants;
    std::size_t coordinators = 1;
    std::map<std::string, time_point> heard_at;
    /// Nodes that may be in use, and when they were live last.
    std::map<std::string, time_point> live_at;
    std::size_t live_count = 1;
    time_point takeover_at;
    /// Difference of the clocks at the last call of `on_clocks`.
    std::optional<duration> clock_difference;
};

} // namespace chicory::serving

#endif
