#ifndef CHICORY_SERVERS_NODE_SLOT_COORDINATOR_HPP
#define CHICORY_SERVERS_NODE_SLOT_COORDINATOR_HPP

#include "policy/serving/serving.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/slot_topology.hpp"
#include "wire/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicory::node
{

/// Coordinates the slots of runner groups for all nodes that send requests to
/// this node. Connects a `slot_scheduler` for each group to the datagrams and
/// to the runner directory, and sends the status of each group to the
/// coordinators of the service's other groups.
class slot_coordinator
{
public:
    /// Sends a packet to a node.
    using send_hook =
        std::function<void(const std::string& node, const wire::slot_packet&)>;

    /// Called with a change of the quarantines that a scheduler decided.
    using quarantine_hook =
        std::function<void(const serving::quarantine_change&)>;

    slot_coordinator(
        boost::asio::io_context& io,
        fleet_state& initial_fleet,
        slot_topology& initial_topology,
        std::string vm_id,
        const serving::organisation_quota_settings& quotas,
        send_hook hook,
        quarantine_hook initial_on_quarantine);

    /// Applies a change of the quarantines to all schedulers and to those that
    /// are added later.
    void on_quarantine_change(const serving::quarantine_change& change);

    /// Starts the periodic work of the schedulers.
    void start();

    /// Handles a packet from a node.
    void on_packet(const std::string& sender, const wire::slot_packet& packet);

    /// Returns the schedulers by group, for metrics.
    const std::map<serving::runner_group, serving::slot_scheduler>&
    schedulers() const;

    /// Returns the quotas of organisations, for metrics.
    const serving::organisation_quota& quota() const;

    /// Sets the nodes that announced that they are leaving, the source of the
    /// nodes that may be in use.
    using leaving_hook = std::function<std::vector<std::string>()>;
    void set_leaving_nodes(leaving_hook hook);

    /// Returns the number of nodes that may be in use.
    std::size_t known_nodes() const;

private:
    /// Node that coordinates another group, according to its last status.
    struct known_coordinator
    {
        std::string node;
        time_point received_at;
    };

    void tick();
    void refresh_runners(time_point now, bool always);
    /// Withdraws the crashes of runners that announced that they are leaving.
    void withdraw_crashes_of_leaving_runners();
    serving::slot_scheduler&
    find_or_add_scheduler(time_point now, const serving::runner_group& group);
    void send_decisions(
        const serving::runner_group& group,
        const std::string& requester,
        const std::vector<serving::slot_decision>& decisions);
    void log_refusal(
        const serving::runner_group& group,
        const serving::slot_decision& decision) const;
    void handle_request(time_point now, const serving::slot_request& request);
    void handle_release(time_point now, const wire::slot_release& release);
    void handle_first_event(time_point now, const wire::first_event& reported);
    /// Passes the changes of the quarantines of a scheduler on to the others.
    void spread_quarantines(time_point now, const serving::runner_group& group);
    void handle_report(time_point now, const wire::slot_report& report);
    void handle_group_status(
        time_point now,
        const std::string& sender,
        const wire::group_status_packet& packet);
    bool is_preferred_coordinator(const serving::runner_group& group);
    /// Adds schedulers for the groups of which this node is the preferred
    /// coordinator. A group without requests must also announce its free
    /// capacity to its peer groups.
    void add_own_groups(time_point now);
    void send_group_status(time_point now);
    /// Grants only a reserve of each quota after a suspension of the machine
    /// until the other coordinators have responded.
    void check_suspension(time_point now);
    /// Returns whether the configuration contains organisations.
    bool has_organisations() const;
    /// Updates the nodes that exchange quota statuses when the members or the
    /// runners have changed.
    void update_quota_contacts(time_point now);
    void send_quota_status(time_point now);
    void handle_quota_status(
        time_point now,
        const std::string& sender,
        const serving::quota_status& status);
    /// Writes a line for each organisation that was refused since the last
    /// call.
    void log_quotas(time_point now);
    std::string
    choose_status_receiver(time_point now, const serving::runner_group& group);

    boost::asio::steady_timer timer;
    fleet_state& fleet;
    slot_topology& topology;
    std::string self;
    send_hook send;
    quarantine_hook on_quarantine;
    /// Quarantines of the fleet and the times at which they end.
    std::map<std::uint64_t, std::pair<time_point, serving::trait_quarantine>>
        quarantines;
    leaving_hook leaving_nodes;
    serving::organisation_quota quotas;
    serving::quota_contacts contacts;
    bool was_in_majority = true;
    time_point next_quota_log;
    /// Counters of each organisation at the last log line.
    std::map<std::string, serving::quota_counters> logged_quotas;
    std::map<serving::runner_group, serving::slot_scheduler> groups;
    std::map<serving::runner_group, known_coordinator> coordinators;
    time_point next_status;
    std::uint64_t seen_runners_version = 0;
    time_point next_refresh;
};

} // namespace chicory::node

#endif
