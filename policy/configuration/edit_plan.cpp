#include "policy/configuration/edit_plan.hpp"

#include "policy/configuration/history.hpp"
#include "policy/configuration/row_keys.hpp"
#include "policy/configuration/validation.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <set>

namespace chicory::configuration
{

namespace json = boost::json;

namespace
{

result<void> check_change(const change& row_change, const table_set& tables)
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

result<void> check_version(const edit& requested, const table_set& tables)
{
    const std::int64_t found = find_row_version(requested.row_change, tables);
    if (found == requested.expected_row_version)
    {
        return boost::outcome_v2::success();
    }
    std::string text = "row " + key_of(requested.row_change) +
                       ": changed by another edit; expected version " +
                       std::to_string(requested.expected_row_version) +
                       ", found version " + std::to_string(found) + "\n";
    text += describe_difference(
        content_after(requested.row_change),
        find_content(requested.row_change, tables));
    return make_error(error_kind::conflict, std::move(text));
}

std::string encode_field(const json::object& fields, std::string_view name)
{
    const json::value* found = fields.if_contains(name);
    return found == nullptr ? "nothing" : json::serialize(*found);
}

json::object parse_fields(const std::optional<std::string>& content)
{
    if (!content)
    {
        return {};
    }
    boost::system::error_code code;
    json::value parsed = json::parse(*content, code);
    if (code || !parsed.is_object())
    {
        return {};
    }
    return std::move(parsed.as_object());
}

std::set<std::string>
collect_field_names(const json::object& first, const json::object& second)
{
    std::set<std::string> names;
    for (const json::key_value_pair& field : first)
    {
        names.emplace(field.key());
    }
    for (const json::key_value_pair& field : second)
    {
        names.emplace(field.key());
    }
    return names;
}

void add_row(edit_plan& plan, const edit& requested)
{
    const std::string key = key_of(requested.row_change);
    if (key.empty())
    {
        return;
    }
    plan.conditions.push_back({key, requested.expected_row_version});
    plan.writes.push_back({key, content_after(requested.row_change)});
}

void add_revision(
    edit_plan& plan, const edit& requested, const revision_row& current)
{
    revision_row next;
    next.revision = plan.revision;
    next.operation_id = requested.operation_id;
    const std::string key(revision_key);
    plan.conditions.push_back({key, current.row_version});
    plan.writes.push_back({key, encode_revision(next)});
}

void add_history(
    edit_plan& plan, const edit& requested, const table_set& tables)
{
    history_entry entry;
    entry.revision = plan.revision;
    entry.operator_name = requested.operator_name;
    entry.operation_id = requested.operation_id;
    entry.time_ms = requested.time_ms;
    entry.key = key_of(requested.row_change);
    entry.before = find_content(requested.row_change, tables);
    entry.after = content_after(requested.row_change);
    const std::string key = history_key(plan.revision);
    plan.conditions.push_back({key, 0});
    plan.writes.push_back({key, encode_history(entry)});
}

} // namespace

result<edit_plan> plan_edit(
    const edit& requested,
    const table_set& tables,
    const revision_row& current_revision)
{
    if (tables.revision != current_revision.revision)
    {
        return make_error(
            error_kind::conflict,
            "row config/revision: expected revision " +
                std::to_string(tables.revision) + ", found " +
                std::to_string(current_revision.revision));
    }
    BOOST_OUTCOME_TRY(check_version(requested, tables));
    BOOST_OUTCOME_TRY(check_change(requested.row_change, tables));
    edit_plan plan;
    plan.revision = current_revision.revision + 1;
    plan.operation_id = requested.operation_id;
    add_row(plan, requested);
    add_revision(plan, requested, current_revision);
    add_history(plan, requested, tables);
    return plan;
}

std::string key_of(const change& row_change)
{
    if (const route_change* route_update =
            std::get_if<route_change>(&row_change))
    {
        return route_key(route_update->name);
    }
    if (const pool_change* pool_update = std::get_if<pool_change>(&row_change))
    {
        return pool_key(pool_update->name);
    }
    return {};
}

std::optional<std::string>
find_content(const change& row_change, const table_set& tables)
{
    if (const route_change* route_update =
            std::get_if<route_change>(&row_change))
    {
        const auto found = tables.routes.find(route_update->name);
        if (found != tables.routes.end())
        {
            return encode_route(found->second);
        }
    }
    if (const pool_change* pool_update = std::get_if<pool_change>(&row_change))
    {
        const auto found = tables.pools.find(pool_update->name);
        if (found != tables.pools.end())
        {
            return encode_pool(found->second);
        }
    }
    return std::nullopt;
}

std::int64_t find_row_version(const change& row_change, const table_set& tables)
{
    if (const route_change* route_update =
            std::get_if<route_change>(&row_change))
    {
        const auto found = tables.routes.find(route_update->name);
        return found == tables.routes.end() ? 0 : found->second.revision;
    }
    if (const pool_change* pool_update = std::get_if<pool_change>(&row_change))
    {
        const auto found = tables.pools.find(pool_update->name);
        return found == tables.pools.end() ? 0 : found->second.revision;
    }
    return 0;
}

std::optional<std::string> content_after(const change& row_change)
{
    const route_change* route_update = std::get_if<route_change>(&row_change);
    if (route_update != nullptr && route_update->after)
    {
        return encode_route(*route_update->after);
    }
    const pool_change* pool_update = std::get_if<pool_change>(&row_change);
    if (pool_update != nullptr && pool_update->after)
    {
        return encode_pool(*pool_update->after);
    }
    return std::nullopt;
}

std::string describe_difference(
    const std::optional<std::string>& yours,
    const std::optional<std::string>& theirs)
{
    if (!yours || !theirs)
    {
        return "yours: " + yours.value_or("deleted") +
               "\ntheirs: " + theirs.value_or("deleted") + "\n";
    }
    const json::object your_fields = parse_fields(yours);
    const json::object their_fields = parse_fields(theirs);
    std::string text;
    for (const std::string& name :
         collect_field_names(your_fields, their_fields))
    {
        const std::string your_value = encode_field(your_fields, name);
        const std::string their_value = encode_field(their_fields, name);
        if (your_value != their_value)
        {
            text += name + ": yours " + your_value + ", theirs " + their_value +
                    "\n";
        }
    }
    return text.empty() ? "the contents are the same\n" : text;
}

} // namespace chicory::configuration
