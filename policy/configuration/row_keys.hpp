#ifndef CHICORY_POLICY_CONFIGURATION_ROW_KEYS_HPP
#define CHICORY_POLICY_CONFIGURATION_ROW_KEYS_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::configuration
{

/// Key of the row that holds the fleet-wide revision.
inline constexpr std::string_view revision_key = "config/revision";

/// Prefixes of row keys. The name or the revision of the row follows.
inline constexpr std::string_view route_prefix = "config/route/";
inline constexpr std::string_view pool_prefix = "config/pool/";
inline constexpr std::string_view history_prefix = "config/history/";

/// Number of digits of a revision in a history key. Zero padding makes keys
/// sort by revision.
inline constexpr int history_digits = 12;

/// Returns the key of a route's row.
std::string route_key(std::string_view name);

/// Returns the key of a pool's row.
std::string pool_key(std::string_view name);

/// Returns the key of the history row of a revision.
std::string history_key(std::int64_t revision);

} // namespace chicory::configuration

#endif
