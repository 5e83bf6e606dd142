#ifndef CHICORY_POLICY_MEMBERSHIP_PROBER_HPP
#define CHICORY_POLICY_MEMBERSHIP_PROBER_HPP

#include "policy/membership/gossip_writer.hpp"
#include "policy/membership/probe_schedule.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Returns up to `count` randomly chosen live entry VMs, excluding `self` and
/// `except`.
std::vector<std::string> choose_members(
    const member_table& members,
    std::size_t count,
    const std::string& self,
    const std::string& except,
    std::mt19937_64& generator);

/// Probes cluster members, directly and through indirect probers, and responds
/// to the probes of other members.
class prober
{
public:
    /// All arguments but the settings must outlive the prober.
    prober(
        const gossip_settings& initial_settings,
        std::string self,
        member_table& table,
        gossip_writer& message_writer,
        std::mt19937_64& random_generator);

    /// Probes the next member of the current round.
    void probe_next(std::vector<outgoing_gossip>& out, time_point now);

    /// Requests indirect probes for members that have not responded, and
    /// returns the members whose probes timed out.
    std::vector<std::string>
    check(std::vector<outgoing_gossip>& out, time_point now);

    /// Sends a ping without waiting for its `ack`.
    void ping(
        std::vector<outgoing_gossip>& out,
        const std::string& receiver,
        time_point now);

    /// Pings one randomly chosen member that is believed dead, so that a
    /// partition ends without intervention.
    void reconnect(std::vector<outgoing_gossip>& out, time_point now);

    /// Responds to a ping with an `ack` that carries the requested details.
    void on_ping(
        std::vector<outgoing_gossip>& out,
        const gossip_message& message,
        time_point now);
    /// Handles an `ack`. Returns true if it responds to a ping of this node,
    /// and false if it was forwarded to the member that requested an indirect
    /// probe.
    bool on_ack(
        std::vector<outgoing_gossip>& out,
        const gossip_message& message,
        time_point now);
    /// Pings the target of an indirect probe on behalf of the sender.
    void on_ping_request(
        std::vector<outgoing_gossip>& out,
        const gossip_message& message,
        time_point now);

    /// Adds a VM to the detail requests of later pings, or removes it.
    void request_details(const std::string& id);
    void cancel_details_request(const std::string& id);

    /// Closes all open probes without a result for their targets.
    void discard_probes();

private:
    void start_probe(
        std::vector<outgoing_gossip>& out,
        const std::string& id,
        time_point now);
    void request_indirect_probes(
        std::vector<outgoing_gossip>& out,
        const open_probe& unanswered,
        time_point now);

    gossip_settings settings;
    std::string self_id;
    member_table& members;
    gossip_writer& writer;
    std::mt19937_64& generator;
    probe_schedule probes;
    /// VMs whose details are requested.
    std::set<std::string> detail_requests;
    std::uint32_t last_sequence = 0;
};

} // namespace chicory::membership

#endif
