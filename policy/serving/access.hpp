#ifndef CHICORY_POLICY_SERVING_ACCESS_HPP
#define CHICORY_POLICY_SERVING_ACCESS_HPP

#include "policy/serving/job_record.hpp"
#include "policy/serving/organisations.hpp"
#include "policy/serving/serving_configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chicory::serving
{

/// The API key that a caller sent.
struct caller_key
{
    /// True if the caller sent a key that is not empty.
    bool is_present = false;
    /// True if the text may be a list of several keys.
    bool may_be_list = false;
    /// Digest of the key; nothing if its length is not valid.
    std::optional<key_digest> digest;
};

/// Outcome of the check of a caller's key.
enum class access_outcome
{
    granted,
    missing_key,
    unknown_key,
    malformed_key,
    /// The keys known here may be out of date.
    stale,
};

/// Result of the check of a caller's key.
struct access_decision
{
    access_outcome outcome = access_outcome::granted;
    /// Name of the caller's organisation; empty if it has none.
    std::string organisation;

    bool operator==(const access_decision&) const = default;
};

/// Checks the key of a request. `is_public` states whether its route needs no
/// key, `keys_are_current` whether this node may rely on the keys that it
/// knows. A key that is known counts on a public route too, unless it may have
/// been revoked. Designed for callers without a valid key, and for keys that
/// are revoked or moved to another organisation while a request waits.
access_decision check_access(
    const serving_configuration& configuration,
    bool is_public,
    const caller_key& key,
    bool keys_are_current);

/// Returns whether a caller may learn of a job. `caller` is the result of
/// `check_access` for a route that is not public. A job of an organisation is
/// shown to that organisation only. A job without one is shown to everyone
/// where there are no organisations or where its route is public, and to nobody
/// elsewhere.
bool may_access_job(
    const serving_configuration& configuration,
    const job_record& job,
    const access_decision& caller);

/// Returns whether a caller whose key was not accepted may still have access to
/// some job, namely one that was submitted on a public route.
bool has_public_jobs(const serving_configuration& configuration);

/// Returns the rank of a request: the one of its organisation if the
/// configuration states it, otherwise the one of its route.
std::int64_t choose_priority(
    const serving_configuration& configuration,
    const serving_route& route,
    const std::string& organisation_name);

} // namespace chicory::serving

#endif
