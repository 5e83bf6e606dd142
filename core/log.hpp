#ifndef CHICORY_CORE_LOG_HPP
#define CHICORY_CORE_LOG_HPP

#include "core/event.hpp"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicory
{

/// One value that a log line carries.
struct log_field
{
    log_field(std::string_view field_name, std::string text)
        : name(field_name), value(std::move(text))
    {
    }

    template <std::integral Number>
    log_field(std::string_view field_name, Number number)
        : name(field_name), value(std::to_string(number))
    {
    }

    std::string_view name;
    std::string value;
};

/// Directs the log to standard error and sets the names that each line
/// carries. Events below `level` are dropped. A line that cannot be written
/// is lost; the process goes on, and so does the log once it can be written.
void start_logging(std::string program, std::string vm_id, severity level);

/// Directs the log to standard output, bounded for each event by a
/// `log_budget`. A line that the reader of the output has no room for is left
/// out and counted, so that the process never waits for its log.
void start_bounded_logging(
    std::string program, std::string vm_id, severity level);

/// Returns the number of lines left out because the reader had no room.
std::int64_t count_dropped_log_lines();

/// Writes one line: time, severity, number, name, fields.
void log_event(event value, std::initializer_list<log_field> fields = {});

/// Returns the line of an event without its time, as `log_event` writes it.
std::string
format_event(event value, std::initializer_list<log_field> fields = {});

} // namespace chicory

#endif
