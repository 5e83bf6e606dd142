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

void add_row_name(CLI::App& app, invocation& options)
{
    app.add_option("name", options.row.name, "Name of the row")->required();
}

void add_expected_revision(CLI::App& app, invocation& options)
{
    app.add_option(
        "--expect-revision",
        options.row.expected_revision,
        "Revision of the row that the edit was made for; 0 for a new row");
}

void add_table(CLI::App& app, invocation& options, table_kind table)
{
    const std::string name(find_name(table_kind_names, table));
    CLI::App* const group =
        app.add_subcommand(name, "Lists and edits " + name + "s");
    group->require_subcommand(1);

    CLI::App* const list = group->add_subcommand("list", "Lists all rows");
    list->callback(
        [&options, table]
        {
            options.run = [table](client& session)
            {
                return session.configuration.list(table);
            };
        });

    CLI::App* const show = group->add_subcommand("show", "Shows one row");
    add_row_name(*show, options);
    show->callback(
        [&options, table]
        {
            options.run = [&options, table](client& session)
            {
                return session.configuration.show(table, options.row.name);
            };
        });

    CLI::App* const set = group->add_subcommand(
        "set", "Creates a row or changes the given fields of one");
    add_row_name(*set, options);
    add_expected_revision(*set, options);
    set->add_option(
        "--file", options.content_file, "Whole content as a JSON object");
    set->add_option(
        "fields", options.row.assignments, "FIELD=VALUE, where VALUE is JSON");
    set->callback(
        [&options, table]
        {
            options.row.table = table;
            options.run = [&options](client& session)
            {
                return session.configuration.set(options.row);
            };
        });

    CLI::App* const remove = group->add_subcommand("delete", "Deletes a row");
    add_row_name(*remove, options);
    add_expected_revision(*remove, options);
    remove->callback(
        [&options, table]
        {
            options.row.table = table;
            options.run = [&options](client& session)
            {
                return session.configuration.remove(options.row);
            };
        });
}

void add_history(CLI::App& app, invocation& options)
{
    CLI::App* const history =
        app.add_subcommand("history", "Shows the newest edits");
    history->add_option("--count", options.count, "Number of edits")
        ->check(CLI::Range(std::int64_t{1}, max_history));
    history->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.history.list(options.count);
            };
        });

    CLI::App* const undo =
        app.add_subcommand("undo", "Puts the row that a revision changed back");
    undo->add_option("revision", options.revision, "Revision")->required();
    undo->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.history.undo(options.revision);
            };
        });

    CLI::App* const settle = app.add_subcommand(
        "settle", "Finds out whether an edit of unknown outcome took effect");
    settle->add_option("operation", options.id, "Operation id")->required();
    settle->add_option("--revision", options.revision, "Revision of the edit")
        ->required();
    settle->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.history.settle(options.id, options.revision);
            };
        });
}

void add_jobs(CLI::App& app, invocation& options)
{
    CLI::App* const group = app.add_subcommand("job", "Shows batch jobs");
    group->require_subcommand(1);

    CLI::App* const list = group->add_subcommand("list", "Lists open jobs");
    list->add_flag("--all", options.all, "List ended jobs too");
    list->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.jobs.list(options.all);
            };
        });

    CLI::App* const show = group->add_subcommand("show", "Shows one job");
    show->add_option("id", options.id, "Id of the job")->required();
    show->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.jobs.show(options.id);
            };
        });

    CLI::App* const cancel = group->add_subcommand("cancel", "Cancels a job");
    cancel->add_option("id", options.id, "Id of the job")->required();
    cancel->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.jobs.cancel(options.id);
            };
        });
}

void add_quarantines(CLI::App& app, invocation& options)
{
    CLI::App* const group = app.add_subcommand(
        "quarantine", "Shows and lifts quarantines of chicory-node");
    group->require_subcommand(1);
    group->add_subcommand("list", "Lists quarantines with their evidence")
        ->callback(
            [&options]
            {
                options.run = [](client& session)
                {
                    return session.quarantines.list();
                };
            });
    CLI::App* const lift = group->add_subcommand(
        "lift", "Ends the quarantine of a trait on the whole fleet");
    lift->add_option("trait", options.id, "Trait as listed")->required();
    lift->callback(
        [&options]
        {
            options.run = [&options](client& session)
            {
                return session.quarantines.lift(options.id);
            };
        });
}

void add_fleet(CLI::App& app, invocation& options)
{
    CLI::App* const runners = app.add_subcommand("runner", "Shows runners");
    runners->require_subcommand(1);
    runners->add_subcommand("list", "Lists the runners of all pools")
        ->callback(
            [&options]
            {
                options.run = [](client& session)
                {
                    return session.fleet.list_runners();
                };
            });

    CLI::App* const vms = app.add_subcommand("vm", "Shows VMs");
    vms->require_subcommand(1);
    vms->add_subcommand("list", "Lists the platform's VMs")
        ->callback(
            [&options]
            {
                options.run = [](client& session)
                {
                    return session.fleet.list_vms();
                };
            });

    app.add_subcommand("status", "Shows health and counters of the gates")
        ->callback(
            [&options]
            {
                options.run = [](client& session)
                {
                    return session.fleet.status(session.settings.gates);
                };
            });
}

void add_explain(CLI::App& app, invocation& options)
{
    CLI::App* const explain = app.add_subcommand(
        "explain",
        "Shows what happened to a request, an item or a job, from logs");
    explain->add_option("id", options.id, "Id of the request, item or job")
        ->required();
    explain->add_option("files", options.logs, "Log files of the VMs")
        ->required();
}

} // namespace

void declare_commands(CLI::App& app, invocation& options)
{
    app.footer(exit_code_help);
    app.set_version_flag("--version", "chicoryctl " CHICORY_VERSION);
    app.add_option("--settings", options.settings, "Settings file in TOML")
        ->envname("CHICORYCTL_SETTINGS");
    app.add_flag(
        "--check-settings",
        options.check_settings,
        "Check the settings and exit");
    app.add_flag("--json", options.json, "Print JSON");
    app.fallthrough();
    add_table(app, options, table_kind::route);
    add_table(app, options, table_kind::pool);
    add_history(app, options);
    add_jobs(app, options);
    add_quarantines(app, options);
    add_fleet(app, options);
    add_explain(app, options);
}

} // namespace chicory::control
