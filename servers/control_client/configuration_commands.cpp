#include "servers/control_client/configuration_commands.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

result<json::object> parse_object(const std::string& text)
{
    boost::system::error_code code;
    json::value parsed = json::parse(text, code);
    if (code || !parsed.is_object())
    {
        return make_error(
            error_kind::invalid_input,
            "expected a JSON object as the row's content, found " +
                (code ? code.message() : std::string("another value")));
    }
    return std::move(parsed.as_object());
}

json::value parse_value(std::string_view text)
{
    boost::system::error_code code;
    json::value parsed = json::parse(text, code);
    return code ? json::value(text) : parsed;
}

result<void>
apply_assignment(json::object& content, const std::string& assignment)
{
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
    {
        return make_error(
            error_kind::invalid_input,
            "expected FIELD=VALUE, found \"" + assignment + "\"");
    }
    const std::string_view text(assignment);
    content[text.substr(0, equals)] = parse_value(text.substr(equals + 1));
    return boost::outcome_v2::success();
}

configuration::change make_deletion(table_kind table, const std::string& name)
{
    if (table == table_kind::route)
    {
        return configuration::route_change{name, std::nullopt};
    }
    return configuration::pool_change{name, std::nullopt};
}

error make_not_found(table_kind table, const std::string& name)
{
    return make_error(
        error_kind::not_found,
        "expected the name of a " +
            std::string(find_name(table_kind_names, table)) + ", found \"" +
            name + "\"");
}

json::object
parse_with_revision(const std::string& content, std::int64_t revision)
{
    json::object fields = json::parse(content).as_object();
    fields["revision"] = revision;
    return fields;
}

std::vector<json::object>
list_rows(table_kind table, const configuration::table_set& tables)
{
    std::vector<json::object> rows;
    if (table == table_kind::route)
    {
        for (const auto& [name, value] : tables.routes)
        {
            rows.push_back(parse_with_revision(
                configuration::encode_route(value), value.revision));
        }
        return rows;
    }
    for (const auto& [name, value] : tables.pools)
    {
        rows.push_back(parse_with_revision(
            configuration::encode_pool(value), value.revision));
    }
    return rows;
}

std::vector<std::string> list_columns(table_kind table)
{
    if (table == table_kind::route)
    {
        return {
            "name",
            "revision",
            "member",
            "pool",
            "max_in_progress",
            "default_deadline_ms"};
    }
    return {
        "name",
        "revision",
        "service",
        "kind",
        "slots_per_runner",
        "harm_weight"};
}

/// Removes the field `revision` from given content and uses it as the expected
/// revision unless one is set.
void extract_revision(
    json::object& content, std::optional<std::int64_t>& expected)
{
    const json::value* const revision = content.if_contains("revision");
    if (revision == nullptr)
    {
        return;
    }
    if (!expected && revision->is_int64())
    {
        expected = revision->as_int64();
    }
    content.erase("revision");
}

} // namespace

result<configuration::change>
make_change(const row_request& request, const configuration::table_set& tables)
{
    const configuration::change stored =
        make_deletion(request.table, request.name);
    std::string base = request.content;
    if (base.empty())
    {
        base = configuration::find_content(stored, tables).value_or("{}");
    }
    BOOST_OUTCOME_TRY(json::object content, parse_object(base));
    content.erase("revision");
    for (const std::string& assignment : request.assignments)
    {
        BOOST_OUTCOME_TRY(apply_assignment(content, assignment));
    }
    const std::string text = json::serialize(content);
    if (request.table == table_kind::route)
    {
        BOOST_OUTCOME_TRY(
            configuration::route value,
            configuration::decode_route(request.name, text, 0));
        return configuration::route_change{request.name, std::move(value)};
    }
    BOOST_OUTCOME_TRY(
        configuration::pool value,
        configuration::decode_pool(request.name, text, 0));
    return configuration::pool_change{request.name, std::move(value)};
}

configuration_commands::configuration_commands(
    configuration_store& initial_store, edit_hook hook)
    : store(initial_store), complete_edit(std::move(hook))
{
}

asio::awaitable<command_report> configuration_commands::list(table_kind table)
{
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    const std::vector<std::string> columns = list_columns(table);
    std::vector<std::vector<std::string>> lines = {columns};
    json::array rows;
    for (json::object& fields : list_rows(table, stored.value().tables))
    {
        std::vector<std::string> line;
        for (const std::string& column : columns)
        {
            line.push_back(format_value(fields.at(column)));
        }
        lines.push_back(std::move(line));
        rows.emplace_back(std::move(fields));
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["revision"] = stored.value().tables.revision;
    report.content["rows"] = std::move(rows);
    co_return report;
}

asio::awaitable<command_report>
configuration_commands::show(table_kind table, std::string name)
{
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    const configuration::table_set& tables = stored.value().tables;
    const configuration::change row = make_deletion(table, name);
    const std::optional<std::string> content =
        configuration::find_content(row, tables);
    if (!content)
    {
        co_return report_error(make_not_found(table, name));
    }
    command_report report;
    report.content = parse_with_revision(
        *content, configuration::find_row_version(row, tables));
    report.text = format_fields(report.content);
    co_return report;
}

asio::awaitable<command_report> configuration_commands::set(row_request request)
{
    if (!request.content.empty())
    {
        result<json::object> content = parse_object(request.content);
        if (!content)
        {
            co_return report_error(content.error());
        }
        extract_revision(content.value(), request.expected_revision);
    }
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    const configuration::table_set& tables = stored.value().tables;
    const result<configuration::change> change = make_change(request, tables);
    if (!change)
    {
        co_return report_error(change.error());
    }
    configuration::edit edit;
    edit.row_change = change.value();
    edit.expected_row_version = request.expected_revision.value_or(
        configuration::find_row_version(edit.row_change, tables));
    co_return co_await commit_edit(
        this->store, this->complete_edit, std::move(edit));
}

asio::awaitable<command_report>
configuration_commands::remove(row_request request)
{
    const result<stored_configuration> stored = co_await this->store.read();
    if (!stored)
    {
        co_return report_error(stored.error());
    }
    const configuration::table_set& tables = stored.value().tables;
    configuration::edit edit;
    edit.row_change = make_deletion(request.table, request.name);
    const std::int64_t found =
        configuration::find_row_version(edit.row_change, tables);
    if (found == 0)
    {
        co_return report_error(make_not_found(request.table, request.name));
    }
    edit.expected_row_version = request.expected_revision.value_or(found);
    co_return co_await commit_edit(
        this->store, this->complete_edit, std::move(edit));
}

} // namespace chicory::control
