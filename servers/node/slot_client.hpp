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
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::node
{

/// What a slot is wanted for, with times as of the call.
struct slot_requirements
{
    serving::work_kind kind = serving::work_kind::online;
    std::string service;
    time_point target_deadline;
    time_point deadline;
    duration expected_work = duration::zero();
    std::uint64_t request_digest = 0;
    bool repeatable = false;
    std::vector<std::string> excluded;
};

/// Answer to a wish.
struct slot_result
{
    enum class result_kind
    {
        granted,
        refused,
        /// The caller withdrew the wish.
        cancelled,
        /// The request has crashed runners and must not run.
        quarantined,
    };
    result_kind kind = result_kind::cancelled;
    serving::slot_id id;
    std::string runner;
    duration retry_after = duration::zero();
    /// Node that decided; empty when no coordinator did.
    std::string coordinator;
    /// True when the runner was chosen without a coordinator.
    bool direct = false;
};

/// Lets the owner of a wish withdraw it while it waits.
class slot_cancellation
{
public:
    void cancel();

private:
    friend class slot_client;
    bool cancelled = false;
    std::function<void()> wake;
};

/// Gets slots from the coordinator of the own group of a service's runners, or
/// of the one that it names. Where no coordinator
/// answers, an online request goes to the runner that this node itself has
/// the fewest requests at.
class slot_client
{
public:
    /// Sends a packet to a node, this one included.
    using send_hook =
        std::function<void(const std::string&, const wire::slot_packet&)>;

    slot_client(
        boost::asio::io_context& io,
        fleet_state& known,
        slot_topology& groups,
        std::string vm_id,
        std::string zone,
        std::uint64_t started,
        send_hook hook);

    void start();

    /// Waits for a slot. `wait` must outlive the call.
    boost::asio::awaitable<slot_result>
    acquire(slot_requirements wish, slot_cancellation& wait);

    /// Gives a slot back. The digest is that of the wish.
    void release(
        const serving::slot_id& id,
        serving::slot_outcome outcome,
        std::uint64_t request_digest = 0);

    /// Tells the coordinator of a runner's group at once that the runner is
    /// leaving.
    void report_leaving(const serving::runner_entry& runner);

    /// Takes that the runner of this slot sent bytes.
    void note_progress(const serving::slot_id& id);

    /// Calls the hook once when the run in this slot must leave its runner.
    void
    set_preempt_hook(const serving::slot_id& id, std::function<void()> hook);

    /// Takes verdicts of a coordinator.
    void
    on_decisions(const std::string& sender, const wire::slot_decisions& packet);

    /// Number of slots that this node uses.
    std::size_t in_use() const;

private:
    struct pending_request
    {
        serving::slot_request request;
        slot_requirements requirements;
        std::string coordinator;
        time_point last_sent;
        bool answered = false;
        slot_result answer;
        boost::asio::steady_timer* timer = nullptr;
    };
    struct used_slot
    {
        serving::work_kind kind = serving::work_kind::online;
        serving::runner_group group;
        std::string runner;
        time_point since;
        time_point last_progress;
        std::function<void()> yield;
        bool must_yield = false;
    };

    void tick();
    std::optional<std::string>
    find_coordinator(time_point now, const serving::runner_group& group);
    void ask(time_point now, pending_request& pending);
    void settle(pending_request& pending, slot_result answer);
    void choose_directly(time_point now, pending_request& pending);
    void send_release(const wire::slot_release& packet);
    /// Moves requests and slots of groups that are no more to those that took
    /// their place.
    void follow_division(pending_request& pending);
    void follow_division(used_slot& slot);
    void report(time_point now, const serving::runner_group& group);
    /// Returns the groups that this node uses or waits for.
    std::set<serving::runner_group> groups_in_use();
    void take(
        const serving::runner_group& group,
        const serving::slot_decision& verdict);
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
    serving::coordinator_health contact;
    /// By service, the latest runs that crashed a runner; a new coordinator
    /// hears of them.
    std::map<std::string, std::deque<serving::crashed_run>> crashed;
    std::map<std::uint64_t, std::shared_ptr<pending_request>> wishes;
    std::map<std::uint64_t, used_slot> used;
    /// Groups whose last report named anything.
    std::set<serving::runner_group> reported;
    /// Coordinator that got the last report on a group.
    std::map<serving::runner_group, std::string> told;
    std::uint64_t seen_nodes = 0;
    std::uint64_t next_number = 1;
    time_point next_report;
};

} // namespace chicory::node

#endif
