#ifndef CHICORY_SERVERS_NODE_SLOT_CLIENT_HPP
#define CHICORY_SERVERS_NODE_SLOT_CLIENT_HPP

#include "policy/serving/serving.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/slot_topology.hpp"
#include "wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::node
{

/// Requirements of a request or item that needs a slot.
struct slot_requirements
{
    serving::work_kind kind = serving::work_kind::online;
    std::string service;
    /// Time until which the route's target latency is met.
    time_point target_deadline;
    /// Time at which the caller gives up.
    time_point deadline;
    duration expected_work = duration::zero();
    std::uint64_t request_digest = 0;
    /// Digests of the shared parts of the prompt.
    serving::part_digests parts;
    bool repeatable = false;
    /// Runners that must not be chosen.
    std::vector<std::string> excluded;
    /// Returns whether the requirements still hold. Called when the
    /// configuration has changed while the request waits. An empty function
    /// means that they always hold.
    std::function<bool()> still_hold;
};

/// Result of a slot request.
struct slot_result
{
    enum class result_kind
    {
        granted,
        refused,
        /// The caller cancelled the request, or its deadline passed.
        cancelled,
        /// The request has crashed runners and must not run again.
        quarantined,
        /// The requirements no longer hold under the current configuration.
        outdated,
    };
    result_kind kind = result_kind::cancelled;
    serving::slot_id id;
    std::string runner;
    /// Time after which a refused or quarantined request may be tried again.
    duration retry_after = duration::zero();
    /// Node that made the decision; empty when no coordinator made one.
    std::string coordinator;
    /// True when the runner was chosen without a coordinator.
    bool direct = false;
    /// True when the coordinator waits for the first event.
    bool report_first_event = false;
};

/// Cancels a slot request while it waits.
class slot_cancellation
{
public:
    /// Marks the request as cancelled and wakes its acquire() call.
    void cancel();

private:
    friend class slot_client;
    bool cancelled = false;
    std::function<void()> wake;
};

/// Acquires slots from the coordinator of this node's home group of a service's
/// runners, or of the group to which that coordinator redirects the request.
/// When no coordinator responds, an online request goes to the runner on which
/// this node itself has the fewest requests.
class slot_client
{
public:
    /// Sends a packet to a node, this one included.
    using send_hook =
        std::function<void(const std::string&, const wire::slot_packet&)>;

    slot_client(
        boost::asio::io_context& io,
        fleet_state& initial_fleet,
        slot_topology& initial_topology,
        std::string vm_id,
        std::string zone,
        std::uint64_t started,
        send_hook hook);

    /// Starts the periodic reports to coordinators.
    void start();

    /// Requests a slot and waits for the result. `cancellation` must outlive
    /// the call.
    boost::asio::awaitable<slot_result>
    acquire(slot_requirements requirements, slot_cancellation& cancellation);

    /// Releases a slot. `stage` applies to the outcome `crashed`.
    void release(
        const serving::slot_id& id,
        serving::slot_outcome outcome,
        serving::crash_stage stage = serving::crash_stage::before_response);

    /// Records the first event of the run in this slot.
    void note_first_event(const serving::slot_id& id);

    /// Applies a change to the quarantines of the fleet.
    void on_quarantine_change(const serving::quarantine_change& change);

    /// Reports immediately to the coordinator of a runner's group that the
    /// runner is leaving.
    void report_leaving(const serving::runner_entry& runner);

    /// Records that the runner of this slot sent bytes.
    void note_progress(const serving::slot_id& id);

    /// Sets the callback for the preemption of the run in this slot. It is
    /// called immediately if the run was preempted already.
    void
    set_preempt_hook(const serving::slot_id& id, std::function<void()> hook);

    /// Applies the decisions of a coordinator.
    void
    on_decisions(const std::string& sender, const wire::slot_decisions& packet);

    /// Returns the number of slots that this node uses.
    std::size_t in_use() const;

private:
    struct pending_request
    {
        serving::slot_request request;
        slot_requirements requirements;
        std::string coordinator;
        time_point last_sent;
        /// Version of the configuration under which the requirements hold.
        std::int64_t configuration_version = 0;
        bool resolved = false;
        slot_result result;
        boost::asio::steady_timer* timer = nullptr;
    };
    struct used_slot
    {
        serving::work_kind kind = serving::work_kind::online;
        serving::runner_group group;
        std::string runner;
        time_point granted_at;
        time_point last_progress;
        std::uint64_t request_digest = 0;
        serving::part_digests parts;
        /// True until a first event that the coordinator asked for is reported.
        bool report_first_event = false;
        std::function<void()> preempt_hook;
        bool preempted = false;
    };

    void tick();
    /// Returns whether the requirements of a request hold under the current
    /// configuration.
    bool is_current(pending_request& pending) const;
    std::int64_t configuration_version() const;
    std::optional<std::string>
    find_coordinator(time_point now, const serving::runner_group& group);
    void send_request(time_point now, pending_request& pending);
    void resolve(pending_request& pending, slot_result result);
    void choose_runner_directly(time_point now, pending_request& pending);
    void send_release(const wire::slot_release& packet);
    /// Moves a request or slot whose group no longer exists to the group that
    /// replaces it.
    void update_group(pending_request& pending);
    void update_group(used_slot& slot);
    void send_report(time_point now, const serving::runner_group& group);
    /// Returns the recent crashes of runners of a service under own runs.
    std::vector<serving::crashed_run>
    recent_crashes(time_point now, const std::string& service) const;
    /// Returns the groups in which this node uses slots or waits for one.
    std::set<serving::runner_group> groups_in_use();
    void apply_decision(
        const serving::runner_group& group,
        const serving::slot_decision& decision);
    void redirect(
        const std::shared_ptr<pending_request>& pending,
        const serving::runner_group& group);

    boost::asio::io_context& context;
    boost::asio::steady_timer ticker;
    fleet_state& fleet;
    std::string self;
    std::string own_zone;
    std::uint64_t incarnation = 0;
    send_hook send;
    slot_topology& topology;
    serving::coordinator_health health;
    /// Quarantines of the fleet. A request is refused here even if no
    /// coordinator can be reached.
    serving::crash_guard fleet_guard;
    /// Evidence of this node's own runs, for the time without a coordinator.
    /// Reports include its recent crashes that were not withdrawn, for a new
    /// coordinator and for one that missed the release of a slot.
    serving::crash_guard own_guard;
    std::map<std::uint64_t, std::shared_ptr<pending_request>> pending_requests;
    std::map<std::uint64_t, used_slot> used_slots;
    /// Groups whose last report named a slot, a waiting request or a leaving
    /// runner.
    std::set<serving::runner_group> reported_groups;
    /// Node to which the last report on each group was sent.
    std::map<serving::runner_group, std::string> report_receivers;
    std::uint64_t seen_nodes_version = 0;
    std::uint64_t next_number = 1;
    time_point next_report;
};

} // namespace chicory::node

#endif
