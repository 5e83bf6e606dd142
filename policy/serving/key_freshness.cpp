#include "policy/serving/key_freshness.hpp"

#include <algorithm>

namespace chicory::serving
{

namespace
{

/// Part of the revocation limit for which keys are accepted, in tenths.
constexpr std::int64_t accepted_tenths = 9;
/// Allowance for one call to a runner: this time, but at most this part of the
/// revocation limit. The part keeps the age limit above 0.6 of the revocation
/// limit, below which a node must not refuse.
constexpr std::chrono::milliseconds call_allowance(250);
constexpr std::int64_t max_allowance_divisor = 20;

} // namespace

key_freshness::key_freshness(key_freshness_settings initial_settings)
    : settings(initial_settings)
{
}

void key_freshness::on_confirmed(boot_time_point sent)
{
    if (!this->last_confirmed || *this->last_confirmed < sent)
    {
        this->last_confirmed = sent;
    }
}

bool key_freshness::is_current(boot_time_point now) const
{
    if (!this->settings.fail_closed)
    {
        return true;
    }
    const std::optional<duration> known_age = this->age(now);
    return known_age && *known_age < this->max_age();
}

std::optional<duration> key_freshness::age(boot_time_point now) const
{
    if (!this->last_confirmed)
    {
        return std::nullopt;
    }
    return now - *this->last_confirmed;
}

duration key_freshness::max_age() const
{
    const duration limit = this->settings.revocation_limit;
    return limit * accepted_tenths / 10 -
           std::min<duration>(call_allowance, limit / max_allowance_divisor);
}

} // namespace chicory::serving
