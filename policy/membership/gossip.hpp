#ifndef CHICORY_POLICY_MEMBERSHIP_GOSSIP_HPP
#define CHICORY_POLICY_MEMBERSHIP_GOSSIP_HPP

#include "policy/membership/gossip_message.hpp"
#include "policy/membership/gossip_settings.hpp"
#include "policy/membership/gossip_writer.hpp"
#include "policy/membership/member_table.hpp"
#include "policy/membership/partition_detector.hpp"
#include "policy/membership/prober.hpp"
#include "policy/membership/revision_watch.hpp"
#include "policy/membership/suspicion_list.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Runs the membership protocol of one node, after SWIM. A member is a cluster
/// member, that is a control process or a node. The protocol probes members in
/// random rounds, directly and through indirect probers, suspects those that do
/// not respond and declares them dead unless they refute the suspicion in time.
/// Updates are piggybacked on probes and also sent in messages of their own.
/// The resulting view is a hint; no guarantee of the system depends on it.
class gossip
{
public:
    /// `self` holds the node's location, its ports and an incarnation that
    /// increases with each start.
    gossip(
        gossip_settings initial_settings,
        vm self,
        std::uint64_t seed,
        time_point now);
    gossip(const gossip&) = delete;
    gossip& operator=(const gossip&) = delete;

    /// Sends due probes and updates and applies expired timeouts. Must be
    /// called several times in each period.
    std::vector<outgoing_gossip> on_tick(time_point now);

    /// Handles a message from another member and returns the messages to send.
    std::vector<outgoing_gossip>
    on_message(time_point now, const gossip_message& message);

    /// Applies an update from outside the protocol: from the VM list, a runner
    /// or a rejected request. An update from a list that all members read is
    /// not disseminated.
    void on_update(
        time_point now,
        const member_update& update,
        update_source source = update_source::member);

    /// Sets the configuration revision in force on this node.
    void set_revision(std::int64_t revision);

    /// Returns the highest configuration revision known to be in force on any
    /// member, and the member that reported it last; the member is empty when
    /// the revision is this node's own.
    std::int64_t highest_revision() const;
    const std::string& holder_of_highest() const;

    /// Announces that this node is leaving, or that it no longer intends to
    /// leave.
    void leave(time_point now);
    void stay(time_point now);

    /// Announces a changed location or changed ports of this node, as shown by
    /// the VM list. Does nothing when they are unchanged.
    void update_own_details(time_point now, const vm& listed);

    /// Returns the id of this node's VM.
    const std::string& self() const;

    /// Returns a counter that increases with each change of the view.
    std::uint64_t version() const;

    /// Returns all VMs that are not believed to be dead.
    fleet_view view() const;

    const member_table& table() const;

private:
    using datagrams = std::vector<outgoing_gossip>;

    void suspect(const std::string& id, time_point now);
    void check_suspects(datagrams& out, time_point now);
    void send_updates(datagrams& out, time_point now);
    void handle_pause(time_point now);
    void apply_update(
        const member_update& update, time_point now, update_source source);
    void record_contact(const std::string& sender, time_point now);
    void on_direct_ack(const std::string& sender);
    void refute(const member_update& update, time_point now);
    void announce_state(const std::string& id, vm_state state, time_point now);

    gossip_settings settings;
    std::string self_id;
    std::mt19937_64 generator;
    member_table members;
    gossip_writer writer;
    prober probes;
    suspicion_list suspects;
    partition_detector partition;
    revision_watch revisions;
    time_point last_tick;
    time_point next_period;
    time_point next_reconnect;
    time_point next_cleanup;
};

} // namespace chicory::membership

#endif
