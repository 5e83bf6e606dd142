#include "servers/control_client/command_parser.hpp"

#include <CLI/CLI.hpp>

namespace chicory::control
{

namespace
{

constexpr const char* exit_code_help =
    "Exit codes: 0 success, 1 refused, 2 bad settings, 3 conflict (not "
    "committed), 4 outcome unknown, 5 not found, 6 unavailable, 64 bad usage.";

constexpr std::int64_t max_history = 1000;

void add_row_name(CLI::App& app, invocation& asked)
{
    app.add_option("name", asked.row.name, "Name of the row")->required();
}

void add_expected_revision(CLI::App& app, invocation& asked)
{
    app.add_option(
        "--expect-revision",
        asked.row.expected_revision,
        "Revision of the row that the edit was made for; 0 for a new row");
}

void add_table(CLI::App& app, invocation& asked, table_kind table)
{
    const std::string name(find_name(table_kind_names, table));
    CLI::App* const group =
        app.add_subcommand(name, "Lists and edits " + name + "s");
    group->require_subcommand(1);

    CLI::App* const list = group->add_subcommand("list", "Lists all rows");
    list->callback(
        [&asked, table]
        {
            asked.run = [table](client& opened)
            {
                return opened.configuration.list(table);
            };
        });

    CLI::App* const show = group->add_subcommand("show", "Shows one row");
    add_row_name(*show, asked);
    show->callback(
        [&asked, table]
        {
            asked.run = [&asked, table](client& opened)
            {
                return opened.configuration.show(table, asked.row.name);
            };
        });

    CLI::App* const set = group->add_subcommand(
        "set", "Creates a row or changes the given fields of one");
    add_row_name(*set, asked);
    add_expected_revision(*set, asked);
    set->add_option(
        "--file", asked.content_file, "Whole content as a JSON object");
    set->add_option(
        "fields", asked.row.assignments, "FIELD=VALUE, where VALUE is JSON");
    set->callback(
        [&asked, table]
        {
            asked.row.table = table;
            asked.run = [&asked](client& opened)
            {
                return opened.configuration.set(asked.row);
            };
        });

    CLI::App* const remove = group->add_subcommand("delete", "Deletes a row");
    add_row_name(*remove, asked);
    add_expected_revision(*remove, asked);
    remove->callback(
        [&asked, table]
        {
            asked.row.table = table;
            asked.run = [&asked](client& opened)
            {
                return opened.configuration.remove(asked.row);
            };
        });
}

void add_history(CLI::App& app, invocation& asked)
{
    CLI::App* const history =
        app.add_subcommand("history", "Shows the newest edits");
    history->add_option("--count", asked.count, "Number of edits")
        ->check(CLI::Range(std::int64_t{1}, max_history));
    history->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.history.list(asked.count);
            };
        });

    CLI::App* const undo =
        app.add_subcommand("undo", "Puts the row that a revision changed back");
    undo->add_option("revision", asked.revision, "Revision")->required();
    undo->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.history.undo(asked.revision);
            };
        });

    CLI::App* const settle = app.add_subcommand(
        "settle", "Finds out whether an edit of unknown outcome took effect");
    settle->add_option("operation", asked.id, "Operation id")->required();
    settle->add_option("--revision", asked.revision, "Revision of the edit")
        ->required();
    settle->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.history.settle(asked.id, asked.revision);
            };
        });
}

void add_jobs(CLI::App& app, invocation& asked)
{
    CLI::App* const group = app.add_subcommand("job", "Shows batch jobs");
    group->require_subcommand(1);

    CLI::App* const list = group->add_subcommand("list", "Lists open jobs");
    list->add_flag("--all", asked.all, "List ended jobs too");
    list->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.jobs.list(asked.all);
            };
        });

    CLI::App* const show = group->add_subcommand("show", "Shows one job");
    show->add_option("id", asked.id, "Id of the job")->required();
    show->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.jobs.show(asked.id);
            };
        });

    CLI::App* const cancel = group->add_subcommand("cancel", "Cancels a job");
    cancel->add_option("id", asked.id, "Id of the job")->required();
    cancel->callback(
        [&asked]
        {
            asked.run = [&asked](client& opened)
            {
                return opened.jobs.cancel(asked.id);
            };
        });
}

void add_fleet(CLI::App& app, invocation& asked)
{
    CLI::App* const runners = app.add_subcommand("runner", "Shows runners");
    runners->require_subcommand(1);
    runners->add_subcommand("list", "Lists the runners of all pools")
        ->callback(
            [&asked]
            {
                asked.run = [](client& opened)
                {
                    return opened.fleet.list_runners();
                };
            });

    CLI::App* const vms = app.add_subcommand("vm", "Shows VMs");
    vms->require_subcommand(1);
    vms->add_subcommand("list", "Lists the platform's VMs")
        ->callback(
            [&asked]
            {
                asked.run = [](client& opened)
                {
                    return opened.fleet.list_vms();
                };
            });

    app.add_subcommand("status", "Shows health and counters of the gates")
        ->callback(
            [&asked]
            {
                asked.run = [](client& opened)
                {
                    return opened.fleet.status(opened.settings.gates);
                };
            });
}

void add_explain(CLI::App& app, invocation& asked)
{
    CLI::App* const explain = app.add_subcommand(
        "explain",
        "Shows what happened to a request, an item or a job, from logs");
    explain->add_option("id", asked.id, "Id of the request, item or job")
        ->required();
    explain->add_option("files", asked.logs, "Log files of the VMs")
        ->required();
}

} // namespace

void set_up(CLI::App& app, invocation& asked)
{
    app.footer(exit_code_help);
    app.set_version_flag("--version", "chicoryctl " CHICORY_VERSION);
    app.add_option("--settings", asked.settings, "Settings file in TOML")
        ->envname("CHICORYCTL_SETTINGS");
    app.add_flag(
        "--check-settings",
        asked.check_settings,
        "Check the settings and exit");
    app.add_flag("--json", asked.json, "Print JSON");
    app.fallthrough();
    add_table(app, asked, table_kind::route);
    add_table(app, asked, table_kind::pool);
    add_history(app, asked);
    add_jobs(app, asked);
    add_fleet(app, asked);
    add_explain(app, asked);
}

} // namespace chicory::control
