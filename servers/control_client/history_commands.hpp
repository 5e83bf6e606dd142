#ifndef CHICORY_SERVERS_CONTROL_CLIENT_HISTORY_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_HISTORY_COMMANDS_HPP

#include "servers/control_client/command_report.hpp"
#include "servers/control_client/configuration_store.hpp"
#include "servers/control_client/edit_commit.hpp"

#include <cstdint>
#include <string>

namespace chicory::control
{

/// Commands on the history of the tables of routes and pools.
class history_commands
{
public:
    /// The store must outlive the commands.
    history_commands(configuration_store& initial_store, edit_hook hook);

    /// Shows the newest `count` edits.
    boost::asio::awaitable<command_report> list(std::int64_t count);

    /// Restores the row that a revision changed to its content before that
    /// revision. Errors: not_found, conflict when the row has changed since.
    boost::asio::awaitable<command_report> undo(std::int64_t revision);

    /// Determines whether an edit of unknown outcome was committed.
    boost::asio::awaitable<command_report>
    settle(std::string operation_id, std::int64_t revision);

private:
    configuration_store& store;
    edit_hook complete_edit;
};

} // namespace chicory::control

#endif
