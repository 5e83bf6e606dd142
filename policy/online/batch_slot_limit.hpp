#ifndef CHICORY_POLICY_ONLINE_BATCH_SLOT_LIMIT_HPP
#define CHICORY_POLICY_ONLINE_BATCH_SLOT_LIMIT_HPP

#include "core/core.hpp"

#include <cstdint>
#include <deque>

namespace chicory::online
{

/// Mean and variance of a stream of samples in which old ones fade.
class decaying_mean
{
public:
    void add(double sample);
    double mean() const;
    double variance() const;
    std::int64_t count() const;

private:
    double average = 0;
    double spread = 0;
    std::int64_t samples = 0;
};

/// Decides how many batch runs one runner may hold. Online requests that come
/// within the time that a cancel takes run beside the cancelled batch runs;
/// slots are reserved for as many of a recent burst as would cost more than
/// the tolerated delay. While online runs take more than half of the slots,
/// those that they took a moment ago stay free, since a batch run there would
/// be cancelled at once, and one slot is cleared before the next online run
/// needs it. The batch share shrinks when online requests are
/// answered later beside batch runs than without them.
class batch_slot_limit
{
public:
    /// Time for which a burst of online requests is remembered at a harm
    /// weight of 100; below that a burst is over after a few cancel times.
    static constexpr duration burst_memory = std::chrono::seconds(30);
    /// Longest time for which a busy runner keeps the slots that online runs
    /// took. It keeps them for half of the mean time of an online run, in which
    /// half as many come as have ended, times the harm weight.
    static constexpr duration max_busy_memory = std::chrono::seconds(2);
    /// Samples beside batch runs between two judgements.
    static constexpr std::int64_t window = 16;

    /// `harm_weight` is 0 (throughput only) to 100 (no harm accepted).
    batch_slot_limit(std::int64_t slots, std::int64_t harm_weight);

    void set_bounds(std::int64_t slots, std::int64_t harm_weight);
    void online_arrived(time_point now);

    /// Takes the number of online runs, in the runner and waiting, that there
    /// were up to now.
    void online_held(std::int64_t runs, time_point now);

    /// Takes the time that an online run was in the runner.
    void online_took(duration time);

    /// Takes the time to the first byte of an online run that was started
    /// beside `batch_in_progress` batch runs. A run that was started while a
    /// cancelled one still held its slot is not to be told: what that costs is
    /// bounded by the reserve and says nothing of the batch share.
    void online_first_byte(
        duration latency, std::int64_t batch_in_progress, time_point now);

    /// Takes the time from the order to cancel a run to its end.
    void cancel_took(duration time);

    /// Returns the most online requests that came within one cancel time
    /// during the last `memory`.
    std::int64_t greatest_burst(time_point now, duration memory) const;

    /// Returns the slots kept free for online requests while `online` online
    /// runs are in the runner or wait.
    std::int64_t reserve(std::int64_t online, time_point now) const;

    /// Returns the slots that batch runs are cancelled for before an online run
    /// needs them: one while online runs take more than half of the slots.
    std::int64_t headroom(time_point now) const;

    /// Returns the greatest number of batch runs at once.
    std::int64_t limit(time_point now) const;

    duration cancel_time() const;

private:
    struct burst
    {
        time_point at;
        std::int64_t size = 0;
    };

    struct level
    {
        time_point until;
        std::int64_t runs = 0;
    };

    void judge_harm(time_point now);
    duration memory() const;
    duration busy_memory() const;
    /// Slots for a burst that comes within one cancel time.
    std::int64_t burst_reserve(time_point now) const;
    /// Greatest number of online runs a moment ago, or zero when they took no
    /// more than half of the slots.
    std::int64_t busy_level(time_point now) const;
    /// Part of an online first byte's time that batch may add to it.
    double tolerance() const;
    /// Online runs that may come beyond the slots before the tolerance is
    /// spent.
    double bearable_excess() const;

    std::int64_t slots;
    std::int64_t harm_weight;
    double learned_limit;
    duration learned_cancel_time;
    decaying_mean online_time;
    decaying_mean alone;
    decaying_mean beside;
    std::int64_t unjudged = 0;
    time_point last_shrink;
    std::deque<time_point> recent;
    std::deque<burst> bursts;
    std::deque<level> levels;
};

} // namespace chicory::online

#endif
