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

/// Membership of one node: probes members in turn, directly and through
/// others, suspects those that do not answer and declares them dead unless
/// they contradict; spreads news on messages that are sent anyway. What it
/// says is a hint: no promise rests on it.
class gossip
{
public:
    /// `self` carries the node's place and ports, and an incarnation that
    /// grows with each start.
    gossip(
        gossip_settings initial, vm self, std::uint64_t seed, time_point now);
    gossip(const gossip&) = delete;
    gossip& operator=(const gossip&) = delete;

    /// Does what is due. Call several times in each period.
    std::vector<outgoing_gossip> on_tick(time_point now);

    /// Takes a message of another member.
    std::vector<outgoing_gossip>
    on_message(time_point now, const gossip_message& message);

    /// Takes a word from another source: VM list, runner or refusal. One from a
    /// list that all members read is not passed on.
    void on_update(
        time_point now,
        const member_update& heard,
        update_source source = update_source::member);

    /// Sets the revision in force on this node.
    void set_revision(std::int64_t revision);

    /// Highest revision that a member said to have in force, and who said so
    /// first; empty when it is this node's own.
    std::int64_t highest_revision() const;
    const std::string& holder_of_highest() const;

    /// Announces that this node is leaving, or that it stays after all.
    void leave(time_point now);
    void stay(time_point now);

    /// Announces another place and other ports of this node, as the VM list
    /// shows them; nothing when they are the same.
    void set_place(time_point now, const vm& listed);

    /// Name of this node's VM.
    const std::string& self() const;

    /// Grows with each change of the view.
    std::uint64_t version() const;

    /// Returns all VMs that are not believed dead.
    fleet_view view() const;

    const member_table& table() const;

private:
    using datagrams = std::vector<outgoing_gossip>;

    void suspect(const std::string& id, time_point now);
    void check_suspects(datagrams& out, time_point now);
    void spread_news(datagrams& out, time_point now);
    void forgive_pause(time_point now);
    void take(const member_update& heard, time_point now, update_source source);
    void take_return(const std::string& sender, time_point now);
    void take_answer(const std::string& sender);
    void contradict(const member_update& heard, time_point now);
    void say(const std::string& id, vm_state state, time_point now);

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
    time_point next_forget;
};

} // namespace chicory::membership

#endif
