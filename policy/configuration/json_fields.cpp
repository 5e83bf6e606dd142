#include "policy/configuration/json_fields.hpp"

#include "policy/configuration/row_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chicory::configuration
{

namespace json = boost::json;

namespace
{

std::optional<std::int64_t> to_number(const json::value& value)
{
    return value.is_int64() ? std::optional(value.get_int64()) : std::nullopt;
}

std::optional<std::string> to_text(const json::value& value)
{
    if (!value.is_string())
    {
        return std::nullopt;
    }
    return std::string(value.get_string());
}

std::optional<std::vector<std::string>> to_strings(const json::value& value)
{
    if (!value.is_array())
    {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    for (const json::value& entry : value.get_array())
    {
        std::optional<std::string> text = to_text(entry);
        if (!text)
        {
            return std::nullopt;
        }
        texts.push_back(std::move(*text));
    }
    return texts;
}

} // namespace

json_fields::json_fields(std::string_view row_key, std::string_view text)
    : key(row_key)
{
    boost::system::error_code code;
    json::value parsed = json::parse(text, code);
    if (code || !parsed.is_object())
    {
        this->fail("(whole row)", "a JSON object", std::string(text));
        return;
    }
    this->fields = std::move(parsed.as_object());
}

json_fields::json_fields(std::string_view row_key, json::object parsed)
    : key(row_key), fields(std::move(parsed))
{
}

const json::value* json_fields::find(std::string_view field) const
{
    if (this->failed)
    {
        return nullptr;
    }
    return this->fields.if_contains(field);
}

void json_fields::fail(
    std::string_view field, std::string_view expected, std::string found)
{
    if (this->failed)
    {
        return;
    }
    this->failed = true;
    this->first_error = make_field_error(this->key, field, expected, found);
}

void json_fields::read(std::string_view field, std::string& target)
{
    const json::value* found = this->find(field);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_string())
    {
        this->fail(field, "a string", json::serialize(*found));
        return;
    }
    target = std::string(found->get_string());
}

void json_fields::read(std::string_view field, std::int64_t& target)
{
    const json::value* found = this->find(field);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_int64())
    {
        this->fail(field, "a whole number", json::serialize(*found));
        return;
    }
    target = found->get_int64();
}

void json_fields::read(std::string_view field, bool& target)
{
    const json::value* found = this->find(field);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_bool())
    {
        this->fail(field, "true or false", json::serialize(*found));
        return;
    }
    target = found->get_bool();
}

void json_fields::read(std::string_view field, std::vector<std::string>& target)
{
    const json::value* found = this->find(field);
    if (found == nullptr)
    {
        return;
    }
    std::optional<std::vector<std::string>> texts = to_strings(*found);
    if (!texts)
    {
        this->fail(field, "an array of strings", json::serialize(*found));
        return;
    }
    target = std::move(*texts);
}

template <class Value, class Convert>
void json_fields::read_map(
    std::string_view field,
    std::string_view expected,
    std::map<std::string, Value>& target,
    const Convert& convert)
{
    const json::value* found = this->find(field);
    if (found == nullptr)
    {
        return;
    }
    if (!found->is_object())
    {
        this->fail(field, expected, json::serialize(*found));
        return;
    }
    target.clear();
    for (const json::key_value_pair& entry : found->get_object())
    {
        std::optional<Value> value = convert(entry.value());
        if (!value)
        {
            this->fail(field, expected, json::serialize(*found));
            return;
        }
        target.emplace(entry.key(), std::move(*value));
    }
}

void json_fields::read(
    std::string_view field, std::map<std::string, std::int64_t>& target)
{
    this->read_map(field, "an object of whole numbers", target, to_number);
}

void json_fields::read(
    std::string_view field, std::map<std::string, std::string>& target)
{
    this->read_map(field, "an object of strings", target, to_text);
}

void json_fields::read(
    std::string_view field,
    std::map<std::string, std::vector<std::string>>& target)
{
    this->read_map(field, "an object of arrays of strings", target, to_strings);
}

void json_fields::allow_only(const std::vector<std::string_view>& allowed)
{
    for (const json::key_value_pair& entry : this->fields)
    {
        const std::string_view name = entry.key();
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
        {
            this->fail(name, "no such field", json::serialize(entry.value()));
        }
    }
}

const json::object& json_fields::object() const
{
    return this->fields;
}

result<void> json_fields::finish() const
{
    if (this->failed)
    {
        return this->first_error;
    }
    return boost::outcome_v2::success();
}

} // namespace chicory::configuration
