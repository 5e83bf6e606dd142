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

result<void> read_content(invocation& asked)
{
    if (asked.content_file.empty())
    {
        return boost::outcome_v2::success();
    }
    std::ifstream file(asked.content_file);
    if (!file)
    {
        return make_error(
            error_kind::invalid_input,
            "expected a file that can be read, found " + asked.content_file);
    }
    asked.row.content.assign(std::istreambuf_iterator<char>(file), {});
    return boost::outcome_v2::success();
}

command_report run(const client_settings& settings, const command& wanted)
{
    asio::io_context context(1);
    client opened(context, settings);
    command_report report;
    asio::co_spawn(
        context,
        wanted(opened),
        [&](const std::exception_ptr& failure, command_report done)
        {
            if (failure)
            {
                std::rethrow_exception(failure);
            }
            report = std::move(done);
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

command_report explain(const invocation& asked)
{
    std::vector<log_file> files;
    for (const std::string& name : asked.logs)
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
    result<command_report> report = explain_log(asked.id, files);
    if (!report)
    {
        return report_error(report.error());
    }
    return std::move(report.value());
}

} // namespace

int run_client(int count, const char* const* arguments)
{
    invocation asked;
    CLI::App app("Edits routes and pools and shows the fleet", "chicoryctl");
    set_up(app, asked);
    try
    {
        app.parse(count, arguments);
    }
    catch (const CLI::ParseError& failure)
    {
        const bool is_answer = app.exit(failure) == 0;
        return static_cast<int>(
            is_answer ? client_exit::success : client_exit::bad_usage);
    }
    if (!asked.logs.empty())
    {
        return print(explain(asked), asked.json);
    }
    const result<client_settings> settings =
        read_client_settings(asked.settings);
    if (!settings)
    {
        return static_cast<int>(report_bad_settings(settings.error()));
    }
    if (asked.check_settings)
    {
        return static_cast<int>(client_exit::success);
    }
    if (!asked.run)
    {
        std::cerr << app.help();
        return static_cast<int>(client_exit::bad_usage);
    }
    if (const result<void> content = read_content(asked); !content)
    {
        return print(report_error(content.error()), asked.json);
    }
    return print(run(settings.value(), asked.run), asked.json);
}

} // namespace chicory::control
