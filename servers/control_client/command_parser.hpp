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

/// A command, ready to run.
using command = std::function<boost::asio::awaitable<command_report>(client&)>;

/// Number of edits that `history` shows unless told otherwise.
inline constexpr std::int64_t default_history = 20;

/// What the command line asks for.
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

/// Declares all options and commands. What is found goes to `asked`, which
/// must outlive the application and the command.
void set_up(CLI::App& app, invocation& asked);

} // namespace chicory::control

#endif
