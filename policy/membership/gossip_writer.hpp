#ifndef CHICORY_POLICY_MEMBERSHIP_GOSSIP_WRITER_HPP
#define CHICORY_POLICY_MEMBERSHIP_GOSSIP_WRITER_HPP

#include "policy/membership/byte_budget.hpp"
#include "policy/membership/gossip_settings.hpp"
#include "policy/membership/member_table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::membership
{

/// A message and the address to send it to.
struct outgoing_gossip
{
    std::string address;
    std::uint16_t port = 0;
    gossip_message message;
};

/// Addresses messages to cluster members and fills them with updates, as far as
/// the byte rate allows.
class gossip_writer
{
public:
    /// The table must outlive the writer.
    gossip_writer(
        const gossip_settings& initial_settings,
        std::string self,
        member_table& table,
        time_point now);

    /// Appends a message for a member to `out`; does nothing when the member
    /// has no gossip address.
    void send(
        std::vector<outgoing_gossip>& out,
        const std::string& receiver,
        gossip_message message,
        time_point now);

    /// Returns the number of bytes that may be sent at `now`.
    std::size_t available(time_point now);

    /// Sets the configuration revision that each message carries.
    void set_revision(std::int64_t revision);

    /// Returns the number of times that each update is transmitted, which grows
    /// with the number of members.
    std::size_t transmit_limit() const;

    /// Returns whether any pending update has been transmitted fewer than half
    /// of `transmit_limit()` times.
    bool has_fresh_updates() const;

private:
    void fill(gossip_message& message, const vm& receiver, time_point now);

    gossip_settings settings;
    std::string self_id;
    member_table& members;
    byte_budget budget;
    std::int64_t own_revision = 0;
};

} // namespace chicory::membership

#endif
