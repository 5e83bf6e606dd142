#ifndef CHICORY_POLICY_SERVING_CRASH_GUARD_HPP
#define CHICORY_POLICY_SERVING_CRASH_GUARD_HPP

#include "policy/online/online.hpp"
#include "policy/serving/slot_messages.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace chicory::serving
{

/// Time limits for requests that crash their runners.
struct crash_guard_settings
{
    /// Time for which a crash caused by a request is remembered.
    duration crash_lifetime = std::chrono::minutes(10);
    /// A request that crashes its runner does so before its first piece, within
    /// this time of the start of a run. Until then, at most two copies of a
    /// request that was not completed before may run.
    duration observation_time = std::chrono::milliseconds(150);
    /// Time for which a completed request is known to be good.
    duration known_good_lifetime = std::chrono::seconds(10);
};

/// Decides which copies of a request may begin. Copies are identified by the
/// digest of the request's content; zero means that there is no digest.
/// Designed for a request that crashes every runner it runs on and is sent
/// through many nodes. Two copies may begin concurrently; further copies wait
/// until the outcome of these is known. After the first crash copies run one at
/// a time, and after the second crash the request is quarantined.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_settings initial = {});

    /// Records that a run of the request begins.
    void
    on_begin(time_point now, std::uint64_t request_digest, const slot_id& run);
    /// Records that a run of the request ended.
    void on_end(std::uint64_t request_digest, const slot_id& run);

    /// Records that a run of the request was completed.
    void on_completed(time_point now, std::uint64_t request_digest);

    /// Records that a run crashed its runner. Repeated reports of the same run
    /// have no effect.
    void on_crash(time_point now, const crashed_run& run);

    /// Removes expired entries.
    void on_tick(time_point now);

    /// Returns whether the request is quarantined: no copy of it may run.
    bool is_quarantined(time_point now, std::uint64_t request_digest) const;

    /// Returns whether the request has crashed a runner.
    bool is_suspect(time_point now, std::uint64_t request_digest) const;

    /// Returns whether two copies began within the observation time. A further
    /// copy then waits for the outcome of these, not for a slot.
    bool is_awaiting_first_copies(
        time_point now, std::uint64_t request_digest) const;

    /// Returns whether a copy of the request may begin now.
    bool may_begin(time_point now, std::uint64_t request_digest) const;

    /// Returns the most recent crashed runs, which are sent to other
    /// coordinators.
    std::vector<crashed_run> recent_crashes() const;

private:
    crash_guard_settings settings;
    online::quarantine crashes;
    std::deque<crashed_run> recent;
    /// Start times of the runs in progress of each request.
    std::map<std::uint64_t, std::map<slot_id, time_point>> running;
    /// Completed requests and the time until which they are known to be good.
    std::map<std::uint64_t, time_point> known_good;
};

} // namespace chicory::serving

#endif
