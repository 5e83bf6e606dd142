#ifndef CHICORY_WIRE_SLOT_PACKET_HPP
#define CHICORY_WIRE_SLOT_PACKET_HPP

#include "policy/serving/serving.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory::wire
{

/// Releases a slot, or withdraws a request for a slot.
struct slot_release
{
    serving::runner_group group;
    serving::slot_id id;
    serving::slot_outcome outcome = serving::slot_outcome::completed;
    /// Digest of the request that used the slot; zero for a batch item.
    std::uint64_t request_digest = 0;
    /// Digests of the shared parts of its prompt.
    serving::part_digests parts = {};
    std::string runner = {};
    /// Outcome `crashed`: time from the start of the run to the crash.
    duration lasted = duration::zero();
    serving::crash_stage stage = serving::crash_stage::before_response;
};

/// Reports that a run returned its first event, if the decision that granted
/// its slot asked for it or a trait of the run is quarantined.
struct first_event
{
    serving::runner_group group;
    serving::slot_id id;
    /// Traits of the run, for a coordinator that did not grant its slot.
    serving::request_traits traits = {};
};

/// All slots of a group that a node holds, and all its waiting requests.
struct slot_report
{
    serving::runner_group group;
    std::string node;
    std::uint64_t incarnation = 0;
    std::vector<serving::held_slot> held;
    std::vector<serving::slot_request> waiting;
    /// The most recent runs of this node that crashed a runner.
    std::vector<serving::crashed_run> crashed;
    /// Runners that announced to this node that they are leaving.
    std::vector<serving::leaving_runner> leaving;
};

/// Response to a report or a request, with the decisions about its requests.
struct slot_decisions
{
    serving::runner_group group;
    std::vector<serving::slot_decision> decisions;
};

/// Status of one group of a service, sent to the coordinator of another group
/// of the same service.
struct group_status_packet
{
    /// Group whose coordinator receives the status.
    serving::runner_group receiver;
    serving::group_status status;
};

/// A datagram between a node and the coordinator of a group's slots, or between
/// two coordinators. The index of an alternative is part of the encoding.
using slot_packet = std::variant<
    serving::slot_request,
    slot_release,
    slot_report,
    slot_decisions,
    group_status_packet,
    first_event>;

/// Encodes a packet in little-endian binary form.
std::string encode_slot_packet(const slot_packet& value);

/// Decodes a packet. Error: invalid_input for bytes that are not a valid
/// packet.
result<slot_packet> decode_slot_packet(std::string_view bytes);

} // namespace chicory::wire

#endif
