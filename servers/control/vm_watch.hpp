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

/// Converts an entry of the VM list to the type of the membership library.
membership::vm to_vm(const ports::listed_vm& listed);

/// Polls the VM list at this node's share of the fleet's read rate and converts
/// changes into member updates, which gossip disseminates to all nodes.
class vm_watch
{
public:
    /// The list and the gossip service must outlive the watch.
    vm_watch(
        boost::asio::io_context& io,
        ports::vm_list& initial_list,
        fleet::gossip_service& gossip,
        std::uint64_t seed);

    /// Starts to poll the VM list.
    void start();

    /// Records that a gate or a batch process observed that a runner
    /// is leaving.
    void on_leaving(const std::string& id, std::uint64_t incarnation);

private:
    boost::asio::awaitable<void> watch();
    void apply_list(const std::vector<ports::listed_vm>& entries);

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
