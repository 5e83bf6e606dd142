#ifndef CHICORY_POLICY_SERVING_KEY_FRESHNESS_HPP
#define CHICORY_POLICY_SERVING_KEY_FRESHNESS_HPP

#include "core/core.hpp"

#include <chrono>
#include <optional>

namespace chicory::serving
{

/// Settings for the revocation of API keys.
struct key_freshness_settings
{
    /// True if a node that may not know of a revocation refuses keys.
    bool fail_closed = false;
    /// Time from the confirmed removal of a key until no node accepts it.
    duration revocation_limit = std::chrono::seconds(5);
};

/// Decides whether a node accepts API keys, by the last time at which its
/// configuration was certainly the current one. Designed for nodes that are cut
/// off from the store, responses of the store that arrive late, and machines
/// that were suspended: such a node does not know that a key was revoked.
class key_freshness
{
public:
    explicit key_freshness(key_freshness_settings initial_settings = {});

    /// Records that the response to a call to the store showed no newer
    /// configuration than the one in use. `sent` is the time at which the call
    /// was sent: the store may have formed its response at any time since.
    void on_confirmed(boot_time_point sent);

    /// Returns whether keys are accepted. Always true unless `fail_closed`.
    bool is_current(boot_time_point now) const;

    /// Returns the time since the configuration was certainly current, or
    /// nothing if it never was.
    std::optional<duration> age(boot_time_point now) const;

    /// Returns the age from which on keys are refused: 0.9 of the revocation
    /// limit, less an allowance for the time from the check to the arrival of
    /// the request at a runner.
    duration max_age() const;

private:
    key_freshness_settings settings;
    std::optional<boot_time_point> last_confirmed;
};

} // namespace chicory::serving

#endif
