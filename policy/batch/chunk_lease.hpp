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

/// How long leases last. A process renews one row for all chunks it holds; a
/// chunk's own row is the fencing token and is not renewed.
struct lease_settings
{
    /// An observer calls a holder dead when its row stayed the same so long.
    duration lease_time = std::chrono::seconds(15);
    /// The holder writes its row this often.
    duration renew_interval = std::chrono::seconds(4);
    /// After a failed renewal the next one follows so soon.
    duration retry_interval = std::chrono::seconds(1);
};

/// Prefix of the rows of processes that hold chunks.
inline constexpr std::string_view holder_row_prefix = "batch/holders/";

/// Key of a process's row.
std::string holder_row_key(std::string_view process);

/// Judges on the observer's own clock whether holders are alive. No clock is
/// compared with another one, and a wrong judgement costs work that is done
/// twice, never a second commit: commits are decided by the chunk row's
/// version alone.
class lease_observer
{
public:
    explicit lease_observer(lease_settings settings);

    /// Takes a reading of a holder's row, version zero for a missing row.
    /// Returns true when the holder's chunks may be taken over. A missing row
    /// counts only when each look found it missing, none later than a lease
    /// after the one before: its holder may have written it in between.
    bool observe(std::string_view holder, std::int64_t version, time_point now);

    /// Takes that the table service did not answer. A holder could not renew
    /// either, so that the wait starts anew for all.
    void on_outage();

private:
    struct reading
    {
        std::int64_t version = 0;
        time_point since;
        time_point seen_at;

        reading(std::int64_t version, time_point since, time_point seen_at)
            : version(version), since(since), seen_at(seen_at)
        {
        }
    };

    /// Drops readings of holders that nobody asks about any more.
    void forget_old(time_point now);

    lease_settings settings;
    std::map<std::string, reading, std::less<>> readings;
};

/// What the holder itself believes of its lease.
enum class lease_state_estimate
{
    absent,
    held,
    lapsed,
};

/// Schedule of a process's own renewals.
class lease_schedule
{
public:
    explicit lease_schedule(lease_settings settings);

    /// Returns when the next renewal is due.
    time_point renew_at() const;

    /// Takes a renewal that the table service confirmed; the lease counts from
    /// when it was sent.
    void on_renewed(std::int64_t version, time_point sent_at);

    /// Takes a renewal that failed or whose answer was lost.
    void on_failed(time_point now);

    /// Takes the version that the row was found to have after a renewal that
    /// did not match it, zero for a missing row. The next renewal is due at
    /// once, and until then nothing is held.
    void on_version_mismatch(std::int64_t version, time_point now);

    /// Tells once whether to delete the row, after nothing was held for the
    /// time of a lease. A shorter pause would cost a deletion and a write
    /// between two chunks.
    bool should_delete_row(bool holds_work, time_point now);

    /// Returns the version that the next renewal expects.
    std::int64_t version() const;

    /// Returns what the holder may believe; it is a hint against useless work.
    lease_state_estimate estimate_state(time_point now) const;

private:
    lease_settings settings;
    std::int64_t row_version = 0;
    bool is_confirmed = false;
    time_point held_from;
    time_point due;
    std::optional<time_point> idle_since;
};

} // namespace chicory::batch

#endif
