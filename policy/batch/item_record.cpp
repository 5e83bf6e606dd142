#include "policy/batch/item_record.hpp"

#include "policy/batch/record_fields.hpp"

#include <algorithm>
#include <utility>

namespace chicory::batch
{

namespace
{

/// Length of the prompt prefix that determines which items are sent
/// consecutively.
constexpr std::size_t prefix_bytes = 256;

std::string read_prompt_prefix(const boost::json::object& body)
{
    if (const boost::json::value* prompt = body.if_contains("prompt"))
    {
        return boost::json::serialize(*prompt).substr(0, prefix_bytes);
    }
    if (const boost::json::value* messages = body.if_contains("messages"))
    {
        return boost::json::serialize(*messages).substr(0, prefix_bytes);
    }
    return {};
}

bool read_flag(const boost::json::object& record, std::string_view field)
{
    const boost::json::value* found = record.if_contains(field);
    return found != nullptr && found->is_bool() && found->get_bool();
}

} // namespace

result<item_request> decode_item(std::string_view line, std::uint64_t index)
{
    item_request item;
    item.index = index;
    BOOST_OUTCOME_TRY(const auto fields, parse_record("item", line));
    BOOST_OUTCOME_TRY(item.custom_id, read_text(fields, "custom_id"));
    BOOST_OUTCOME_TRY(item.url, read_text(fields, "url"));
    const boost::json::value* body = fields.if_contains("body");
    if (body == nullptr || !body->is_object())
    {
        return make_error(
            error_kind::internal,
            "expected an object in field body of item " + item.custom_id);
    }
    item.body = boost::json::serialize(*body);
    item.prefix = hash_bytes(read_prompt_prefix(body->get_object()));
    item.not_repeatable = read_flag(fields, "not_repeatable");
    if (const boost::json::value* route = fields.if_contains("route");
        route != nullptr && route->is_string())
    {
        item.route = std::string(route->get_string());
    }
    return item;
}

result<std::vector<std::pair<std::uint64_t, item_request>>> decode_items(
    std::string_view lines,
    std::uint64_t first,
    const std::vector<std::uint64_t>& members)
{
    std::vector<std::pair<std::uint64_t, item_request>> items;
    std::uint64_t position = 0;
    while (!lines.empty())
    {
        const std::size_t end = lines.find('\n');
        const bool is_selected =
            members.empty() ||
            std::find(members.begin(), members.end(), position) !=
                members.end();
        if (is_selected)
        {
            BOOST_OUTCOME_TRY(
                item_request item,
                decode_item(lines.substr(0, end), first + position));
            items.emplace_back(position, std::move(item));
        }
        ++position;
        lines.remove_prefix(
            end == std::string_view::npos ? lines.size() : end + 1);
    }
    if (!members.empty() && items.size() != members.size())
    {
        return make_error(
            error_kind::internal,
            "expected " + std::to_string(members.size()) +
                " member lines, found " + std::to_string(items.size()));
    }
    return items;
}

std::string encode(const item_record& record)
{
    boost::json::object fields;
    fields["index"] = static_cast<std::int64_t>(record.index);
    fields["custom_id"] = record.custom_id;
    fields["state"] = find_name(item_state_names, record.state);
    fields["attempts"] = static_cast<std::int64_t>(record.attempts);
    if (record.status != 0)
    {
        fields["status"] = record.status;
        fields["body"] = record.body;
    }
    if (!record.reason.empty())
    {
        fields["reason"] = record.reason;
    }
    return boost::json::serialize(fields);
}

result<item_record> decode_item_record(std::string_view line)
{
    item_record record;
    BOOST_OUTCOME_TRY(const auto fields, parse_record("result", line));
    BOOST_OUTCOME_TRY(record.index, read_count(fields, "index"));
    BOOST_OUTCOME_TRY(record.custom_id, read_text(fields, "custom_id"));
    BOOST_OUTCOME_TRY(
        record.state, read_enum(fields, "state", item_state_names));
    BOOST_OUTCOME_TRY(record.attempts, read_count(fields, "attempts"));
    if (fields.contains("status"))
    {
        BOOST_OUTCOME_TRY(record.status, read_integer(fields, "status"));
        BOOST_OUTCOME_TRY(record.body, read_text(fields, "body"));
    }
    if (fields.contains("reason"))
    {
        BOOST_OUTCOME_TRY(record.reason, read_text(fields, "reason"));
    }
    return record;
}

} // namespace chicory::batch
