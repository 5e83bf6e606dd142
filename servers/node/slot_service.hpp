#ifndef CHICORY_SERVERS_NODE_SLOT_SERVICE_HPP
#define CHICORY_SERVERS_NODE_SLOT_SERVICE_HPP

#include "policy/serving/serving.hpp"
#include "servers/node/fleet_knowledge.hpp"
#include "wire/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicory::node
{

/// Coordinates the slots of services for all nodes that ask: binds a
/// `slot_scheduler` for each service to datagrams and to the runners known.
class slot_service
{
public:
    /// Sends a packet to a node.
    using send_hook =
        std::function<void(const std::string& node, const wire::slot_packet&)>;

    slot_service(
        boost::asio::io_context& io, fleet_knowledge& known, send_hook hook);

    void start();

    /// Takes a packet of a node.
    void on_packet(const wire::slot_packet& packet);

    /// Returns the scheduler's counts for metrics, by service.
    const std::map<std::string, serving::slot_scheduler>& schedulers() const;

private:
    void tick();
    void refresh_runners(time_point now, bool always);
    serving::slot_scheduler&
    scheduler_of(time_point now, const std::string& service);
    void answer(
        const std::string& service,
        const std::string& asking,
        const std::vector<serving::slot_verdict>& verdicts);
    void log_refusal(
        const std::string& service, const serving::slot_verdict& verdict) const;
    std::vector<serving::slot_runner>
    usable_runners(time_point now, const std::string& service);

    boost::asio::steady_timer timer;
    fleet_knowledge& knowledge;
    send_hook send;
    std::map<std::string, serving::slot_scheduler> services;
    std::uint64_t seen_runners = 0;
    time_point next_refresh;
};

} // namespace chicory::node

#endif
