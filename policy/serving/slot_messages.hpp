#ifndef CHICORY_POLICY_SERVING_SLOT_MESSAGES_HPP
#define CHICORY_POLICY_SERVING_SLOT_MESSAGES_HPP

#include "core/core.hpp"
#include "policy/serving/part_digests.hpp"
#include "policy/serving/runner_group.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::serving
{

/// Kind of work that uses a slot.
enum class work_kind : std::uint8_t
{
    online,
    batch,
};

/// Identifies one use of a slot across the whole fleet.
struct slot_id
{
    /// Node that requests the slot and sends the work to the runner.
    std::string node;
    /// Start of that node's process.
    std::uint64_t incarnation = 0;
    /// Number of the use within that process.
    std::uint64_t number = 0;

    bool operator==(const slot_id&) const = default;

    bool operator<(const slot_id& other) const
    {
        return std::tie(this->node, this->incarnation, this->number) <
               std::tie(other.node, other.incarnation, other.number);
    }
};

/// Load that a runner stated in a response. The default value means that it
/// stated none.
struct runner_load
{
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
    /// Time that work takes on the runner's machine at the moment, in percent
    /// of the usual time; zero if the runner did not state it.
    std::int32_t time_percent = 0;

    bool operator==(const runner_load&) const = default;
};

/// Returns whether a runner with this load has no idle slot. False if it stated
/// no load.
inline bool is_full(const runner_load& load)
{
    return load.slots > 0 && (load.running >= load.slots || load.waiting > 0);
}

/// A load with the time since the node received it.
struct load_sample
{
    runner_load load;
    duration age = duration::zero();

    bool operator==(const load_sample&) const = default;
};

/// Requests a slot in a group of runners. Durations are relative to the time of
/// sending.
struct slot_request
{
    slot_id id;
    work_kind kind = work_kind::online;
    runner_group group;
    /// True if another group had no slot and redirected the request to this
    /// one.
    bool redirected = false;
    /// Availability zone of the requesting node.
    std::string zone;
    /// Time left to meet the target latency of the route, or the due time of an
    /// item.
    duration target_time_left = duration::zero();
    /// Time until the caller gives up, or until an item may be given up.
    duration time_left = duration::zero();
    /// Expected duration of the work; zero if unknown.
    duration expected_work = duration::zero();
    /// Digest of the caller's request, which identifies a request that is sent
    /// again after a refusal; zero for an item.
    std::uint64_t request_digest = 0;
    /// Digests of the shared parts of the prompt; none for an item.
    part_digests parts = {};
    /// True if work that has begun may run again at another runner.
    bool repeatable = false;
    /// Runners at which the work has failed. A request does not run there
    /// again, an item only if there is no other usable runner.
    std::vector<std::string> excluded;
    /// Organisation of the caller; empty if there is none or for an item.
    std::string organisation = {};
    /// True if an earlier slot of the caller's attempt was charged to the quota
    /// of its organisation and its work ran.
    bool charged = false;
    /// Tokens of the prompt plus the maximum number of output tokens; zero if
    /// unknown.
    std::int64_t tokens = 0;

    bool operator==(const slot_request&) const = default;
};

/// A slot in use, as reported by the node that uses it.
struct held_slot
{
    slot_id id;
    work_kind kind = work_kind::online;
    /// Group whose coordinator granted the slot.
    runner_group group;
    std::string runner;
    /// Time since the work was sent.
    duration age = duration::zero();
    /// Time since the last bytes from the runner, or since the work was sent.
    duration silence = duration::zero();
    std::int64_t tokens = 0;
    load_sample load = {};

    bool operator==(const held_slot&) const = default;
};

/// How far a run had come when its runner crashed.
enum class crash_stage : std::uint8_t
{
    /// No response had begun.
    before_response,
    /// The response had begun, without an event.
    before_first_event,
};

inline constexpr enum_table<crash_stage, 2> crash_stage_names = {{
    {crash_stage::before_response, "before_response"},
    {crash_stage::before_first_event, "before_first_event"},
}};

/// A run whose runner crashed before the first event, as recorded by the node
/// that sent the work.
struct crashed_run
{
    std::uint64_t request_digest = 0;
    slot_id id;
    part_digests parts = {};
    std::string runner = {};
    /// Time since the crash.
    duration age = duration::zero();
    /// Time from the start of the run to the crash.
    duration lasted = duration::zero();
    crash_stage stage = crash_stage::before_response;

    bool operator==(const crashed_run&) const = default;
};

/// Outcome of the use of a slot.
enum class slot_outcome : std::uint8_t
{
    completed,
    /// The runner refused the work and did not run it.
    refused,
    /// No connection to the runner could be established.
    unreachable,
    /// No response arrived in time, the response was malformed, or the runner
    /// closed the connection and did not crash because of this run.
    broken,
    /// The runner crashed before the first event; see `is_crash_evidence`.
    crashed,
    /// The node ended the work because the caller disconnected or the item was
    /// preempted.
    cancelled,
    /// The slot was not used.
    unused,
    /// The runner responded that the run failed.
    failed,
    /// The runner responded that it rejected the request or ran out of time.
    rejected,
    /// The runner cannot run this request, for instance because it has other
    /// weights, and did not run it. Says nothing about other requests.
    unsuitable,
};

inline constexpr enum_table<slot_outcome, 10> slot_outcome_names = {{
    {slot_outcome::completed, "completed"},
    {slot_outcome::refused, "refused"},
    {slot_outcome::unreachable, "unreachable"},
    {slot_outcome::broken, "broken"},
    {slot_outcome::crashed, "crashed"},
    {slot_outcome::cancelled, "cancelled"},
    {slot_outcome::unused, "unused"},
    {slot_outcome::failed, "failed"},
    {slot_outcome::rejected, "rejected"},
    {slot_outcome::unsuitable, "unsuitable"},
}};

/// Kind of a decision of the coordinator.
enum class slot_decision_kind : std::uint8_t
{
    /// The work may use a slot of `runner`.
    granted,
    /// The request is refused; the caller may retry after `retry_after`.
    refused,
    /// The run is preempted and must leave its runner immediately.
    preempt,
    /// The request waits for a slot.
    queued,
    /// The request has crashed runners and is not run again.
    quarantined,
    /// This group has no slot; the request must be sent to the coordinator of
    /// `redirect_target`.
    redirected,
    /// The organisation has used up its quota; the caller may retry after
    /// `retry_after`.
    over_quota,
};

/// A decision of the coordinator about a request or a slot in use.
struct slot_decision
{
    slot_id id;
    slot_decision_kind kind = slot_decision_kind::queued;
    std::string runner;
    duration retry_after = duration::zero();
    runner_group redirect_target = {};
    /// Granted: the node is to report the first event of the run at once.
    bool report_first_event = false;

    bool operator==(const slot_decision&) const = default;
};

} // namespace chicory::serving

#endif
