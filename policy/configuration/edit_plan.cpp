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

result<void> check_change(const change& what, const table_set& tables)
{
    if (const route_change* routed = std::get_if<route_change>(&what))
    {
        if (!routed->after)
        {
            return boost::outcome_v2::success();
        }
        return validate_route(*routed->after, tables);
    }
    if (const pool_change* pooled = std::get_if<pool_change>(&what))
    {
        if (!pooled->after)
        {
            return validate_pool_deletion(pooled->name, tables);
        }
        return validate_pool(*pooled->after);
    }
    return boost::outcome_v2::success();
}

result<void> check_version(const edit& wanted, const table_set& tables)
{
    const std::int64_t found = find_row_version(wanted.row_change, tables);
    if (found == wanted.expected_row_version)
    {
        return boost::outcome_v2::success();
    }
    std::string text = "row " + key_of(wanted.row_change) +
                       ": another edit came first; expected version " +
                       std::to_string(wanted.expected_row_version) +
                       ", found version " + std::to_string(found) + "\n";
    text += describe_difference(
        content_after(wanted.row_change),
        find_content(wanted.row_change, tables));
    return make_error(error_kind::conflict, std::move(text));
}

std::string find_text(const json::object& fields, std::string_view name)
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
names_of_both(const json::object& first, const json::object& second)
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

void add_row(edit_plan& plan, const edit& wanted)
{
    const std::string key = key_of(wanted.row_change);
    if (key.empty())
    {
        return;
    }
    plan.conditions.push_back({key, wanted.expected_row_version});
    plan.writes.push_back({key, content_after(wanted.row_change)});
}

void add_revision(
    edit_plan& plan, const edit& wanted, const revision_row& current)
{
    revision_row next;
    next.revision = plan.revision;
    next.operation_id = wanted.operation_id;
    const std::string key(revision_key);
    plan.conditions.push_back({key, current.row_version});
    plan.writes.push_back({key, encode_revision(next)});
}

void add_history(edit_plan& plan, const edit& wanted, const table_set& tables)
{
    history_entry entry;
    entry.revision = plan.revision;
    entry.operator_name = wanted.operator_name;
    entry.operation_id = wanted.operation_id;
    entry.time_ms = wanted.time_ms;
    entry.key = key_of(wanted.row_change);
    entry.before = find_content(wanted.row_change, tables);
    entry.after = content_after(wanted.row_change);
    const std::string key = history_key(plan.revision);
    plan.conditions.push_back({key, 0});
    plan.writes.push_back({key, encode_history(entry)});
}

} // namespace

result<edit_plan> plan_edit(
    const edit& wanted,
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
    BOOST_OUTCOME_TRY(check_version(wanted, tables));
    BOOST_OUTCOME_TRY(check_change(wanted.row_change, tables));
    edit_plan plan;
    plan.revision = current_revision.revision + 1;
    plan.operation_id = wanted.operation_id;
    add_row(plan, wanted);
    add_revision(plan, wanted, current_revision);
    add_history(plan, wanted, tables);
    return plan;
}

std::string key_of(const change& what)
{
    if (const route_change* routed = std::get_if<route_change>(&what))
    {
        return route_key(routed->name);
    }
    if (const pool_change* pooled = std::get_if<pool_change>(&what))
    {
        return pool_key(pooled->name);
    }
    return {};
}

std::optional<std::string>
find_content(const change& what, const table_set& tables)
{
    if (const route_change* routed = std::get_if<route_change>(&what))
    {
        const auto found = tables.routes.find(routed->name);
        if (found != tables.routes.end())
        {
            return encode_route(found->second);
        }
    }
    if (const pool_change* pooled = std::get_if<pool_change>(&what))
    {
        const auto found = tables.pools.find(pooled->name);
        if (found != tables.pools.end())
        {
            return encode_pool(found->second);
        }
    }
    return std::nullopt;
}

std::int64_t find_row_version(const change& what, const table_set& tables)
{
    if (const route_change* routed = std::get_if<route_change>(&what))
    {
        const auto found = tables.routes.find(routed->name);
        return found == tables.routes.end() ? 0 : found->second.revision;
    }
    if (const pool_change* pooled = std::get_if<pool_change>(&what))
    {
        const auto found = tables.pools.find(pooled->name);
        return found == tables.pools.end() ? 0 : found->second.revision;
    }
    return 0;
}

std::optional<std::string> content_after(const change& what)
{
    const route_change* routed = std::get_if<route_change>(&what);
    if (routed != nullptr && routed->after)
    {
        return encode_route(*routed->after);
    }
    const pool_change* pooled = std::get_if<pool_change>(&what);
    if (pooled != nullptr && pooled->after)
    {
        return encode_pool(*pooled->after);
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
    const json::object mine = parse_fields(yours);
    const json::object other = parse_fields(theirs);
    std::string text;
    for (const std::string& name : names_of_both(mine, other))
    {
        const std::string left = find_text(mine, name);
        const std::string right = find_text(other, name);
        if (left != right)
        {
            text += name + ": yours " + left + ", theirs " + right + "\n";
        }
    }
    return text.empty() ? "the contents are the same\n" : text;
}

} // namespace chicory::configuration
