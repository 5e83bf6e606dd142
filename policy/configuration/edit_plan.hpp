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

/// Writes a route's row. The row is deleted when `after` has no value.
struct route_change
{
    std::string name;
    std::optional<route> after;
};

/// Writes a pool's row. The row is deleted when `after` has no value.
struct pool_change
{
    std::string name;
    std::optional<pool> after;
};

/// Changes no row. Its transaction uses up a revision, so that a delayed edit
/// planned for the same revision can no longer commit.
struct barrier_change
{
};

/// The change that one edit makes.
using change = std::variant<route_change, pool_change, barrier_change>;

/// One edit requested by an operator.
struct edit
{
    change row_change;
    /// Version of the row that the operator saw; zero when the row must not
    /// exist yet.
    std::int64_t expected_row_version = 0;
    std::string operator_name;
    /// Identifies the edit when the response to its transaction is lost.
    std::string operation_id;
    /// Wall clock, in milliseconds since 1970 UTC.
    std::int64_t time_ms = 0;
};

/// Lets the transaction commit only if the row has this version. Version zero
/// means that the row must not exist.
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

/// One edit as a transaction of the table service. It writes the changed row,
/// the row of the fleet-wide revision and the history row, each with a
/// condition on its version.
struct edit_plan
{
    /// Revision that the edit creates.
    std::int64_t revision = 0;
    std::string operation_id;
    std::vector<planned_condition> conditions;
    std::vector<planned_write> writes;
};

/// Plans an edit of the configuration as read from the table service. Errors:
/// invalid_input when the edit breaks a rule; conflict when the tables and the
/// revision row are of different revisions, when a route still uses a pool that
/// is to be deleted, or when the row has another version than the operator saw.
/// In the last case the text shows both contents.
result<edit_plan> plan_edit(
    const edit& requested,
    const table_set& tables,
    const revision_row& current_revision);

/// Returns the key of the row that a change writes. It is empty for a barrier.
std::string key_of(const change& row_change);

/// Returns the content of the changed row in the tables as JSON text, or no
/// value when the row is missing.
std::optional<std::string>
find_content(const change& row_change, const table_set& tables);

/// Returns the version of the changed row in the tables, or zero when the row
/// is missing.
std::int64_t
find_row_version(const change& row_change, const table_set& tables);

/// Returns the new content of the changed row as JSON text, or no value when
/// the change deletes the row or is a barrier.
std::optional<std::string> content_after(const change& row_change);

/// Lists the fields in which two contents differ, one per line, with both
/// values.
std::string describe_difference(
    const std::optional<std::string>& yours,
    const std::optional<std::string>& theirs);

} // namespace chicory::configuration

#endif
