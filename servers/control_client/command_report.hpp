#ifndef CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_REPORT_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_REPORT_HPP

#include "core/core.hpp"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace chicory::control
{

/// Exit codes of chicoryctl.
enum class client_exit
{
    success = 0,
    failure = 1,
    bad_settings = 2,
    conflict = 3,
    outcome_unknown = 4,
    not_found = 5,
    unavailable = 6,
    bad_usage = 64,
};

/// Result of a command: text for people, JSON for programs and the exit code.
struct command_report
{
    client_exit exit = client_exit::success;
    std::string text;
    boost::json::object content;
};

/// Returns the report of an error, whose kind determines the exit code.
command_report report_error(const error& failure);

/// Returns a value as text for people: strings without quotes, other values as
/// JSON.
std::string format_value(const boost::json::value& value);

/// Returns the fields of an object as text, one field per line.
std::string format_fields(const boost::json::object& fields);

/// Returns rows as text in aligned columns; the first row is the heading.
std::string format_columns(const std::vector<std::vector<std::string>>& rows);

} // namespace chicory::control

#endif
