#include "core/log.hpp"

#include "core/log_budget.hpp"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <csignal>
#include <iostream>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace chicory
{

namespace
{

namespace logging = boost::log;

/// Names that appear in each line. Set once, before any thread starts.
struct log_identity
{
    std::string program;
    std::string vm_id;
};

log_identity& identity()
{
    static log_identity names;
    return names;
}

std::atomic<severity>& lowest_severity()
{
    static std::atomic<severity> level{severity::info};
    return level;
}

/// Writes formatted lines to standard error.
class standard_error_backend
    : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
    void
    consume(const logging::record_view& /*record*/, const std::string& line)
    {
        // Clears the error state of a failed write, such as on a full disk;
        // otherwise the stream would drop all later lines.
        std::clog.clear();
        std::clog << line << std::endl;
    }
};

std::atomic<std::int64_t>& dropped_line_count()
{
    static std::atomic<std::int64_t> count{0};
    return count;
}

/// Writes lines to standard output without blocking and counts the lines that
/// it drops. A pipe that polls as writable accepts a write of up to PIPE_BUF
/// bytes atomically and without blocking, so longer lines are truncated.
class standard_output_backend
    : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
    void
    consume(const logging::record_view& /*record*/, const std::string& line)
    {
        std::string bytes = line.substr(0, PIPE_BUF - 1);
        bytes.push_back('\n');
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool ready = ::poll(&output, 1, 0) == 1 &&
                           (output.revents & POLLOUT) != 0 &&
                           (output.revents & (POLLERR | POLLHUP)) == 0;
        if (!ready || ::write(STDOUT_FILENO, bytes.data(), bytes.size()) < 0)
        {
            ++dropped_line_count();
        }
    }
};

/// Budget of the log, shared by all threads; empty if the log is not bounded.
struct bounded_log
{
    std::mutex guard;
    std::optional<log_budget> budget;
};

bounded_log& shared_bounded_log()
{
    static bounded_log shared;
    return shared;
}

/// Returns whether an event may be written now. Fills `dropped` with the lines
/// dropped earlier that have not been reported yet.
bool admit(const event_entry& entry, std::vector<dropped_lines>& dropped)
{
    bounded_log& shared = shared_bounded_log();
    const std::lock_guard<std::mutex> lock(shared.guard);
    if (!shared.budget)
    {
        return true;
    }
    const time_point now = read_monotonic_clock();
    dropped = shared.budget->collect_dropped_lines(now);
    return shared.budget->admit(now, entry.value, entry.level);
}

bool needs_quotes(std::string_view text)
{
    return text.empty() ||
           text.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view text)
{
    if (!needs_quotes(text))
    {
        line += text;
        return;
    }
    line.push_back('"');
    for (const char character : text)
    {
        if (character == '\n' || character == '\r')
        {
            line += character == '\n' ? "\\n" : "\\r";
            continue;
        }
        if (character == '"' || character == '\\')
        {
            line.push_back('\\');
        }
        line.push_back(character);
    }
    line.push_back('"');
}

void append_field(
    std::string& line, std::string_view name, std::string_view text)
{
    line.push_back(' ');
    line += name;
    line.push_back('=');
    append_value(line, text);
}

} // namespace

namespace
{

template <class Backend>
void set_sink(std::string program, std::string vm_id, severity level)
{
    identity() = {std::move(program), std::move(vm_id)};
    lowest_severity() = level;
    // A write to a pipe whose reader has closed it must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto sink =
        boost::make_shared<logging::sinks::synchronous_sink<Backend>>();
    sink->set_formatter(
        logging::expressions::stream
        << logging::expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
        << ' ' << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(sink);
    logging::core::get()->add_global_attribute(
        "TimeStamp", logging::attributes::utc_clock());
}

} // namespace

void start_logging(std::string program, std::string vm_id, severity level)
{
    set_sink<standard_error_backend>(
        std::move(program), std::move(vm_id), level);
}

void start_bounded_logging(
    std::string program, std::string vm_id, severity level)
{
    set_sink<standard_output_backend>(
        std::move(program), std::move(vm_id), level);
    const std::lock_guard<std::mutex> lock(shared_bounded_log().guard);
    shared_bounded_log().budget.emplace();
}

std::int64_t count_dropped_log_lines()
{
    return dropped_line_count();
}

std::string format_event(event value, std::initializer_list<log_field> fields)
{
    const event_entry& entry = find_entry(value);
    std::string line(name_of(entry.level));
    line += " " + std::to_string(static_cast<int>(value)) + " ";
    line += entry.name;
    if (!identity().program.empty())
    {
        append_field(line, "program", identity().program);
        append_field(line, "vm", identity().vm_id);
    }
    for (const log_field& field : fields)
    {
        append_field(line, field.name, field.value);
    }
    return line;
}

void log_event(event value, std::initializer_list<log_field> fields)
{
    if (find_entry(value).level < lowest_severity().load())
    {
        return;
    }
    static logging::sources::logger_mt logger;
    std::vector<dropped_lines> dropped;
    const bool admitted = admit(find_entry(value), dropped);
    for (const dropped_lines& lines : dropped)
    {
        BOOST_LOG(logger) << format_event(
            event::lines_left_out,
            {{"event", std::string(find_entry(lines.value).name)},
             {"count", lines.count}});
    }
    if (admitted)
    {
        BOOST_LOG(logger) << format_event(value, fields);
    }
}

} // namespace chicory
