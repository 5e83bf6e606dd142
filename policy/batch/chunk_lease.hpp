#ifndef CHICORY_POLICY_BATCH_CHUNK_LEASE_HPP
#define CHICORY_POLICY_BATCH_CHUNK_LEASE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chicory::batch
{

/// Durations of leases. A process renews one row for all chunks that it holds.
/// The row of a chunk is its fencing token and is not renewed.
struct lease_settings
{
    /// An observer considers a holder dead when its row has not changed for
    /// this long.
    duration lease_time = std::chrono::seconds(15);
    /// Interval between two renewals of a row by its holder.
    duration renew_interval = std::chrono::seconds(4);
    /// Delay before the next renewal after a failed one.
    duration retry_interval = std::chrono::seconds(1);
};

/// Prefix of the keys of the rows of processes that hold chunks.
inline constexpr std::string_view holder_row_prefix = "batch/holders/";

/// Returns the key of the row of a process.
std::string holder_row_key(std::string_view process);

/// Decides on the local clock of the observer whether holders are alive. Clocks
/// of different processes are never compared. A wrong decision can cause
/// duplicate work but never a second commit, because commits are decided by the
/// version of the chunk row alone.
class lease_observer
{
public:
    explicit lease_observer(lease_settings settings);

    /// Records the version of the row of a holder; zero means that the row is
    /// missing. Returns true when the chunks of the holder may be taken over,
    /// that is, when the version has not changed for the lease time. A missing
    /// row counts only while successive observations are less than a lease time
    /// apart, because the holder may have written the row between two
    /// observations.
    bool observe(std::string_view holder, std::int64_t version, time_point now);

    /// Called when the table service is unreachable. Holders could not renew
    /// their leases either, so the lease time starts again for all of them.
    void on_outage();

private:
    struct reading
    {
        std::int64_t version = 0;
        time_point unchanged_since;
        time_point observed_at;

        reading(
            std::int64_t version,
            time_point unchanged_since,
            time_point observed_at)
            : version(version), unchanged_since(unchanged_since),
              observed_at(observed_at)
        {
        }
    };

    /// Removes the readings of holders that have not been observed recently.
    void remove_old_readings(time_point now);

    lease_settings settings;
    std::map<std::string, reading, std::less<>> readings;
};

/// State of a lease as its holder estimates it.
enum class lease_state_estimate
{
    absent,
    held,
    expired,
};

/// Schedule of the lease renewals of a process.
class lease_schedule
{
public:
    explicit lease_schedule(lease_settings settings);

    /// Returns the time at which the next renewal is due.
    time_point renew_at() const;

    /// Records a renewal that the table service confirmed. The lease time
    /// counts from the time at which the renewal was sent.
    void on_renewed(std::int64_t version, time_point sent_at);

    /// Records a renewal that failed or whose response was dropped.
    void on_failed(time_point now);

    /// Records the actual version of the row after a renewal that expected
    /// another one; zero means that the row is missing. The next renewal is due
    /// immediately, and the lease counts as absent until it is confirmed.
    void on_version_mismatch(std::int64_t version, time_point now);

    /// Returns true when the row should be deleted, that is, when the process
    /// has held no work for the lease time; the idle time then starts again. A
    /// shorter time would cost a deletion and a write between two chunks.
    bool should_delete_row(bool holds_work, time_point now);

    /// Returns the version of the row that the next renewal expects.
    std::int64_t version() const;

    /// Returns the estimated state of the lease. It only helps to avoid useless
    /// work; commits do not depend on it.
    lease_state_estimate estimate_state(time_point now) const;

private:
    lease_settings settings;
    std::int64_t row_version = 0;
    bool is_confirmed = false;
    time_point valid_from;
    time_point due;
    std::optional<time_point> idle_since;
};

} // namespace chicory::batch

#endif
