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

/// Coordinates the slots of groups of runners for all nodes that ask: binds a
/// `slot_scheduler` for each group to datagrams and to the runners known, and
/// tells the coordinators of a service's groups of each other.
class slot_coordinator
{
public:
    /// Sends a packet to a node.
    using send_hook =
        std::function<void(const std::string& node, const wire::slot_packet&)>;

    slot_coordinator(
        boost::asio::io_context& io,
        fleet_state& known,
        slot_topology& its_topology,
        std::string vm_id,
        send_hook hook);

    void start();

    /// Takes a packet of a node.
    void on_packet(const std::string& sender, const wire::slot_packet& packet);

    /// Returns the schedulers' counts for metrics.
    const std::map<serving::runner_group, serving::slot_scheduler>&
    schedulers() const;

private:
    /// Node that coordinates another group, as its last news told.
    struct known_coordinator
    {
        std::string node;
        time_point heard;
    };

    void tick();
    void refresh_runners(time_point now, bool always);
    serving::slot_scheduler&
    scheduler_of(time_point now, const serving::runner_group& group);
    void answer(
        const serving::runner_group& group,
        const std::string& asking,
        const std::vector<serving::slot_decision>& verdicts);
    void log_refusal(
        const serving::runner_group& group,
        const serving::slot_decision& verdict) const;
    void take(time_point now, const serving::slot_request& request);
    void take(time_point now, const wire::slot_release& release);
    void take(time_point now, const wire::slot_report& report);
    void take(
        time_point now,
        const std::string& sender,
        const wire::group_status_packet& news);
    bool is_first(const serving::runner_group& group);
    /// Makes the schedulers of the groups that this node is the first to
    /// coordinate: where no node asks, the other groups must hear of its room.
    void add_own_groups(time_point now);
    void send_group_status(time_point now);
    std::string
    choose_receiver(time_point now, const serving::runner_group& group);

    boost::asio::steady_timer timer;
    fleet_state& fleet;
    slot_topology& topology;
    std::string self;
    send_hook send;
    std::map<serving::runner_group, serving::slot_scheduler> groups;
    std::map<serving::runner_group, known_coordinator> coordinators;
    time_point next_news;
    std::uint64_t seen_runners = 0;
    time_point next_refresh;
};

} // namespace chicory::node

#endif
