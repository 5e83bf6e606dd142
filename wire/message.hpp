#ifndef CHICORY_WIRE_MESSAGE_HPP
#define CHICORY_WIRE_MESSAGE_HPP

#include "core/core.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/membership/membership.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory::wire
{

/// Whether a caller waits for the answer.
enum class work_class : std::uint8_t
{
    online,
    batch,
};

/// What is certain about an attempt that gave no whole answer.
enum class attempt_outcome : std::uint8_t
{
    not_sent,
    refused_not_run,
    unknown,
    cancelled,
};

/// Which daemon of the VM asks the control process for updates.
enum class subscriber_kind : std::uint8_t
{
    gate,
    batch,
};

/// First message on a link: who speaks.
struct hello
{
    std::string vm_id;
    std::uint64_t incarnation = 0;
};

/// Asks the owner of a runner to run a request.
struct dispatch
{
    std::string request_id;
    std::uint32_t attempt = 0;
    work_class kind = work_class::online;
    std::string member;
    std::string route;
    std::string pool;
    std::string runner;
    std::string path;
    std::string content_type;
    std::string body;
    /// Time left until the deadline when the message was sent.
    std::int64_t time_left_us = 0;
    bool not_repeatable = false;
    /// Digest of member, route and body, for the quarantine.
    std::uint64_t fingerprint = 0;
    /// Digest of the prompt's prefix, salted by member.
    std::uint64_t prefix_key = 0;
    /// True when a runner died with the request on board before.
    bool suspect = false;
};

/// Status and type of an answer, before its first byte.
struct response_head
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::int32_t status = 0;
    std::string content_type;
};

/// A piece of an answer at a byte offset.
struct response_frame
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Explicit end of an answer with its length in bytes.
struct response_end
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t length = 0;
};

/// An attempt that gave no whole answer.
struct response_failed
{
    std::string request_id;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::unknown;
    std::string reason;
    std::int64_t retry_after_ms = 0;
};

/// Asks the owner to send an answer again from an offset. A gate that does not
/// know the attempt fetches the answer from the runner.
struct resume_response
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
    std::string runner;
};

/// Asks the owner to cancel an attempt.
struct cancel_attempt
{
    std::string request_id;
    std::uint32_t attempt = 0;
};

/// Asks an owner for the state of its runners in a pool.
struct probe
{
    std::uint64_t probe_id = 0;
    std::string pool;
};

/// State of one runner as its owner knows it.
struct runner_state
{
    std::string runner;
    std::int64_t online_in_progress = 0;
    std::int64_t online_queued = 0;
    std::int64_t batch_in_progress = 0;
    /// Requests that the learned limit allows at once.
    std::int64_t limit = 0;
    /// Slots that batch work may take now.
    std::int64_t idle_batch_slots = 0;
    /// Recent time to the first byte.
    std::int64_t latency_us = 0;
};

/// Answer to a probe.
struct probe_reply
{
    std::uint64_t probe_id = 0;
    std::string pool;
    std::vector<runner_state> runners;
};

/// Shows that a link is alive.
struct heartbeat
{
    std::uint64_t sequence = 0;
};

/// Answer to a heartbeat.
struct heartbeat_reply
{
    std::uint64_t sequence = 0;
};

/// Asks the control process for updates from now on.
struct subscribe
{
    std::string vm_id;
    subscriber_kind kind = subscriber_kind::gate;
};

/// The control process's view of the fleet.
struct fleet_update
{
    membership::fleet_view view;
};

/// A whole configuration.
struct configuration_update
{
    configuration::table_set tables;
};

/// A request that was on board when a runner died, or that was cleared of it.
struct quarantine_notice
{
    std::uint64_t fingerprint = 0;
    std::int64_t time_to_live_ms = 0;
    std::string runner;
    std::uint64_t incarnation = 0;
    bool cleared = false;
};

/// A VM that is about to leave, told by itself or by one who noticed.
struct leaving_notice
{
    std::string vm_id;
    std::uint64_t incarnation = 0;
};

/// Everything that travels on a link. New alternatives go to the end.
using message = std::variant<
    hello,
    dispatch,
    response_head,
    response_frame,
    response_end,
    response_failed,
    resume_response,
    cancel_attempt,
    probe,
    probe_reply,
    heartbeat,
    heartbeat_reply,
    subscribe,
    fleet_update,
    configuration_update,
    quarantine_notice,
    leaving_notice>;

/// Encodes a message in little-endian binary form.
std::string encode(const message& value);

/// Decodes a message. Error: invalid_input for bytes that are no message.
result<message> decode(std::string_view bytes);

} // namespace chicory::wire

#endif
