#include "policy/configuration/history.hpp"

#include "policy/configuration/json_fields.hpp"
#include "policy/configuration/row_keys.hpp"
#include "policy/configuration/validation.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chicory::configuration
{

namespace json = boost::json;

namespace
{

json::value encode_optional(const std::optional<std::string>& content)
{
    if (!content)
    {
        return nullptr;
    }
    return json::value(*content);
}

std::optional<std::string>
read_optional(json_fields& fields, std::string_view name)
{
    const json::value* found = fields.object().if_contains(name);
    if (found == nullptr || found->is_null())
    {
        return std::nullopt;
    }
    std::string content;
    fields.read(name, content);
    return content;
}

/// Decodes the row content of a history entry into a change.
result<change> read_change(
    std::string_view key,
    const std::optional<std::string>& content,
    std::int64_t row_version)
{
    if (key.empty())
    {
        return change(barrier_change());
    }
    if (key.starts_with(route_prefix))
    {
        route_change route_update;
        route_update.name = key.substr(route_prefix.size());
        if (content)
        {
            BOOST_OUTCOME_TRY(
                route_update.after,
                decode_route(route_update.name, *content, row_version));
        }
        return change(std::move(route_update));
    }
    if (key.starts_with(pool_prefix))
    {
        pool_change pool_update;
        pool_update.name = key.substr(pool_prefix.size());
        if (content)
        {
            BOOST_OUTCOME_TRY(
                pool_update.after,
                decode_pool(pool_update.name, *content, row_version));
        }
        return change(std::move(pool_update));
    }
    return make_field_error(key, "key", "the key of a route or a pool", key);
}

void apply(table_set& tables, const change& row_change)
{
    if (const route_change* route_update =
            std::get_if<route_change>(&row_change))
    {
        tables.routes.erase(route_update->name);
        if (route_update->after)
        {
            tables.routes.emplace(route_update->name, *route_update->after);
        }
    }
    if (const pool_change* pool_update = std::get_if<pool_change>(&row_change))
    {
        tables.pools.erase(pool_update->name);
        if (pool_update->after)
        {
            tables.pools.emplace(pool_update->name, *pool_update->after);
        }
    }
}

result<void> check_applied(const change& row_change, const table_set& tables)
{
    if (const route_change* route_update =
            std::get_if<route_change>(&row_change))
    {
        if (!route_update->after)
        {
            return boost::outcome_v2::success();
        }
        return validate_route(*route_update->after, tables);
    }
    if (const pool_change* pool_update = std::get_if<pool_change>(&row_change))
    {
        if (!pool_update->after)
        {
            return validate_pool_deletion(pool_update->name, tables);
        }
        return validate_pool(*pool_update->after);
    }
    return boost::outcome_v2::success();
}

} // namespace

std::string encode_history(const history_entry& entry)
{
    json::object fields;
    fields["revision"] = entry.revision;
    fields["operator"] = entry.operator_name;
    fields["operation_id"] = entry.operation_id;
    fields["time_ms"] = entry.time_ms;
    fields["key"] = entry.key;
    fields["before"] = encode_optional(entry.before);
    fields["after"] = encode_optional(entry.after);
    return json::serialize(fields);
}

result<history_entry> decode_history(std::string_view text)
{
    history_entry entry;
    json_fields fields(history_prefix, text);
    fields.read("revision", entry.revision);
    fields.read("operator", entry.operator_name);
    fields.read("operation_id", entry.operation_id);
    fields.read("time_ms", entry.time_ms);
    fields.read("key", entry.key);
    entry.before = read_optional(fields, "before");
    entry.after = read_optional(fields, "after");
    if (entry.revision <= 0)
    {
        fields.fail(
            "revision", "a number above 0", std::to_string(entry.revision));
    }
    BOOST_OUTCOME_TRY(fields.finish());
    return entry;
}

edit_outcome resolve_edit(
    std::string_view operation_id, const std::optional<history_entry>& found)
{
    if (!found)
    {
        return edit_outcome::unknown;
    }
    return found->operation_id == operation_id ? edit_outcome::committed
                                               : edit_outcome::not_committed;
}

std::string
make_settle_command(std::string_view operation_id, std::int64_t revision)
{
    std::string command = "chicoryctl settle ";
    command.append(operation_id).append(" --revision ");
    return command + std::to_string(revision);
}

result<edit> plan_undo(const history_entry& entry, const table_set& tables)
{
    if (entry.key.empty())
    {
        return make_field_error(
            history_key(entry.revision),
            "key",
            "a revision that changed a row",
            "a barrier");
    }
    BOOST_OUTCOME_TRY(
        const change reverted, read_change(entry.key, entry.before, 0));
    const std::optional<std::string> current = find_content(reverted, tables);
    if (current != entry.after)
    {
        return make_error(
            error_kind::conflict,
            "row " + entry.key + ": was changed after revision " +
                std::to_string(entry.revision) + "\n" +
                describe_difference(entry.after, current));
    }
    edit undo;
    undo.row_change = reverted;
    undo.expected_row_version = find_row_version(reverted, tables);
    return undo;
}

result<table_set> apply_history(table_set tables, const history_entry& entry)
{
    if (entry.revision != tables.revision + 1)
    {
        return make_error(
            error_kind::conflict,
            "history entry: expected revision " +
                std::to_string(tables.revision + 1) + ", found " +
                std::to_string(entry.revision));
    }
    BOOST_OUTCOME_TRY(
        const change next, read_change(entry.key, entry.after, 0));
    if (find_content(next, tables) != entry.before)
    {
        return make_error(
            error_kind::conflict,
            "history entry " + std::to_string(entry.revision) +
                ": expected row " + entry.key + " as " +
                entry.before.value_or("missing") + ", found " +
                find_content(next, tables).value_or("missing"));
    }
    BOOST_OUTCOME_TRY(check_applied(next, tables));
    apply(tables, next);
    tables.revision = entry.revision;
    return tables;
}

} // namespace chicory::configuration
