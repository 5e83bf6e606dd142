#ifndef CHICORY_POLICY_CONFIGURATION_EDIT_PLAN_HPP
#define CHICORY_POLICY_CONFIGURATION_EDIT_PLAN_HPP

#include "core/core.hpp"
#include "policy/configuration/row_codec.hpp"
#include "policy/configuration/table_set.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicory::configuration
{

/// New content of a route's row; nothing deletes the row.
struct route_change
{
    std::string name;
    std::optional<route> after;
};

/// New content of a pool's row; nothing deletes the row.
struct pool_change
{
    std::string name;
    std::optional<pool> after;
};

/// Changes nothing. Its transaction takes a revision, so that no delayed edit
/// can still take it.
struct barrier_change
{
};

/// What one edit changes.
using change = std::variant<route_change, pool_change, barrier_change>;

/// One edit as an operator asks for it.
struct edit
{
    change row_change;
    /// Version of the row that the operator saw; zero for a row that must not
    /// exist yet.
    std::int64_t expected_row_version = 0;
    std::string operator_name;
    /// Identifies the edit when its answer is lost.
    std::string operation_id;
    /// Wall clock, in milliseconds since 1970 UTC.
    std::int64_t time_ms = 0;
};

/// Holds the transaction back unless the row has this version; zero means
/// that the row must not exist.
struct planned_condition
{
    std::string key;
    std::int64_t version = 0;

    bool operator==(const planned_condition&) const = default;
};

/// Writes a row, or deletes it when there is no value.
struct planned_write
{
    std::string key;
    std::optional<std::string> value;

    bool operator==(const planned_write&) const = default;
};

/// One edit as a transaction of the table service: the row, the fleet-wide
/// revision and the history row, each with its condition.
struct edit_plan
{
    /// Revision that the edit makes.
    std::int64_t revision = 0;
    std::string operation_id;
    std::vector<planned_condition> conditions;
    std::vector<planned_write> writes;
};

/// Plans an edit on the configuration as it was read. Errors: invalid_input
/// when the edit breaks a rule; conflict when the row has another version
/// than the operator saw, with both sides in the text.
result<edit_plan> plan_edit(
    const edit& wanted,
    const table_set& tables,
    const revision_row& current_revision);

/// Returns the key of the row that a change writes; empty for a barrier.
std::string key_of(const change& what);

/// Returns the content of the changed row in the tables as JSON text, or
/// nothing when the row is missing.
std::optional<std::string>
find_content(const change& what, const table_set& tables);

/// Returns the version of the changed row in the tables; zero when missing.
std::int64_t find_row_version(const change& what, const table_set& tables);

/// Returns the new content of the changed row as JSON text, or nothing.
std::optional<std::string> content_after(const change& what);

/// Names each field in which the two contents differ, one a line, with both
/// sides.
std::string describe_difference(
    const std::optional<std::string>& yours,
    const std::optional<std::string>& theirs);

} // namespace chicory::configuration

#endif
