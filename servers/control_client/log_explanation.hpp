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
    /// Microseconds since 1970 by the clock of the VM that wrote the line.
    std::int64_t time_us = 0;
    std::string vm;
    std::string event;
    /// Names and values of the fields in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Parses a line of a log and ignores any text before its time. Error:
/// invalid_input for text that is not a line of a log.
result<log_line> parse_log_line(std::string_view text);

/// Collects the lines about one request, item or job from the logs of several
/// VMs, sorts them by time and reports the event that ended it. As the clocks
/// of VMs differ, lines of a coordinator are moved before the lines of the
/// nodes that show their effect. Errors: not_found when no line contains the
/// id, invalid_input when no line could be read.
result<command_report>
explain_log(const std::string& id, const std::vector<log_file>& files);

} // namespace chicory::control

#endif
