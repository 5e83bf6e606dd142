#include "servers/control_client/quarantine_commands.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

const std::string quarantine_table = "quarantine";

std::string field_text(const json::object& fields, std::string_view name)
{
    const json::value* const found = fields.if_contains(name);
    return found == nullptr ? "-" : format_value(*found);
}

/// Returns the fields of a record with the time that is left. A record that
/// cannot be read is shown with its key only.
json::object describe(const ports::record& source, std::int64_t now_ms)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(source.value, code);
    json::object fields =
        !code && parsed.is_object() ? parsed.as_object() : json::object();
    fields["trait"] = source.key;
    if (const json::value* const until = fields.if_contains("until_ms");
        until != nullptr && until->is_int64())
    {
        fields["time_left_ms"] =
            std::max<std::int64_t>(0, until->as_int64() - now_ms);
    }
    return fields;
}

} // namespace

quarantine_commands::quarantine_commands(ports::record_store& records)
    : store(records)
{
}

asio::awaitable<command_report> quarantine_commands::list()
{
    const std::vector<std::string> columns = {
        "trait",
        "companions",
        "count",
        "time_left_ms",
        "crashes",
        "crashed_runs",
        "good_runs",
        "share_permille",
        "other_runners"};
    std::vector<std::vector<std::string>> lines = {columns};
    json::array rows;
    ports::record_range range;
    range.table = quarantine_table;
    bool has_more = true;
    while (has_more)
    {
        const result<ports::record_page> page =
            co_await this->store.read(range);
        if (!page)
        {
            co_return report_error(page.error());
        }
        for (const ports::record& found : page.value().records)
        {
            json::object fields =
                describe(found, this->store.clock_ms().value_or(0));
            std::vector<std::string> line;
            for (const std::string& column : columns)
            {
                line.push_back(field_text(fields, column));
            }
            lines.push_back(std::move(line));
            rows.emplace_back(std::move(fields));
            range.from = found.key + '\0';
        }
        has_more = page.value().has_more && !page.value().records.empty();
    }
    command_report report;
    report.text = format_columns(lines);
    report.content["quarantines"] = std::move(rows);
    co_return report;
}

asio::awaitable<command_report> quarantine_commands::lift(std::string trait)
{
    ports::record_range range;
    range.table = quarantine_table;
    range.from = trait;
    range.to = trait + '\0';
    const result<ports::record_page> page = co_await this->store.read(range);
    if (!page)
    {
        co_return report_error(page.error());
    }
    if (page.value().records.empty())
    {
        co_return report_error(make_error(
            error_kind::not_found,
            "expected the trait of a quarantine, found \"" + trait + "\""));
    }
    const std::int64_t now_ms = this->store.clock_ms().value_or(0);
    command_report report;
    report.content = describe(page.value().records.front(), now_ms);
    report.content["lifted"] = true;
    report.text = format_fields(report.content);
    ports::record_transaction request;
    request.writes.push_back({quarantine_table, trait, std::nullopt});
    const result<ports::record_outcome> outcome =
        co_await this->store.transact(std::move(request));
    co_return outcome ? report : report_error(outcome.error());
}

} // namespace chicory::control
