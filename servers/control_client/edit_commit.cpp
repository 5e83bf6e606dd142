#include "servers/control_client/edit_commit.hpp"

#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

command_report report_edit(const edit_report& done)
{
    using configuration::edit_outcome;
    command_report report;
    report.content["outcome"] =
        find_name(configuration::edit_outcome_names, done.outcome);
    report.content["revision"] = done.revision;
    report.content["operation_id"] = done.operation_id;
    const std::string revision = std::to_string(done.revision);
    switch (done.outcome)
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
            done.operation_id, done.revision);
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
    const edit_hook& sign,
    configuration::edit wanted)
{
    sign(wanted);
    const result<edit_report> done = co_await store.apply(std::move(wanted));
    co_return done ? report_edit(done.value()) : report_error(done.error());
}

} // namespace chicory::control
