#include "experiments/load/load_plan.hpp"

#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <sstream>

namespace chicory::load
{

namespace
{

/// Parses a value into its field; returns false when the value is malformed.
using setter = std::function<bool(const std::string&)>;

bool read_number(const std::string& text, double& target)
{
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data(), end, target);
    return parsed.ec == std::errc() && parsed.ptr == end && target >= 0.0;
}

setter make_text_setter(std::string& target)
{
    return [&target](const std::string& text)
    {
        target = text;
        return true;
    };
}

setter make_number_setter(double& target)
{
    return [&target](const std::string& text)
    {
        return read_number(text, target);
    };
}

setter make_count_setter(std::int64_t& target)
{
    return [&target](const std::string& text)
    {
        double number = 0.0;
        const bool is_valid = read_number(text, number);
        target = static_cast<std::int64_t>(number);
        return is_valid;
    };
}

setter make_ms_setter(duration& target)
{
    return [&target](const std::string& text)
    {
        double number = 0.0;
        const bool is_valid = read_number(text, number);
        target = std::chrono::milliseconds(static_cast<std::int64_t>(number));
        return is_valid;
    };
}

setter make_flag_setter(bool& target)
{
    return [&target](const std::string& text)
    {
        target = text == "true";
        return text == "true" || text == "false";
    };
}

setter make_pattern_setter(arrival_pattern& target)
{
    return [&target](const std::string& text)
    {
        const std::optional<arrival_pattern> parsed =
            find_value(arrival_pattern_names, text);
        target = parsed.value_or(target);
        return parsed.has_value();
    };
}

result<void> parse_fields(
    const std::string& text, const std::map<std::string, setter>& setters)
{
    std::istringstream fields(text);
    std::string field;
    while (std::getline(fields, field, ','))
    {
        const std::size_t equals_sign = field.find('=');
        const std::string name = field.substr(0, equals_sign);
        const auto found = setters.find(name);
        if (equals_sign == std::string::npos || found == setters.end())
        {
            return make_error(
                error_kind::invalid_input,
                "source: expected name=value with a known name, found " +
                    field);
        }
        if (!found->second(field.substr(equals_sign + 1)))
        {
            return make_error(
                error_kind::invalid_input,
                "source: malformed value in " + field);
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

result<online_source> parse_online_source(const std::string& text)
{
    online_source source;
    const std::map<std::string, setter> fields{
        {"name", make_text_setter(source.name)},
        {"route", make_text_setter(source.route)},
        {"key", make_text_setter(source.key)},
        {"path", make_text_setter(source.path)},
        {"pattern", make_pattern_setter(source.arrivals.pattern)},
        {"rate", make_number_setter(source.arrivals.rate_per_s)},
        {"burst_factor", make_number_setter(source.arrivals.burst_factor)},
        {"burst_ms", make_ms_setter(source.arrivals.burst_length)},
        {"period_ms", make_ms_setter(source.arrivals.burst_period)},
        {"tokens", make_count_setter(source.tokens)},
        {"stream", make_flag_setter(source.streaming)},
        {"deadline_ms", make_ms_setter(source.deadline)},
        {"prompt", make_text_setter(source.prompt)},
        {"resends", make_count_setter(source.resends)},
        {"keyed", make_flag_setter(source.keyed)}};
    BOOST_OUTCOME_TRY(parse_fields(text, fields));
    return source;
}

result<batch_source> parse_batch_source(const std::string& text)
{
    batch_source source;
    const std::map<std::string, setter> fields{
        {"name", make_text_setter(source.name)},
        {"route", make_text_setter(source.route)},
        {"key", make_text_setter(source.key)},
        {"items", make_count_setter(source.items)},
        {"tokens", make_count_setter(source.tokens)},
        {"start_ms", make_ms_setter(source.start)},
        {"prompt", make_text_setter(source.prompt)}};
    BOOST_OUTCOME_TRY(parse_fields(text, fields));
    return source;
}

} // namespace chicory::load
