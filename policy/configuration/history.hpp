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

/// What one revision changed, by whom and when.
struct history_entry
{
    std::int64_t revision = 0;
    std::string operator_name;
    std::string operation_id;
    /// Wall clock, in milliseconds since 1970 UTC.
    std::int64_t time_ms = 0;
    /// Key of the changed row; empty for a barrier.
    std::string key;
    /// Content of the row as JSON text; nothing when the row was missing.
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const history_entry&) const = default;
};

/// Returns an entry as JSON text.
std::string encode_history(const history_entry& entry);

/// Reads an entry from JSON text. Error: invalid_input.
result<history_entry> decode_history(std::string_view text);

/// Whether an edit whose answer was lost took effect.
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

/// Judges an edit by the history row at the revision that it was to make. A
/// row of another operation proves that the edit can no longer take effect.
/// While the row is missing the edit may still be under way; the transaction
/// of a `barrier_change` settles it.
edit_outcome resolve_edit(
    std::string_view operation_id, const std::optional<history_entry>& found);

/// Returns the command that settles an edit of unknown outcome.
std::string
make_settle_command(std::string_view operation_id, std::int64_t revision);

/// Returns the edit that puts the row back to what it was before an entry.
/// Errors: conflict when the row was changed since, with both sides in the
/// text; invalid_input for an entry that changed no row.
result<edit> plan_undo(const history_entry& entry, const table_set& tables);

/// Returns the tables after an entry. The changed row gets revision zero, as
/// its version is known to the table service only. Errors: conflict unless the
/// entry is of the next revision and its `before` is what the tables hold;
/// invalid_input for content that cannot be read or breaks a rule.
result<table_set> apply_history(table_set tables, const history_entry& entry);

} // namespace chicory::configuration

#endif
