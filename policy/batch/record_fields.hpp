#ifndef CHICORY_POLICY_BATCH_RECORD_FIELDS_HPP
#define CHICORY_POLICY_BATCH_RECORD_FIELDS_HPP

#include "core/core.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::batch
{

/// Parses the JSON value of a row. `kind` names the record in error messages.
/// Error: internal when the value is not a JSON object.
result<boost::json::object>
parse_record(std::string_view kind, std::string_view value);

/// Returns a string field. Error: internal, naming the field.
result<std::string>
read_text(const boost::json::object& record, std::string_view field);

/// Returns an integer field. Error: internal, naming the field.
result<std::int64_t>
read_integer(const boost::json::object& record, std::string_view field);

/// Returns a non-negative integer field. Error: internal, naming the field.
result<std::uint64_t>
read_count(const boost::json::object& record, std::string_view field);

/// Returns a field that is an array of non-negative integers. Error: internal,
/// naming the field.
result<std::vector<std::uint64_t>>
read_counts(const boost::json::object& record, std::string_view field);

/// Returns the enumerator named by a string field. Error: internal, naming the
/// field.
template <class Enum, std::size_t Size>
result<Enum> read_enum(
    const boost::json::object& record,
    std::string_view field,
    const enum_table<Enum, Size>& names)
{
    BOOST_OUTCOME_TRY(const std::string name, read_text(record, field));
    if (const std::optional<Enum> value = find_value(names, name))
    {
        return *value;
    }
    return make_error(
        error_kind::internal,
        "field " + std::string(field) + " holds the unknown name " + name);
}

} // namespace chicory::batch

#endif
