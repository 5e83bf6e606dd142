#include "servers/control_client/command_report.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace chicory::control
{

namespace
{

client_exit find_exit_code(error_kind kind)
{
    switch (kind)
    {
    case error_kind::conflict:
        return client_exit::conflict;
    case error_kind::outcome_unknown:
        return client_exit::outcome_unknown;
    case error_kind::not_found:
        return client_exit::not_found;
    case error_kind::unavailable:
    case error_kind::timeout:
        return client_exit::unavailable;
    default:
        return client_exit::failure;
    }
}

std::vector<std::size_t>
find_widths(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths.at(column) =
                std::max(widths.at(column), row.at(column).size());
        }
    }
    return widths;
}

} // namespace

command_report report_error(const error& failure)
{
    command_report report;
    report.exit = find_exit_code(failure.kind);
    report.text = std::string(name_of(failure.kind)) + ": " + failure.text;
    boost::json::object details;
    details["code"] = name_of(failure.kind);
    details["text"] = failure.text;
    report.content["error"] = std::move(details);
    return report;
}

std::string format_value(const boost::json::value& value)
{
    return value.is_string() ? std::string(value.as_string())
                             : boost::json::serialize(value);
}

std::string format_fields(const boost::json::object& fields)
{
    std::vector<std::vector<std::string>> rows;
    for (const boost::json::key_value_pair& field : fields)
    {
        rows.push_back({std::string(field.key()), format_value(field.value())});
    }
    return format_columns(rows);
}

std::string format_columns(const std::vector<std::vector<std::string>>& rows)
{
    const std::vector<std::size_t> widths = find_widths(rows);
    std::string text;
    for (const std::vector<std::string>& row : rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row.at(column);
            line.append(widths.at(column) + 2 - row.at(column).size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace chicory::control
