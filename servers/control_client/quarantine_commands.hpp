#ifndef CHICORY_SERVERS_CONTROL_CLIENT_QUARANTINE_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_QUARANTINE_COMMANDS_HPP

#include "ports/ports.hpp"
#include "servers/control_client/command_report.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace chicory::control
{

/// Commands on the quarantines of chicory-node, which are records in the
/// platform's store.
class quarantine_commands
{
public:
    /// The store must outlive the commands.
    explicit quarantine_commands(ports::record_store& records);

    /// Shows all quarantines with their evidence.
    boost::asio::awaitable<command_report> list();

    /// Ends the quarantine of a trait on the whole fleet. Errors: not_found,
    /// unavailable, outcome_unknown.
    boost::asio::awaitable<command_report> lift(std::string trait);

private:
    ports::record_store& store;
};

} // namespace chicory::control

#endif
