#ifndef CHICORY_SERVERS_CONTROL_VM_WATCH_HPP
#define CHICORY_SERVERS_CONTROL_VM_WATCH_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/membership/membership.hpp"
#include "servers/fleet/fleet.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace chicory::control
{

/// Returns a line of the VM list in the form of the membership library.
membership::vm to_vm(const ports::listed_vm& listed);

/// Reads the VM list at this node's share of the fleet's rate and turns what
/// it says into updates, which gossip spreads to all.
class vm_watch
{
public:
    /// The list and the gossip must outlive the watch.
    vm_watch(
        boost::asio::io_context& io,
        ports::vm_list& source,
        fleet::gossip_service& spread,
        std::uint64_t seed);

    void start();

    /// Takes what a gate or a batch process noticed of a runner.
    void on_leaving(const std::string& id, std::uint64_t incarnation);

private:
    boost::asio::awaitable<void> watch();
    void take(const std::vector<ports::listed_vm>& lines);

    boost::asio::io_context& context;
    ports::vm_list& list;
    fleet::gossip_service& members;
    membership::vm_tracker tracker;
    configuration::poll_share share;
    bool read_again = true;
    bool available = true;
};

} // namespace chicory::control

#endif
