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

/// Whether a caller waits for the response (online) or not (batch).
enum class work_class : std::uint8_t
{
    online,
    batch,
};

/// What is known for certain about an attempt that gave no complete response.
enum class attempt_outcome : std::uint8_t
{
    not_sent,
    refused_not_run,
    unknown,
    cancelled,
};

/// Which daemon of the VM subscribes to updates of the control process.
enum class subscriber_kind : std::uint8_t
{
    gate,
    batch,
};

/// First message on a link; identifies the sender.
struct hello
{
    std::string vm_id;
    std::uint64_t incarnation = 0;
};

/// Requests that the owner of a runner run a request.
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
    /// Time left until the deadline when the message was sent, in
    /// microseconds.
    std::int64_t time_left_us = 0;
    bool not_repeatable = false;
    /// Digest of member, route and body, which identifies the request in
    /// quarantine notices.
    std::uint64_t fingerprint = 0;
    /// Digest of the prompt's prefix, salted by member.
    std::uint64_t prefix_key = 0;
    /// True when a runner crashed earlier while it ran the request.
    bool suspect = false;
};

/// Status and content type of a response, sent before its first byte.
struct response_head
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::int32_t status = 0;
    std::string content_type;
};

/// A part of the body of a response, at a byte offset.
struct response_frame
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Marks the end of a response and states its length in bytes.
struct response_end
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t length = 0;
};

/// Reports an attempt that gave no complete response.
struct response_failed
{
    std::string request_id;
    std::uint32_t attempt = 0;
    attempt_outcome outcome = attempt_outcome::unknown;
    std::string reason;
    std::int64_t retry_after_ms = 0;
};

/// Requests that the owner send a response again from a byte offset. A gate
/// that does not know the attempt fetches the response from the runner.
struct resume_response
{
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint64_t offset = 0;
    std::string runner;
};

/// Requests that the owner cancel an attempt.
struct cancel_attempt
{
    std::string request_id;
    std::uint32_t attempt = 0;
};

/// Requests the state of an owner's runners in a pool.
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
    /// Concurrent requests that the adaptive limit allows.
    std::int64_t limit = 0;
    /// Slots that batch work may use now.
    std::int64_t idle_batch_slots = 0;
    /// Recent time to the first byte, in microseconds.
    std::int64_t latency_us = 0;
};

/// Response to a probe.
struct probe_reply
{
    std::uint64_t probe_id = 0;
    std::string pool;
    std::vector<runner_state> runners;
};

/// Sent periodically to show that a link is alive.
struct heartbeat
{
    std::uint64_t sequence = 0;
};

/// Response to a heartbeat.
struct heartbeat_reply
{
    std::uint64_t sequence = 0;
};

/// Subscribes to updates of the control process.
struct subscribe
{
    std::string vm_id;
    subscriber_kind kind = subscriber_kind::gate;
};

/// The fleet as the control process sees it.
struct fleet_update
{
    membership::fleet_view view;
};

/// A complete configuration.
struct configuration_update
{
    configuration::table_set tables;
};

/// Reports a request that was in progress on a runner when the runner crashed,
/// or, with `cleared`, that the request did not cause the crash.
struct quarantine_notice
{
    std::uint64_t fingerprint = 0;
    std::int64_t time_to_live_ms = 0;
    std::string runner;
    std::uint64_t incarnation = 0;
    bool cleared = false;
};

/// Reports a VM that is about to leave; sent by the VM itself or by a process
/// that detected it.
struct leaving_notice
{
    std::string vm_id;
    std::uint64_t incarnation = 0;
};

/// All messages that links carry. New alternatives are added at the end, as the
/// index of an alternative is part of the encoding.
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

/// Decodes a message. Error: invalid_input for bytes that are not a valid
/// message.
result<message> decode(std::string_view bytes);

} // namespace chicory::wire

#endif
