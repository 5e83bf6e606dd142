#ifndef CHICORY_SERVERS_CONTROL_CLIENT_CLIENT_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_CLIENT_HPP

#include "platform/platform.hpp"
#include "servers/control_client/client_settings.hpp"
#include "servers/control_client/configuration_commands.hpp"
#include "servers/control_client/fleet_commands.hpp"
#include "servers/control_client/history_commands.hpp"
#include "servers/control_client/job_commands.hpp"
#include "servers/control_client/quarantine_commands.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace chicory::control
{

/// The connections, stores and command groups that commands of chicoryctl use.
struct client
{
    client(
        boost::asio::io_context& context,
        const client_settings& initial_settings);
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    client_settings settings;
    identifier_source identifiers;
    net::http_client http;
    std::unique_ptr<ports::table_service> table;
    std::unique_ptr<ports::vm_list> vms;
    std::unique_ptr<backend::backend_server> runners;
    configuration_store store;
    configuration_commands configuration;
    history_commands history;
    fleet_commands fleet;
    job_commands jobs;
    /// Store of chicory-node.
    platform::store_client records;
    quarantine_commands quarantines;

private:
    edit_hook make_edit_hook();
};

} // namespace chicory::control

#endif
