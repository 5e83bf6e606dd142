#ifndef CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_PARSER_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_COMMAND_PARSER_HPP

#include "servers/control_client/client.hpp"

#include <boost/asio/awaitable.hpp>

#include <CLI/CLI.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace chicory::control
{

/// A command with its arguments, ready to run.
using command = std::function<boost::asio::awaitable<command_report>(client&)>;

/// Number of edits that `history` shows by default.
inline constexpr std::int64_t default_history = 20;

/// Options and the selected command of one command line.
struct invocation
{
    std::string settings = "chicoryctl.toml";
    bool json = false;
    bool check_settings = false;
    command run;
    row_request row;
    std::string content_file;
    std::int64_t revision = 0;
    std::int64_t count = default_history;
    std::string id;
    /// Log files of `explain`, which needs no settings.
    std::vector<std::string> logs;
    bool all = false;
};

/// Declares all options and commands. Parsing stores their values in `options`,
/// which must outlive the application and the command.
void declare_commands(CLI::App& app, invocation& options);

} // namespace chicory::control

#endif
