#ifndef CHICORY_SERVERS_CONTROL_CLIENT_LOG_EXPLANATION_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_LOG_EXPLANATION_HPP

#include "core/core.hpp"
#include "servers/control_client/command_report.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::control
{

/// Text of one log file.
struct log_file
{
    std::string name;
    std::string text;
};

/// One line of a log.
struct log_line
{
    /// Microseconds since 1970 by the clock of the VM that wrote it.
    std::int64_t time_us = 0;
    std::string vm;
    std::string event;
    /// Fields in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Reads a line, whatever stands before its time. Error: invalid_input for
/// text that is no line of a log.
result<log_line> read_log_line(std::string_view text);

/// Puts the lines of one request, item or job of several VMs in order and
/// names the decision that ended it. Clocks of VMs differ: a coordinator's
/// line is moved before the line of the node that shows its effect. Errors:
/// not_found when no line names the id; invalid_input when no line could be
/// read.
result<command_report>
explain_log(const std::string& id, const std::vector<log_file>& files);

} // namespace chicory::control

#endif
