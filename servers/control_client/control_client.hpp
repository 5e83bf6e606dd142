/// Public header of the operators' client library.
#ifndef CHICORY_SERVERS_CONTROL_CLIENT_CONTROL_CLIENT_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_CONTROL_CLIENT_HPP

#include "servers/control_client/client_settings.hpp"
#include "servers/control_client/command_line.hpp"
#include "servers/control_client/command_report.hpp"
#include "servers/control_client/configuration_commands.hpp"
#include "servers/control_client/configuration_store.hpp"
#include "servers/control_client/edit_commit.hpp"
#include "servers/control_client/fleet_commands.hpp"
#include "servers/control_client/history_commands.hpp"
#include "servers/control_client/job_commands.hpp"
#include "servers/control_client/log_explanation.hpp"
#include "servers/control_client/quarantine_commands.hpp"
#include "servers/control_client/runner_loads.hpp"

#endif
