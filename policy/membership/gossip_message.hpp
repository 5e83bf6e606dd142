#ifndef CHICORY_POLICY_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define CHICORY_POLICY_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include "policy/membership/vm.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Orders what is said of one VM; the greater word holds. An incarnation
/// outdoes all words on earlier ones, a refutation those on the same
/// incarnation, and after these the worse state holds.
struct member_status
{
    std::uint64_t incarnation = 0;
    /// Times that the VM has contradicted what was said of this incarnation.
    std::uint32_t refutation = 0;
    vm_state state = vm_state::alive;

    bool operator==(const member_status&) const = default;
    std::strong_ordering operator<=>(const member_status& other) const;
};

/// One statement about a VM as it travels between members.
struct member_update
{
    std::string id;
    member_status status;
    /// Role, place and ports; left out where receivers know them already.
    std::optional<vm> details;

    bool operator==(const member_update&) const = default;
};

/// Purpose of a message between control processes.
enum class gossip_kind : std::uint8_t
{
    /// Asks for an `ack`.
    ping,
    ack,
    /// Asks the receiver to ping `target` and to pass on its `ack`.
    ping_request,
    /// Carries updates only.
    news,
};

/// One datagram between control processes.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    /// Number that an `ack` repeats.
    std::uint32_t sequence = 0;
    /// VM that sent the message.
    std::string sender;
    /// VM that a `ping_request` is about.
    std::string target;
    /// Revision of the configuration that the sender has in force.
    std::int64_t revision = 0;
    std::vector<member_update> updates;
    /// VMs whose details the sender lacks.
    std::vector<std::string> wanted;

    bool operator==(const gossip_message&) const = default;
};

/// Encodes a message in cereal's portable binary form.
std::string encode(const gossip_message& message);

/// Decodes a message. Error: invalid_input for bytes that are no message.
result<gossip_message> decode_gossip(const std::string& bytes);

/// Returns the number of bytes that a member_update takes in a message.
std::size_t encoded_size(const member_update& value);

} // namespace chicory::membership

#endif
