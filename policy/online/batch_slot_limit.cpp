#include "policy/online/batch_slot_limit.hpp"

#include <algorithm>
#include <cmath>

namespace chicory::online
{

namespace
{

/// Weight of a new sample in a fading mean.
constexpr double sample_weight = 0.05;
/// Cancel time assumed before the first cancel, and its bounds.
constexpr duration first_cancel_time = std::chrono::milliseconds(50);
constexpr duration min_cancel_time = std::chrono::milliseconds(5);
constexpr duration max_cancel_time = std::chrono::seconds(1);
/// Relative slowdown of online requests that a weight of zero would accept.
constexpr double widest_tolerance = 0.25;
constexpr double full_harm_weight = 100.0;
/// Factor applied to the batch share when it harms online requests.
constexpr double shrink_factor = 0.7;
/// Time after a shrink from which the share grows by one for each such time.
constexpr duration regrow_interval = std::chrono::seconds(5);
/// Harm weight from which a busy runner keeps a slot free.
constexpr std::int64_t headroom_weight = 50;
/// Part of the mean time of an online run for which a busy runner keeps the
/// slots that online runs took.
constexpr double busy_part = 0.5;
/// Cancel times without an online request after which its burst is over.
constexpr std::int64_t quiet_cancel_times = 5;
/// Standard errors by which a slowdown must exceed chance.
constexpr double significance = 2.0;

} // namespace

void decaying_mean::add(double sample)
{
    this->samples += 1;
    // The first samples weigh alike, so that none of them dominates.
    const double weight =
        std::max(sample_weight, 1.0 / static_cast<double>(this->samples));
    const double difference = sample - this->average;
    this->average += weight * difference;
    this->spread =
        (1 - weight) * (this->spread + weight * difference * difference);
}

double decaying_mean::mean() const
{
    return this->average;
}

double decaying_mean::variance() const
{
    return this->spread;
}

std::int64_t decaying_mean::count() const
{
    return this->samples;
}

batch_slot_limit::batch_slot_limit(std::int64_t slots, std::int64_t harm_weight)
    : slots(slots), harm_weight(harm_weight),
      learned_limit(static_cast<double>(slots)),
      learned_cancel_time(first_cancel_time)
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

void batch_slot_limit::online_arrived(time_point now)
{
    this->recent.push_back(now);
    while (this->recent.front() + this->learned_cancel_time < now)
    {
        this->recent.pop_front();
    }
    const burst current = {now, static_cast<std::int64_t>(this->recent.size())};
    // Only bursts greater than all later ones can ever be the greatest.
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

void batch_slot_limit::online_held(std::int64_t runs, time_point now)
{
    // Only levels greater than all later ones can ever be the greatest.
    while (!this->levels.empty() && this->levels.back().runs <= runs)
    {
        this->levels.pop_back();
    }
    this->levels.push_back({now, runs});
    while (this->levels.front().until + max_busy_memory < now)
    {
        this->levels.pop_front();
    }
}

void batch_slot_limit::online_took(duration time)
{
    this->online_time.add(static_cast<double>(time.count()));
}

void batch_slot_limit::online_first_byte(
    duration latency, std::int64_t batch_in_progress, time_point now)
{
    const double sample = static_cast<double>(latency.count());
    if (batch_in_progress == 0)
    {
        this->alone.add(sample);
        return;
    }
    this->beside.add(sample);
    this->unjudged += 1;
    if (this->unjudged >= window && this->alone.count() >= window)
    {
        this->judge_harm(now);
        this->unjudged = 0;
    }
}

void batch_slot_limit::judge_harm(time_point now)
{
    const double variance = this->beside.variance() + this->alone.variance();
    const double chance =
        significance * std::sqrt(variance / static_cast<double>(window));
    const double slowdown = this->beside.mean() - this->alone.mean();
    const double accepted = this->tolerance() * this->alone.mean();
    if (this->harm_weight > 0 && slowdown > std::max(accepted, chance))
    {
        this->learned_limit =
            static_cast<double>(this->limit(now)) * shrink_factor;
        this->last_shrink = now;
        // The slowdown at the old share says nothing of the new one.
        this->beside = decaying_mean();
    }
}

void batch_slot_limit::cancel_took(duration time)
{
    const duration bounded = std::clamp(time, min_cancel_time, max_cancel_time);
    // Slow cancels count at once and fade slowly.
    const duration faded = (this->learned_cancel_time * 7 + bounded) / 8;
    this->learned_cancel_time = std::max(bounded, faded);
}

std::int64_t
batch_slot_limit::greatest_burst(time_point now, duration memory) const
{
    std::int64_t greatest = 0;
    for (const burst& seen : this->bursts)
    {
        if (seen.at + memory >= now)
        {
            greatest = std::max(greatest, seen.size);
        }
    }
    return greatest;
}

std::int64_t
batch_slot_limit::reserve(std::int64_t online, time_point now) const
{
    const std::int64_t kept = this->busy_level(now) - online;
    return std::max({kept, this->burst_reserve(now), this->headroom(now)});
}

std::int64_t batch_slot_limit::headroom(time_point now) const
{
    const bool weighs_harm = this->harm_weight >= headroom_weight;
    return weighs_harm && this->busy_level(now) > 0 ? 1 : 0;
}

std::int64_t batch_slot_limit::busy_level(time_point now) const
{
    const duration memory = this->busy_memory();
    std::int64_t greatest = 0;
    for (const level& seen : this->levels)
    {
        if (seen.until + memory >= now)
        {
            greatest = std::max(greatest, seen.runs);
        }
    }
    return greatest * 2 > this->slots ? std::min(greatest, this->slots) : 0;
}

duration batch_slot_limit::busy_memory() const
{
    const double part =
        busy_part * static_cast<double>(this->harm_weight) / full_harm_weight;
    const duration learned(
        static_cast<std::int64_t>(this->online_time.mean() * part));
    return std::min(learned, max_busy_memory);
}

std::int64_t batch_slot_limit::burst_reserve(time_point now) const
{
    const double greatest =
        static_cast<double>(this->greatest_burst(now, this->memory()));
    const double unserved = greatest - this->bearable_excess();
    const double weighted =
        unserved * static_cast<double>(this->harm_weight) / full_harm_weight;
    return std::max<std::int64_t>(static_cast<std::int64_t>(weighted), 0);
}

duration batch_slot_limit::memory() const
{
    if (static_cast<double>(this->harm_weight) >= full_harm_weight)
    {
        return burst_memory;
    }
    // The first requests of a new burst pay at most one cancel time, so that
    // a pause of many cancel times may be filled.
    return std::min(
        this->learned_cancel_time * quiet_cancel_times, burst_memory);
}

double batch_slot_limit::bearable_excess() const
{
    // Runs beyond the slots slow each other down in proportion until the
    // cancelled ones have gone. This many cost a first byte no more than the
    // tolerance.
    const double accepted = this->tolerance() * this->alone.mean();
    const double cancel =
        static_cast<double>(this->learned_cancel_time.count());
    return accepted * static_cast<double>(this->slots) / cancel;
}

double batch_slot_limit::tolerance() const
{
    return widest_tolerance *
           (full_harm_weight - static_cast<double>(this->harm_weight)) /
           full_harm_weight;
}

std::int64_t batch_slot_limit::limit(time_point now) const
{
    const std::int64_t regrown = (now - this->last_shrink) / regrow_interval;
    const std::int64_t learned =
        static_cast<std::int64_t>(this->learned_limit) + regrown;
    return std::clamp<std::int64_t>(learned, 0, this->slots);
}

duration batch_slot_limit::cancel_time() const
{
    return this->learned_cancel_time;
}

} // namespace chicory::online
