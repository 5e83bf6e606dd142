#include "servers/control_client/edit_commit.hpp"

#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

command_report report_edit(const edit_report& edit_result)
{
    using configuration::edit_outcome;
    command_report report;
    report.content["outcome"] =
        find_name(configuration::edit_outcome_names, edit_result.outcome);
    report.content["revision"] = edit_result.revision;
    report.content["operation_id"] = edit_result.operation_id;
    const std::string revision = std::to_string(edit_result.revision);
    switch (edit_result.outcome)
    {
    case edit_outcome::committed:
        report.text = "committed as revision " + revision + "\n";
        break;
    case edit_outcome::not_committed:
        report.exit = client_exit::conflict;
        report.text = "not committed: another edit is revision " + revision +
                      ", and this one can no longer take effect\n";
        break;
    case edit_outcome::unknown:
        const std::string command = configuration::make_settle_command(
            edit_result.operation_id, edit_result.revision);
        report.exit = client_exit::outcome_unknown;
        report.content["settle"] = command;
        report.text = "unknown: the answer of the table service was lost; "
                      "run: " +
                      command + "\n";
        break;
    }
    return report;
}

asio::awaitable<command_report> commit_edit(
    configuration_store& store,
    const edit_hook& complete_edit,
    configuration::edit edit)
{
    complete_edit(edit);
    const result<edit_report> edit_result =
        co_await store.apply(std::move(edit));
    co_return edit_result ? report_edit(edit_result.value())
                          : report_error(edit_result.error());
}

} // namespace chicory::control
