#ifndef CHICORY_POLICY_ONLINE_CLAIM_EXPIRY_HPP
#define CHICORY_POLICY_ONLINE_CLAIM_EXPIRY_HPP

#include "core/core.hpp"
#include "policy/online/claim_batcher.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::online
{

/// Prefix of the rows of idempotency keys. A digest in lower-case hexadecimal
/// follows.
inline constexpr std::string_view claim_row_prefix = "claims/";

/// What the operation of a claim tells of it.
struct claim_stamp
{
    /// Unique to the request.
    std::string id;
    /// Wall clock of the gate that claimed the key.
    std::int64_t claimed_at_ms = 0;
    /// Digest of the request, by which another request under the key is found.
    std::uint64_t fingerprint = 0;

    bool operator==(const claim_stamp&) const = default;
};

/// Returns a stamp as the text that stands in the row.
std::string encode(const claim_stamp& stamp);

/// Reads a stamp, or nothing when the text is none.
std::optional<claim_stamp> decode_claim_stamp(std::string_view operation);

/// Bounds of the removal of rows that have expired.
struct claim_sweep_settings
{
    /// Age from which a row may be removed.
    duration lifetime = std::chrono::hours(24);
    /// Rows that one turn reads, and removes at most.
    std::size_t page = 100;
    /// Time between two turns, over all gates together.
    duration page_interval = std::chrono::seconds(1);
};

/// Rows that a gate reads next.
struct claim_page
{
    std::string prefix;
    /// Last key read before.
    std::string after;
};

/// Removes rows of idempotency keys that have expired. Rows are divided by the
/// first digits of their digest, and each part belongs to one gate by
/// rendezvous hashing. Two gates that both believe to have a part delete under
/// the condition of a row's version, so that this costs reads and no more.
class claim_sweep
{
public:
    claim_sweep(claim_sweep_settings settings, std::string own_gate);

    /// Returns the page to read, given the gates that are alive, or nothing
    /// when no part belongs to this gate.
    std::optional<claim_page> next(const std::vector<std::string>& gates);

    /// Takes the rows of that page and returns those to delete.
    std::vector<claim_row>
    select_expired(const std::vector<claim_row>& rows, std::int64_t now_ms);

    /// Returns the pause before the next turn. The pace of all gates together
    /// does not depend on their number.
    duration pause(std::size_t gates) const;

private:
    bool is_own(std::size_t part, const std::vector<std::string>& gates) const;
    bool is_expired(const claim_row& row, std::int64_t now_ms) const;

    claim_sweep_settings settings;
    std::string own_gate;
    std::size_t part = 0;
    std::string after;
};

} // namespace chicory::online

#endif
