#ifndef CHICORY_WIRE_SLOT_PACKET_HPP
#define CHICORY_WIRE_SLOT_PACKET_HPP

#include "policy/serving/serving.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory::wire
{

/// Tells that a slot or a request for one is needed no more.
struct slot_release
{
    serving::runner_group group;
    serving::slot_id id;
    serving::slot_outcome outcome = serving::slot_outcome::completed;
    /// Digest of the request that had the slot; zero for an item.
    std::uint64_t request_digest = 0;
};

/// All slots of a group that a node uses, and all its requests that wait.
struct slot_report
{
    serving::runner_group group;
    std::string node;
    std::uint64_t incarnation = 0;
    std::vector<serving::held_slot> held;
    std::vector<serving::slot_request> waiting;
    /// The latest runs of this node that crashed a runner.
    std::vector<serving::crashed_run> crashed;
    /// Runners that told this node that they are leaving.
    std::vector<serving::leaving_runner> leaving;
};

/// Answer to a report, and to a request together with its verdicts.
struct slot_decisions
{
    serving::runner_group group;
    std::vector<serving::slot_decision> decisions;
};

/// Tells the coordinator of a group how another group of the service stands.
struct group_status_packet
{
    /// Group that is told.
    serving::runner_group receiver;
    serving::group_status status;
};

/// A datagram between a node and the coordinator of a group's slots, or between
/// two coordinators.
using slot_packet = std::variant<
    serving::slot_request,
    slot_release,
    slot_report,
    slot_decisions,
    group_status_packet>;

/// Encodes a packet in little-endian binary form.
std::string encode_slot_packet(const slot_packet& value);

/// Decodes a packet. Error: invalid_input for bytes that are no packet.
result<slot_packet> decode_slot_packet(std::string_view bytes);

} // namespace chicory::wire

#endif
