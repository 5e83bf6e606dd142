#ifndef CHICORY_POLICY_ONLINE_BATCH_SLOT_LIMIT_HPP
#define CHICORY_POLICY_ONLINE_BATCH_SLOT_LIMIT_HPP

#include "core/core.hpp"

#include <cstdint>
#include <deque>

namespace chicory::online
{

/// Exponentially weighted mean and variance of a stream of samples.
class decaying_mean
{
public:
    void add(double sample);
    double mean() const;
    double variance() const;
    std::int64_t count() const;

private:
    double current_mean = 0;
    double current_variance = 0;
    std::int64_t samples = 0;
};

/// Decides how many batch runs one runner may hold. Online requests that arrive
/// while batch runs are being cancelled run beside the cancelled runs. Slots
/// are therefore reserved for the part of a recent burst that would cost more
/// than the tolerated delay. While online runs take more than half of the
/// slots, the slots that they used recently stay free, since a batch run there
/// would be cancelled immediately, and one slot is cleared before the next
/// online run needs it. The batch share shrinks when online requests have a
/// later first byte beside batch runs than without them.
class batch_slot_limit
{
public:
    /// Time for which a burst of online requests is remembered at a harm weight
    /// of 100. At a lower weight a burst is over after a few cancel times.
    static constexpr duration burst_memory = std::chrono::seconds(30);
    /// Maximum time for which a busy runner keeps the slots that online runs
    /// used. The runner keeps them for half of the mean duration of an online
    /// run, in which half as many runs arrive as have ended, times the harm
    /// weight.
    static constexpr duration max_busy_memory = std::chrono::seconds(2);
    /// Number of samples beside batch runs between two evaluations.
    static constexpr std::int64_t window = 16;

    /// `harm_weight` is 0 (maximum batch throughput) to 100 (no harm to online
    /// requests accepted).
    batch_slot_limit(std::int64_t slots, std::int64_t harm_weight);

    void set_bounds(std::int64_t slots, std::int64_t harm_weight);
    void record_online_arrival(time_point now);

    /// Records the number of online runs, in progress and waiting, up to `now`.
    void record_online_load(std::int64_t runs, time_point now);

    /// Records the time that an online run spent on the runner.
    void record_online_duration(duration elapsed);

    /// Records the time to the first byte of an online run that was started
    /// beside `batch_in_progress` batch runs. Runs that were started while a
    /// cancelled run still held their slot must not be reported: their delay is
    /// bounded by the reserve and is independent of the batch share.
    void record_online_first_byte(
        duration latency, std::int64_t batch_in_progress, time_point now);

    /// Records the time from the cancellation of a run to its end.
    void record_cancel_duration(duration elapsed);

    /// Returns the maximum number of online requests that arrived within one
    /// cancel time during the last `memory`.
    std::int64_t max_burst_size(time_point now, duration memory) const;

    /// Returns the number of slots to keep free for online requests while
    /// `online` online runs are in progress or waiting.
    std::int64_t reserve(std::int64_t online, time_point now) const;

    /// Returns the number of slots to clear of batch runs before an online run
    /// needs them: one while online runs take more than half of the slots and
    /// the harm weight is at least 50, otherwise zero.
    std::int64_t headroom(time_point now) const;

    /// Returns the maximum number of concurrent batch runs.
    std::int64_t limit(time_point now) const;

    duration cancel_time() const;

private:
    struct burst
    {
        time_point at;
        std::int64_t size = 0;
    };

    struct load_level
    {
        time_point until;
        std::int64_t runs = 0;
    };

    void evaluate_harm(time_point now);
    duration current_burst_memory() const;
    duration busy_memory() const;
    /// Returns the slots to reserve for a burst that arrives within one cancel
    /// time.
    std::int64_t burst_reserve(time_point now) const;
    /// Returns the maximum number of online runs during the busy memory, or
    /// zero when they took at most half of the slots.
    std::int64_t busy_level(time_point now) const;
    /// Returns the fraction by which batch runs may increase the time to the
    /// first byte.
    double tolerance() const;
    /// Returns the number of online runs beyond the slots whose delay stays
    /// within the tolerance.
    double tolerated_excess() const;

    std::int64_t slots;
    std::int64_t harm_weight;
    double learned_limit;
    duration learned_cancel_time;
    decaying_mean online_time;
    decaying_mean latency_without_batch;
    decaying_mean latency_with_batch;
    std::int64_t unevaluated_samples = 0;
    time_point last_shrink;
    std::deque<time_point> recent_arrivals;
    std::deque<burst> bursts;
    std::deque<load_level> load_levels;
};

} // namespace chicory::online

#endif
