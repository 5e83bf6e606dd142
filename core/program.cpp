#include "core/program.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace chicory
{

namespace
{

constexpr const char* exit_code_help =
    "Exit codes: 0 success, 1 failure, 2 bad settings, 64 bad usage.";

} // namespace

program_options parse_command_line(
    int count,
    const char* const* arguments,
    const std::string& name,
    const std::string& description)
{
    program_options options;
    CLI::App app(description, name);
    app.footer(exit_code_help);
    app.set_version_flag("--version", name + " " CHICORY_VERSION);
    app.add_option("--settings", options.settings, "Settings file in TOML")
        ->required();
    app.add_flag(
        "--check-settings",
        options.check_settings,
        "Check the settings and exit");
    try
    {
        app.parse(count, arguments);
    }
    catch (const CLI::ParseError& failure)
    {
        const bool is_success = app.exit(failure) == 0;
        options.exit = is_success ? exit_code::success : exit_code::bad_usage;
    }
    return options;
}

exit_code report_bad_settings(const error& failure)
{
    std::cerr << failure.text << "\n";
    return exit_code::bad_settings;
}

} // namespace chicory
