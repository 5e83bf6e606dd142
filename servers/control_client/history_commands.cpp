#include "servers/control_client/history_commands.hpp"

#include <boost/json/parse.hpp>

#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Returns the content of a row as JSON. Content that is not valid JSON becomes
/// a string.
json::value parse_content(const std::optional<std::string>& content)
{
    if (!content)
    {
        return nullptr;
    }
    boost::system::error_code code;
    json::value parsed = json::parse(*content, code);
    return code ? json::value(*content) : parsed;
}

json::object describe_entry(const configuration::history_entry& entry)
{
    json::object fields;
    fields["revision"] = entry.revision;
    fields["time_ms"] = entry.time_ms;
    fields["operator"] = entry.operator_name;
    fields["operation_id"] = entry.operation_id;
    fields["key"] = entry.key;
    fields["before"] = parse_content(entry.before);
    fields["after"] = parse_content(entry.after);
    return fields;
}

std::string name_action(const configuration::history_entry& entry)
{
    if (entry.key.empty())
    {
        return "nothing changed";
    }
    if (!entry.before)
    {
        return "created";
    }
    return entry.after ? "changed" : "deleted";
}

} // namespace

history_commands::history_commands(
    configuration_store& initial_store, edit_hook hook)
    : store(initial_store), complete_edit(std::move(hook))
{
}

asio::awaitable<command_report> history_commands::list(std::int64_t count)
{
    const result<std::vector<configuration::history_entry>> found =
        co_await this->store.read_newest_history(count);
    if (!found)
    {
        co_return report_error(found.error());
    }
    std::vector<std::vector<std::string>> lines = {
        {"revision", "time_ms", "operator", "row", "action"}};
    json::array entries;
    for (const configuration::history_entry& entry : found.value())
    {
        lines.push_back(
            {std::to_string(entry.revision),
             std::to_string(entry.time_ms),
             entry.operator_name,
             entry.key,
             name_action(entry)});
        entries.emplace_back(describe_entry(entry));
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["entries"] = std::move(entries);
    co_return report;
}

asio::awaitable<command_report> history_commands::undo(std::int64_t revision)
{
    const result<std::optional<configuration::history_entry>> entry =
        co_await this->store.read_history(revision);
    if (!entry)
    {
        co_return report_error(entry.error());
    }
    if (!entry.value())
    {
        co_return report_error(make_error(
            error_kind::not_found,
            "expected a revision of the history, found " +
                std::to_string(revision)));
    }
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    result<configuration::edit> edit =
        configuration::plan_undo(*entry.value(), stored.value().tables);
    if (!edit)
    {
        co_return report_error(edit.error());
    }
    co_return co_await commit_edit(
        this->store, this->complete_edit, std::move(edit.value()));
}

asio::awaitable<command_report>
history_commands::settle(std::string operation_id, std::int64_t revision)
{
    configuration::edit barrier;
    barrier.row_change = configuration::barrier_change();
    this->complete_edit(barrier);
    const result<edit_report> settled = co_await this->store.resolve(
        std::move(operation_id), revision, std::move(barrier));
    co_return settled ? report_edit(settled.value())
                      : report_error(settled.error());
}

} // namespace chicory::control
