#ifndef CHICORY_POLICY_CONFIGURATION_HISTORY_HPP
#define CHICORY_POLICY_CONFIGURATION_HISTORY_HPP

#include "core/core.hpp"
#include "policy/configuration/edit_plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicory::configuration
{

/// The change that one revision made, with its operator and time.
struct history_entry
{
    std::int64_t revision = 0;
    std::string operator_name;
    std::string operation_id;
    /// Wall clock, in milliseconds since 1970 UTC.
    std::int64_t time_ms = 0;
    /// Key of the changed row; empty for a barrier.
    std::string key;
    /// Content of the row as JSON text; no value when the row was missing.
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const history_entry&) const = default;
};

/// Encodes an entry as JSON text.
std::string encode_history(const history_entry& entry);

/// Decodes an entry from JSON text. Error: invalid_input.
result<history_entry> decode_history(std::string_view text);

/// Whether an edit whose response was lost has committed.
enum class edit_outcome
{
    committed,
    not_committed,
    unknown,
};

inline constexpr enum_table<edit_outcome, 3> edit_outcome_names = {{
    {edit_outcome::committed, "committed"},
    {edit_outcome::not_committed, "not_committed"},
    {edit_outcome::unknown, "unknown"},
}};

/// Determines the outcome of an edit from the history row of the revision that
/// the edit was to create. A row of another operation proves that the edit can
/// no longer commit. While the row is missing, the edit may still be in
/// progress; the transaction of a `barrier_change` then forces a definite
/// outcome.
edit_outcome resolve_edit(
    std::string_view operation_id, const std::optional<history_entry>& found);

/// Returns the chicoryctl command that determines the outcome of an edit.
std::string
make_settle_command(std::string_view operation_id, std::int64_t revision);

/// Returns the edit that restores the row to its content before an entry.
/// Errors: conflict when the row has changed since, with both contents in the
/// text; invalid_input for an entry that changed no row.
result<edit> plan_undo(const history_entry& entry, const table_set& tables);

/// Returns the tables with an entry applied. The changed row gets revision zero
/// because only the table service knows its version. Errors: conflict unless
/// the entry has the next revision and its `before` equals the content in the
/// tables, or when it deletes a pool that a route uses; invalid_input for
/// content that cannot be decoded or breaks a rule.
result<table_set> apply_history(table_set tables, const history_entry& entry);

} // namespace chicory::configuration

#endif
