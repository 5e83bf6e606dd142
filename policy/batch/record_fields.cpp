#include "policy/batch/record_fields.hpp"

namespace chicory::batch
{

namespace
{

error make_field_error(std::string_view kind, std::string_view field)
{
    return make_error(
        error_kind::internal,
        "expected " + std::string(kind) + " in field " + std::string(field));
}

} // namespace

result<boost::json::object>
parse_record(std::string_view kind, std::string_view value)
{
    boost::system::error_code code;
    boost::json::value parsed = boost::json::parse(value, code);
    if (code || !parsed.is_object())
    {
        return make_error(
            error_kind::internal,
            "expected a JSON object as " + std::string(kind) + ", found " +
                std::string(value.substr(0, 80)));
    }
    return std::move(parsed.get_object());
}

result<std::string>
read_text(const boost::json::object& record, std::string_view field)
{
    const boost::json::value* found = record.if_contains(field);
    if (found == nullptr || !found->is_string())
    {
        return make_field_error("a string", field);
    }
    return std::string(found->get_string());
}

result<std::int64_t>
read_integer(const boost::json::object& record, std::string_view field)
{
    const boost::json::value* found = record.if_contains(field);
    if (found == nullptr || !found->is_int64())
    {
        return make_field_error("an integer", field);
    }
    return found->get_int64();
}

result<std::uint64_t>
read_count(const boost::json::object& record, std::string_view field)
{
    BOOST_OUTCOME_TRY(const std::int64_t number, read_integer(record, field));
    if (number < 0)
    {
        return make_field_error("an integer that is not negative", field);
    }
    return static_cast<std::uint64_t>(number);
}

result<std::vector<std::uint64_t>>
read_counts(const boost::json::object& record, std::string_view field)
{
    const boost::json::value* found = record.if_contains(field);
    if (found == nullptr || !found->is_array())
    {
        return make_field_error("an array", field);
    }
    std::vector<std::uint64_t> numbers;
    for (const boost::json::value& element : found->get_array())
    {
        if (!element.is_int64() || element.get_int64() < 0)
        {
            return make_field_error(
                "an array of integers, none negative", field);
        }
        numbers.push_back(static_cast<std::uint64_t>(element.get_int64()));
    }
    return numbers;
}

} // namespace chicory::batch
