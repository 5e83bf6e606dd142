#ifndef CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_LINE_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_LINE_HPP

namespace chicory::control
{

/// Runs chicoryctl with its command-line arguments, prints the report and
/// returns the exit code of the process.
int run_client(int count, const char* const* arguments);

} // namespace chicory::control

#endif
