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

/// Prefix of the rows of idempotency keys, followed by a digest in lower-case
/// hexadecimal.
inline constexpr std::string_view claim_row_prefix = "claims/";

/// Properties of a claim that are encoded in its operation.
struct claim_stamp
{
    /// Unique to the request.
    std::string id;
    /// Wall clock time of the gate that claimed the key, in milliseconds.
    std::int64_t claimed_at_ms = 0;
    /// Digest of the request. A different request under the same key is
    /// recognised by it.
    std::uint64_t fingerprint = 0;

    bool operator==(const claim_stamp&) const = default;
};

/// Returns the text of a stamp as it is stored in the row.
std::string encode(const claim_stamp& stamp);

/// Decodes a stamp. Returns nothing when the text is not a valid stamp.
std::optional<claim_stamp> decode_claim_stamp(std::string_view operation);

/// Limits of the removal of expired rows.
struct claim_sweep_settings
{
    /// Minimum age of a row that may be removed.
    duration lifetime = std::chrono::hours(24);
    /// Maximum number of rows that one page reads and removes.
    std::size_t page = 100;
    /// Time between two pages, over all gates together.
    duration page_interval = std::chrono::seconds(1);
};

/// The page of rows that a gate reads next.
struct claim_page
{
    std::string prefix;
    /// Last key that was read; the page begins after it.
    std::string after;
};

/// Finds rows of idempotency keys that have expired. Rows are partitioned by
/// the first digits of their digest, and each part belongs to one gate by
/// rendezvous hashing. When two gates both consider themselves the owner of a
/// part, this costs only additional reads: rows are deleted on condition of
/// their version.
class claim_sweep
{
public:
    claim_sweep(claim_sweep_settings settings, std::string own_gate);

    /// Returns the page to read. `gates` are the gates that are alive. Returns
    /// nothing when no part belongs to this gate.
    std::optional<claim_page> next(const std::vector<std::string>& gates);

    /// Returns the expired rows among the rows of the page, and moves on to the
    /// next page.
    std::vector<claim_row>
    select_expired(const std::vector<claim_row>& rows, std::int64_t now_ms);

    /// Returns the pause before the next page. The combined pace of all gates
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
