#include "policy/batch/chunk_lease.hpp"

namespace chicory::batch
{

namespace
{

/// Readings of holders that have not been observed for this long are removed.
constexpr std::chrono::minutes reading_retention(10);

} // namespace

std::string holder_row_key(std::string_view process)
{
    return std::string(holder_row_prefix) + std::string(process);
}

lease_observer::lease_observer(lease_settings settings) : settings(settings)
{
}

bool lease_observer::observe(
    std::string_view holder, std::int64_t version, time_point now)
{
    this->remove_old_readings(now);
    reading& last =
        this->readings.try_emplace(std::string(holder), version, now, now)
            .first->second;
    const bool is_gap = now - last.observed_at >= this->settings.lease_time;
    if (last.version != version || (version == 0 && is_gap))
    {
        last = reading{version, now, now};
    }
    last.observed_at = now;
    return now - last.unchanged_since >= this->settings.lease_time;
}

void lease_observer::remove_old_readings(time_point now)
{
    std::erase_if(
        this->readings,
        [now](const auto& element)
        {
            return now - element.second.observed_at >= reading_retention;
        });
}

void lease_observer::on_outage()
{
    this->readings.clear();
}

lease_schedule::lease_schedule(lease_settings settings) : settings(settings)
{
}

time_point lease_schedule::renew_at() const
{
    return this->due;
}

void lease_schedule::on_renewed(std::int64_t version, time_point sent_at)
{
    this->row_version = version;
    this->is_confirmed = true;
    this->valid_from = sent_at;
    this->due = sent_at + this->settings.renew_interval;
}

void lease_schedule::on_failed(time_point now)
{
    this->due = now + this->settings.retry_interval;
}

void lease_schedule::on_version_mismatch(std::int64_t version, time_point now)
{
    this->row_version = version;
    this->is_confirmed = false;
    this->due = now;
}

bool lease_schedule::should_delete_row(bool holds_work, time_point now)
{
    if (holds_work || this->row_version == 0)
    {
        this->idle_since.reset();
        return false;
    }
    if (!this->idle_since)
    {
        this->idle_since = now;
    }
    if (now - *this->idle_since < this->settings.lease_time)
    {
        return false;
    }
    this->idle_since.reset();
    return true;
}

std::int64_t lease_schedule::version() const
{
    return this->row_version;
}

lease_state_estimate lease_schedule::estimate_state(time_point now) const
{
    if (this->row_version == 0 || !this->is_confirmed)
    {
        return lease_state_estimate::absent;
    }
    return now - this->valid_from < this->settings.lease_time
               ? lease_state_estimate::held
               : lease_state_estimate::expired;
}

} // namespace chicory::batch
