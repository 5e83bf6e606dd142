#ifndef CHICORY_CORE_LOG_HPP
#define CHICORY_CORE_LOG_HPP

#include "core/event.hpp"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicory
{

/// One named value of a log line.
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

/// Directs the log to standard error and sets the program and VM names that
/// appear in each line. Events below `level` are dropped. A line that cannot be
/// written is dropped; the process continues, and later lines are written again
/// as soon as writes succeed. Ignores SIGPIPE for the whole process.
void start_logging(std::string program, std::string vm_id, severity level);

/// Like `start_logging`, but directs the log to standard output and limits the
/// lines of each event with a `log_budget`. A line that cannot be written
/// without blocking is dropped and counted, so that the process never waits for
/// the reader of its log.
void start_bounded_logging(
    std::string program, std::string vm_id, severity level);

/// Returns the number of lines that the bounded log dropped because standard
/// output could not accept them. Lines over the budget are not counted.
std::int64_t count_dropped_log_lines();

/// Writes one line: time, severity, number, name and fields.
void log_event(event value, std::initializer_list<log_field> fields = {});

/// Returns the line of an event without its time, as `log_event` writes it.
std::string
format_event(event value, std::initializer_list<log_field> fields = {});

} // namespace chicory

#endif
