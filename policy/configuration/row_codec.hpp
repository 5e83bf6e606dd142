#ifndef CHICORY_POLICY_CONFIGURATION_ROW_CODEC_HPP
#define CHICORY_POLICY_CONFIGURATION_ROW_CODEC_HPP

#include "core/core.hpp"
#include "policy/configuration/pool.hpp"
#include "policy/configuration/route.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::configuration
{

/// Returns an invalid_input error for one field. The text contains the key of
/// the row, the field, the expected and the found value.
error make_field_error(
    std::string_view key,
    std::string_view field,
    std::string_view expected,
    std::string_view found);

/// Encodes a route as JSON text. The revision is not encoded, since it is the
/// version that the table service assigns to the row.
std::string encode_route(const route& value);

/// Decodes a route from JSON text. Missing fields keep their defaults; a `name`
/// in the text must match the given name. Error: invalid_input for a field that
/// is unknown or has the wrong type.
result<route> decode_route(
    std::string_view name, std::string_view text, std::int64_t row_version);

/// Encodes a pool as JSON text, without its revision.
std::string encode_pool(const pool& value);

/// Decodes a pool from JSON text. Defaults, name and errors are handled as in
/// `decode_route`.
result<pool> decode_pool(
    std::string_view name, std::string_view text, std::int64_t row_version);

/// The row of the fleet-wide revision.
struct revision_row
{
    std::int64_t revision = 0;
    /// Id of the operation that created the revision.
    std::string operation_id;
    /// Version of the row in the table service; zero while the row is missing.
    std::int64_t row_version = 0;

    bool operator==(const revision_row&) const = default;
};

/// Encodes the revision row as JSON text, without its row version.
std::string encode_revision(const revision_row& value);

/// Decodes the revision row from JSON text. Error: invalid_input.
result<revision_row>
decode_revision(std::string_view text, std::int64_t row_version);

} // namespace chicory::configuration

#endif
