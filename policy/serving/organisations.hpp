#ifndef CHICORY_POLICY_SERVING_ORGANISATIONS_HPP
#define CHICORY_POLICY_SERVING_ORGANISATIONS_HPP

#include "core/core.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// SHA-256 digest of an API key. Only digests are kept and compared, so that a
/// key cannot be written to a log or a dump of memory.
using key_digest = std::array<std::uint8_t, 32>;

/// Maximum length of an API key and of an organisation's name, in bytes.
inline constexpr std::size_t max_key_bytes = 256;
inline constexpr std::size_t max_organisation_name_bytes = 256;

/// Returns the digest of a key, or nothing for an empty key and for one of more
/// than `max_key_bytes` bytes, which identify nobody.
std::optional<key_digest> digest_key(std::string_view key);

/// Returns the first 12 hexadecimal digits of a digest, which let operators
/// tell keys apart.
std::string abbreviate(const key_digest& digest);

/// An organisation whose callers authenticate with API keys.
struct organisation
{
    std::string name;
    /// Takes precedence over the rank of the route; nothing if the
    /// configuration states none.
    std::optional<std::int64_t> priority;
    /// Requests per second over all nodes; zero for no limit.
    double rate_per_s = 0;
    /// Requests that may exceed the rate at once.
    double burst = 0;
    std::vector<key_digest> keys;

    bool operator==(const organisation&) const = default;
};

/// The organisations of a configuration with look-ups whose cost does not
/// depend on their number. Immutable; copies share the same data.
class organisation_directory
{
public:
    /// Makes the directory of a configuration without organisations, in which
    /// no request needs a key.
    organisation_directory() = default;

    /// Makes a directory in which requests need keys, also if no entry is
    /// valid. Entries with an invalid name are left out, and so is an entry
    /// whose name an earlier entry has. A key that entries of several names
    /// contain belongs to none of them, whether or not these entries are valid.
    /// A rate or burst that is negative or no number counts as no limit.
    explicit organisation_directory(std::vector<organisation> entries);

    /// Returns whether the configuration contains organisations, so that a
    /// request on a route that is not public needs a key.
    bool is_active() const;

    std::size_t size() const;

    /// Returns the organisation to which a key belongs, or null. The pointer
    /// stays valid as long as this directory or a copy of it.
    const organisation* find_by_key(const key_digest& digest) const;

    /// Returns the organisation with this name, or null.
    const organisation* find_by_name(std::string_view name) const;

    /// Returns all valid organisations in the order of the configuration.
    const std::vector<organisation>& all() const;

    /// Returns descriptions of the entries and keys that were left out, at most
    /// `max_problems` of them. They contain names and digests but no keys.
    const std::vector<std::string>& problems() const;

    static constexpr std::size_t max_problems = 16;

    /// Returns whether both have the same organisations in the same order.
    bool operator==(const organisation_directory& other) const;

private:
    struct contents;

    std::shared_ptr<const contents> data;
};

} // namespace chicory::serving

#endif
