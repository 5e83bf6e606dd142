#include "servers/control_client/command_line.hpp"

#include "servers/control_client/command_parser.hpp"
#include "servers/control_client/log_explanation.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>
#include <vector>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

result<void> read_content(invocation& options)
{
    if (options.content_file.empty())
    {
        return boost::outcome_v2::success();
    }
    std::ifstream file(options.content_file);
    if (!file)
    {
        return make_error(
            error_kind::invalid_input,
            "expected a file that can be read, found " + options.content_file);
    }
    options.row.content.assign(std::istreambuf_iterator<char>(file), {});
    return boost::outcome_v2::success();
}

command_report run(const client_settings& settings, const command& selected)
{
    asio::io_context context(1);
    client session(context, settings);
    command_report report;
    asio::co_spawn(
        context,
        selected(session),
        [&](const std::exception_ptr& failure, command_report finished)
        {
            if (failure)
            {
                std::rethrow_exception(failure);
            }
            report = std::move(finished);
            context.stop();
        });
    context.run();
    return report;
}

int print(const command_report& report, bool as_json)
{
    if (as_json)
    {
        std::cout << boost::json::serialize(report.content) << "\n";
    }
    else if (report.content.contains("error"))
    {
        std::cerr << report.text << "\n";
    }
    else
    {
        std::cout << report.text;
    }
    return static_cast<int>(report.exit);
}

command_report explain(const invocation& options)
{
    std::vector<log_file> files;
    for (const std::string& name : options.logs)
    {
        std::ifstream file(name);
        if (!file)
        {
            return report_error(make_error(
                error_kind::invalid_input,
                "expected a file that can be read, found " + name));
        }
        files.push_back(
            {name, std::string(std::istreambuf_iterator<char>(file), {})});
    }
    result<command_report> report = explain_log(options.id, files);
    if (!report)
    {
        return report_error(report.error());
    }
    return std::move(report.value());
}

} // namespace

int run_client(int count, const char* const* arguments)
{
    invocation options;
    CLI::App app("Edits routes and pools and shows the fleet", "chicoryctl");
    declare_commands(app, options);
    try
    {
        app.parse(count, arguments);
    }
    catch (const CLI::ParseError& failure)
    {
        const bool is_help_or_version = app.exit(failure) == 0;
        return static_cast<int>(
            is_help_or_version ? client_exit::success : client_exit::bad_usage);
    }
    if (!options.logs.empty())
    {
        return print(explain(options), options.json);
    }
    const result<client_settings> settings =
        read_client_settings(options.settings);
    if (!settings)
    {
        return static_cast<int>(report_bad_settings(settings.error()));
    }
    if (options.check_settings)
    {
        return static_cast<int>(client_exit::success);
    }
    if (!options.run)
    {
        std::cerr << app.help();
        return static_cast<int>(client_exit::bad_usage);
    }
    if (const result<void> content = read_content(options); !content)
    {
        return print(report_error(content.error()), options.json);
    }
    return print(run(settings.value(), options.run), options.json);
}

} // namespace chicory::control
