#ifndef CHICORY_SERVERS_CONTROL_CLIENT_CONFIGURATION_COMMANDS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_CONFIGURATION_COMMANDS_HPP

#include "servers/control_client/command_report.hpp"
#include "servers/control_client/configuration_store.hpp"
#include "servers/control_client/edit_commit.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicory::control
{

/// The two tables that operators edit.
enum class table_kind
{
    route,
    pool,
};

inline constexpr enum_table<table_kind, 2> table_kind_names = {{
    {table_kind::route, "route"},
    {table_kind::pool, "pool"},
}};

/// New content of a row as given by an operator.
struct row_request
{
    table_kind table = table_kind::route;
    std::string name;
    /// Whole content as a JSON object; empty to change the stored content. A
    /// field `revision` in it is the expected revision.
    std::string content;
    /// Assignments of the form "field=value". A value that is not valid JSON
    /// is used as a string.
    std::vector<std::string> assignments;
    /// Revision of the row that the edit is based on; zero for a new row.
    std::optional<std::int64_t> expected_revision;
};

/// Commands on the tables of routes and pools.
class configuration_commands
{
public:
    /// The store must outlive the commands.
    configuration_commands(configuration_store& initial_store, edit_hook hook);

    /// Shows all rows of a table.
    boost::asio::awaitable<command_report> list(table_kind table);
    /// Shows one row. Error: not_found.
    boost::asio::awaitable<command_report>
    show(table_kind table, std::string name);
    /// Creates a row or changes it.
    boost::asio::awaitable<command_report> set(row_request request);
    /// Deletes a row. Error: not_found.
    boost::asio::awaitable<command_report> remove(row_request request);

private:
    configuration_store& store;
    edit_hook complete_edit;
};

/// Returns the change that gives a row the requested content. Error:
/// invalid_input, which names the assignment or the field.
result<configuration::change>
make_change(const row_request& request, const configuration::table_set& tables);

} // namespace chicory::control

#endif
