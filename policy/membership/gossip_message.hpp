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

/// Status of one VM, ordered by precedence: the greater status replaces the
/// smaller one. A higher incarnation overrides any status of earlier
/// incarnations, a higher refutation overrides any status of the same
/// incarnation with a lower one, and otherwise the worse state wins.
struct member_status
{
    std::uint64_t incarnation = 0;
    /// Number of times that the VM has refuted its reported status in this
    /// incarnation.
    std::uint32_t refutation = 0;
    vm_state state = vm_state::alive;

    bool operator==(const member_status&) const = default;
    std::strong_ordering operator<=>(const member_status& other) const;
};

/// An update about one VM, as sent between cluster members (control processes
/// and nodes).
struct member_update
{
    std::string id;
    member_status status;
    /// Role, location and ports; absent if receivers already know them.
    std::optional<vm> details;

    bool operator==(const member_update&) const = default;
};

/// Purpose of a message between cluster members.
enum class gossip_kind : std::uint8_t
{
    /// Requests an `ack`.
    ping,
    ack,
    /// Requests the receiver to ping `target` and to forward its `ack`.
    ping_request,
    /// Carries updates only.
    updates,
};

/// One datagram between cluster members.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    /// Number that the matching `ack` repeats.
    std::uint32_t sequence = 0;
    /// Id of the VM that sent the message.
    std::string sender;
    /// Id of the VM that a `ping_request` refers to.
    std::string target;
    /// Configuration revision in force on the sender.
    std::int64_t revision = 0;
    std::vector<member_update> updates;
    /// Ids of VMs whose details the sender requests.
    std::vector<std::string> detail_requests;

    bool operator==(const gossip_message&) const = default;
};

/// Encodes a message in cereal's portable binary format.
std::string encode(const gossip_message& message);

/// Decodes a message. Error: invalid_input if the bytes are not a valid
/// message.
result<gossip_message> decode_gossip(const std::string& bytes);

/// Returns the encoded size of an update in bytes.
std::size_t encoded_size(const member_update& value);

} // namespace chicory::membership

#endif
