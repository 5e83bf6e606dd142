#ifndef CHICORY_POLICY_SERVING_SLOT_MESSAGES_HPP
#define CHICORY_POLICY_SERVING_SLOT_MESSAGES_HPP

#include "core/core.hpp"
#include "policy/serving/runner_group.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::serving
{

/// What a slot is wanted for.
enum class work_kind : std::uint8_t
{
    online,
    batch,
};

/// Names one use of a slot over the whole fleet.
struct slot_id
{
    /// Node that asks and sends to the runner.
    std::string node;
    /// Start of that node's process.
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    bool operator==(const slot_id&) const = default;

    bool operator<(const slot_id& other) const
    {
        return std::tie(this->node, this->incarnation, this->number) <
               std::tie(other.node, other.incarnation, other.number);
    }
};

/// Asks for a slot of a group of runners. Times are relative to the sending.
struct slot_request
{
    slot_id id;
    work_kind kind = work_kind::online;
    runner_group group;
    /// True when another group had no slot and named this one.
    bool redirected = false;
    /// Availability zone of the node that asks.
    std::string zone;
    /// Time until an answer begun later is late.
    duration target_time_left = duration::zero();
    /// Time until the caller gives up, or an item may be given up.
    duration time_left = duration::zero();
    /// Time that the work is expected to take; zero when unknown.
    duration expected_work = duration::zero();
    /// Digest of the caller's request, by which one that comes back after a
    /// refusal is known; zero for an item.
    std::uint64_t request_digest = 0;
    /// True where what was begun may be run again elsewhere.
    bool repeatable = false;
    /// Runners that the work has failed at.
    std::vector<std::string> excluded;

    bool operator==(const slot_request&) const = default;
};

/// A slot in use, as the node that uses it reports it.
struct held_slot
{
    slot_id id;
    work_kind kind = work_kind::online;
    /// Group whose coordinator granted the slot.
    runner_group group;
    std::string runner;
    /// Time since the work was sent.
    duration age = duration::zero();
    /// Time since the runner's latest bytes, or since the work was sent.
    duration silence = duration::zero();

    bool operator==(const held_slot&) const = default;
};

/// A run at whose runner the connection closed, as the node that sent it
/// remembers it.
struct crashed_run
{
    std::uint64_t request_digest = 0;
    slot_id id;

    bool operator==(const crashed_run&) const = default;
};

/// How the use of a slot ended.
enum class slot_outcome : std::uint8_t
{
    completed,
    /// The runner refused without running.
    refused,
    /// No connection to the runner could be made.
    unreachable,
    /// No answer came in time, or the answer was no proper one.
    broken,
    /// The runner closed the connection while it worked on the request.
    crashed,
    /// The node ended the work: the caller left, or the item yielded.
    cancelled,
    /// The slot was not used.
    unused,
    /// The runner answered that the run failed.
    failed,
};

inline constexpr enum_table<slot_outcome, 8> slot_outcome_names = {{
    {slot_outcome::completed, "completed"},
    {slot_outcome::refused, "refused"},
    {slot_outcome::unreachable, "unreachable"},
    {slot_outcome::broken, "broken"},
    {slot_outcome::crashed, "crashed"},
    {slot_outcome::cancelled, "cancelled"},
    {slot_outcome::unused, "unused"},
    {slot_outcome::failed, "failed"},
}};

/// What the coordinator decided on a request or a slot in use.
enum class slot_decision_kind : std::uint8_t
{
    /// Use a slot of `runner`.
    granted,
    /// Refuse the caller, to come back after `retry_after`.
    refused,
    /// The work must leave its runner at once.
    preempt,
    /// The request waits.
    queued,
    /// The request has crashed runners and is not run again.
    quarantined,
    /// Ask the coordinator of `redirect_target`: this group has no slot.
    redirected,
};

/// A decision of the coordinator for one node.
struct slot_decision
{
    slot_id id;
    slot_decision_kind kind = slot_decision_kind::queued;
    std::string runner;
    duration retry_after = duration::zero();
    runner_group redirect_target = {};

    bool operator==(const slot_decision&) const = default;
};

} // namespace chicory::serving

#endif
