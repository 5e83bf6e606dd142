#ifndef CHICORY_CORE_PROGRAM_HPP
#define CHICORY_CORE_PROGRAM_HPP

#include "core/error.hpp"

#include <optional>
#include <string>

namespace chicory
{

/// Exit codes of the daemons.
enum class exit_code
{
    success = 0,
    failure = 1,
    bad_settings = 2,
    bad_usage = 64,
};

/// Options from the command line of a daemon.
struct program_options
{
    std::string settings;
    bool check_settings = false;
    /// Exit code if the process must exit without running: after --help,
    /// --version or a usage error.
    std::optional<exit_code> exit;
};

/// Parses --settings FILE, --check-settings, --version and --help. Prints the
/// help, the version and usage errors.
program_options parse_command_line(
    int count,
    const char* const* arguments,
    const std::string& name,
    const std::string& description);

/// Prints a settings error to standard error, one line for each fault, and
/// returns `exit_code::bad_settings`.
exit_code report_bad_settings(const error& failure);

} // namespace chicory

#endif
