#ifndef CHICORY_SERVERS_LIFECYCLE_DAEMON_PROGRAM_HPP
#define CHICORY_SERVERS_LIFECYCLE_DAEMON_PROGRAM_HPP

#include "core/core.hpp"
#include "servers/settings/settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace chicory
{

/// Starts a daemon that was created before.
using start_hook = std::function<result<void>()>;

/// Properties of a daemon that its program passes to `run_daemon`.
struct daemon_program
{
    std::string name;
    /// Description of the program in its help text.
    std::string description;
    /// Creates the daemon without starting it. The returned hook owns the
    /// daemon. Error: invalid_input for a file that the settings name.
    std::function<result<start_hook>(boost::asio::io_context&, vm_settings)>
        make;
};

/// Reads the command line and the settings and runs the daemon until it stops.
/// Returns the exit code of the process.
int run_daemon(
    int count, const char* const* arguments, const daemon_program& program);

} // namespace chicory

#endif
