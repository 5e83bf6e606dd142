#include "policy/online/batch_slot_limit.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::online
{

namespace
{

/// Weight of a new sample in a decaying mean.
constexpr double sample_weight = 0.05;
/// Cancel time assumed before the first cancellation, and the limits of
/// recorded cancel times.
constexpr duration initial_cancel_time = std::chrono::milliseconds(50);
constexpr duration min_cancel_time = std::chrono::milliseconds(5);
constexpr duration max_cancel_time = std::chrono::seconds(1);
/// Relative slowdown of online requests that is accepted at a harm weight of
/// zero.
constexpr double max_tolerance = 0.25;
constexpr double full_harm_weight = 100.0;
/// Factor applied to the batch share when it slows down online requests.
constexpr double shrink_factor = 0.7;
/// The batch share grows by one for each such interval after a reduction.
constexpr duration regrow_interval = std::chrono::seconds(5);
/// Harm weight from which a busy runner keeps one slot free.
constexpr std::int64_t headroom_weight = 50;
/// Fraction of the mean duration of an online run for which a busy runner keeps
/// the slots that online runs used.
constexpr double busy_memory_factor = 0.5;
/// Number of cancel times without an online request after which a burst is
/// over.
constexpr std::int64_t idle_cancel_times = 5;
/// Number of standard errors that a slowdown must exceed to be significant.
constexpr double significance = 2.0;

} // namespace

void decaying_mean::add(double sample)
{
    this->samples += 1;
    // The first samples have equal weights, so that none of them dominates.
    const double weight =
        std::max(sample_weight, 1.0 / static_cast<double>(this->samples));
    const double difference = sample - this->current_mean;
    this->current_mean += weight * difference;
    this->current_variance = (1 - weight) * (this->current_variance +
                                             weight * difference * difference);
}

double decaying_mean::mean() const
{
    return this->current_mean;
}

double decaying_mean::variance() const
{
    return this->current_variance;
}

std::int64_t decaying_mean::count() const
{
    return this->samples;
}

batch_slot_limit::batch_slot_limit(std::int64_t slots, std::int64_t harm_weight)
    : slots(slots), harm_weight(harm_weight),
      learned_limit(static_cast<double>(slots)),
      learned_cancel_time(initial_cancel_time)
{
}

void batch_slot_limit::set_bounds(
    std::int64_t new_slots, std::int64_t new_harm_weight)
{
    const double added = static_cast<double>(new_slots - this->slots);
    this->learned_limit = std::max(1.0, this->learned_limit + added);
    this->slots = new_slots;
    this->harm_weight = new_harm_weight;
}

void batch_slot_limit::record_online_arrival(time_point now)
{
    this->recent_arrivals.push_back(now);
    while (this->recent_arrivals.front() + this->learned_cancel_time < now)
    {
        this->recent_arrivals.pop_front();
    }
    const burst current = {
        now, static_cast<std::int64_t>(this->recent_arrivals.size())};
    // A burst that is not greater than a later one can never be the maximum.
    while (!this->bursts.empty() && this->bursts.back().size <= current.size)
    {
        this->bursts.pop_back();
    }
    this->bursts.push_back(current);
    while (this->bursts.front().at + burst_memory < now)
    {
        this->bursts.pop_front();
    }
}

void batch_slot_limit::record_online_load(std::int64_t runs, time_point now)
{
    // A load that is not greater than a later one can never be the maximum.
    while (!this->load_levels.empty() && this->load_levels.back().runs <= runs)
    {
        this->load_levels.pop_back();
    }
    this->load_levels.push_back({now, runs});
    while (this->load_levels.front().until + max_busy_memory < now)
    {
        this->load_levels.pop_front();
    }
}

void batch_slot_limit::record_online_duration(duration elapsed)
{
    this->online_time.add(static_cast<double>(elapsed.count()));
}

void batch_slot_limit::record_online_first_byte(
    duration latency, std::int64_t batch_in_progress, time_point now)
{
    const double sample = static_cast<double>(latency.count());
    if (batch_in_progress == 0)
    {
        this->latency_without_batch.add(sample);
        return;
    }
    this->latency_with_batch.add(sample);
    this->unevaluated_samples += 1;
    if (this->unevaluated_samples >= window &&
        this->latency_without_batch.count() >= window)
    {
        this->evaluate_harm(now);
        this->unevaluated_samples = 0;
    }
}

void batch_slot_limit::evaluate_harm(time_point now)
{
    const double variance = this->latency_with_batch.variance() +
                            this->latency_without_batch.variance();
    const double random_variation =
        significance * std::sqrt(variance / static_cast<double>(window));
    const double slowdown =
        this->latency_with_batch.mean() - this->latency_without_batch.mean();
    const double accepted_slowdown =
        this->tolerance() * this->latency_without_batch.mean();
    if (this->harm_weight > 0 &&
        slowdown > std::max(accepted_slowdown, random_variation))
    {
        this->learned_limit =
            static_cast<double>(this->limit(now)) * shrink_factor;
        this->last_shrink = now;
        // The slowdown at the old share is not valid for the new one.
        this->latency_with_batch = decaying_mean();
    }
}

void batch_slot_limit::record_cancel_duration(duration elapsed)
{
    const duration bounded =
        std::clamp(elapsed, min_cancel_time, max_cancel_time);
    // A slow cancellation takes effect immediately and decays slowly.
    const duration decayed = (this->learned_cancel_time * 7 + bounded) / 8;
    this->learned_cancel_time = std::max(bounded, decayed);
}

std::int64_t
batch_slot_limit::max_burst_size(time_point now, duration memory) const
{
    std::int64_t max_size = 0;
    for (const burst& recorded : this->bursts)
    {
        if (recorded.at + memory >= now)
        {
            max_size = std::max(max_size, recorded.size);
        }
    }
    return max_size;
}

std::int64_t
batch_slot_limit::reserve(std::int64_t online, time_point now) const
{
    const std::int64_t busy_reserve = this->busy_level(now) - online;
    return std::max(
        {busy_reserve, this->burst_reserve(now), this->headroom(now)});
}

std::int64_t batch_slot_limit::headroom(time_point now) const
{
    const bool reserves_headroom = this->harm_weight >= headroom_weight;
    return reserves_headroom && this->busy_level(now) > 0 ? 1 : 0;
}

std::int64_t batch_slot_limit::busy_level(time_point now) const
{
    const duration memory = this->busy_memory();
    std::int64_t max_runs = 0;
    for (const load_level& recorded : this->load_levels)
    {
        if (recorded.until + memory >= now)
        {
            max_runs = std::max(max_runs, recorded.runs);
        }
    }
    return max_runs * 2 > this->slots ? std::min(max_runs, this->slots) : 0;
}

duration batch_slot_limit::busy_memory() const
{
    const double factor = busy_memory_factor *
                          static_cast<double>(this->harm_weight) /
                          full_harm_weight;
    const duration learned_value(
        static_cast<std::int64_t>(this->online_time.mean() * factor));
    return std::min(learned_value, max_busy_memory);
}

std::int64_t batch_slot_limit::burst_reserve(time_point now) const
{
    const double max_burst = static_cast<double>(
        this->max_burst_size(now, this->current_burst_memory()));
    const double excess = max_burst - this->tolerated_excess();
    const double weighted =
        excess * static_cast<double>(this->harm_weight) / full_harm_weight;
    return std::max<std::int64_t>(static_cast<std::int64_t>(weighted), 0);
}

duration batch_slot_limit::current_burst_memory() const
{
    if (static_cast<double>(this->harm_weight) >= full_harm_weight)
    {
        return burst_memory;
    }
    // The first requests of a new burst are delayed by at most one cancel time,
    // so batch runs may fill a pause of many cancel times.
    return std::min(
        this->learned_cancel_time * idle_cancel_times, burst_memory);
}

double batch_slot_limit::tolerated_excess() const
{
    // Runs beyond the slots slow each other down in proportion until the
    // cancelled runs have ended. This number of runs delays a first byte by no
    // more than the tolerance.
    const double accepted_slowdown =
        this->tolerance() * this->latency_without_batch.mean();
    const double cancel =
        static_cast<double>(this->learned_cancel_time.count());
    return accepted_slowdown * static_cast<double>(this->slots) / cancel;
}

double batch_slot_limit::tolerance() const
{
    return max_tolerance *
           (full_harm_weight - static_cast<double>(this->harm_weight)) /
           full_harm_weight;
}

std::int64_t batch_slot_limit::limit(time_point now) const
{
    const std::int64_t regrown = (now - this->last_shrink) / regrow_interval;
    const std::int64_t learned_value =
        static_cast<std::int64_t>(this->learned_limit) + regrown;
    return std::clamp<std::int64_t>(learned_value, 0, this->slots);
}

duration batch_slot_limit::cancel_time() const
{
    return this->learned_cancel_time;
}

} // namespace chicory::online
