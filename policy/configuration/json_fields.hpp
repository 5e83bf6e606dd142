#ifndef CHICORY_POLICY_CONFIGURATION_JSON_FIELDS_HPP
#define CHICORY_POLICY_CONFIGURATION_JSON_FIELDS_HPP

#include "core/core.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::configuration
{

/// Reads the fields of one row. Each `read` leaves its target unchanged when
/// the field is missing. The first error is stored, and no field is read after
/// it.
class json_fields
{
public:
    /// Parses the text of the row with this key.
    json_fields(std::string_view row_key, std::string_view text);

    /// Reads from an object that has already been parsed.
    json_fields(std::string_view row_key, boost::json::object parsed);

    void read(std::string_view field, std::string& target);
    void read(std::string_view field, std::int64_t& target);
    void read(std::string_view field, bool& target);
    void read(std::string_view field, std::vector<std::string>& target);
    void
    read(std::string_view field, std::map<std::string, std::int64_t>& target);
    void
    read(std::string_view field, std::map<std::string, std::string>& target);
    void read(
        std::string_view field,
        std::map<std::string, std::vector<std::string>>& target);

    /// Stores an error for a field, unless an earlier error is stored.
    void
    fail(std::string_view field, std::string_view expected, std::string found);

    /// Stores an error when the object has a field that is not in `allowed`.
    void allow_only(const std::vector<std::string_view>& allowed);

    /// Returns the parsed object; it is empty when parsing failed.
    const boost::json::object& object() const;

    /// Returns success or the first error, which is invalid_input.
    result<void> finish() const;

private:
    const boost::json::value* find(std::string_view field) const;

    /// Reads an object and converts its values with `convert`, which returns no
    /// value for a value of another type.
    template <class Value, class Convert>
    void read_map(
        std::string_view field,
        std::string_view expected,
        std::map<std::string, Value>& target,
        const Convert& convert);

    std::string key;
    boost::json::object fields;
    bool failed = false;
    error first_error;
};

} // namespace chicory::configuration

#endif
