#ifndef CHICORY_SERVERS_CONTROL_CLIENT_FLEET_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_FLEET_COMMANDS_HPP

#include "drivers/drivers.hpp"
#include "servers/control_client/command_report.hpp"
#include "servers/control_client/configuration_store.hpp"
#include "servers/control_client/runner_loads.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::control
{

/// Commands that show VMs, runners and gates.
class fleet_commands
{
public:
    /// The VM list, the store and the HTTP client must outlive the commands.
    fleet_commands(
        ports::vm_list& initial_vms,
        configuration_store& initial_store,
        net::http_client& client,
        load_source initial_source);

    /// Shows the VM list of the platform.
    boost::asio::awaitable<command_report> list_vms();

    /// Shows the listed runners with the pools that they serve, the gate that
    /// owns each, and its load.
    boost::asio::awaitable<command_report> list_runners();

    /// Shows the health and the metrics of each gate, and the revision of the
    /// configuration in the table service. The report shows a gate that does
    /// not respond with the error.
    boost::asio::awaitable<command_report>
    status(std::vector<net::endpoint> gates);

private:
    ports::vm_list& vms;
    configuration_store& store;
    net::http_client& http;
    load_source read_loads;
};

/// Parses the values of a page in the Prometheus text format. Names include
/// their labels.
std::map<std::string, double> parse_metrics(std::string_view page);

} // namespace chicory::control

#endif
