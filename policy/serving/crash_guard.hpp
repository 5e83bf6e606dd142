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

/// Times by which requests that crash their runners are judged.
struct crash_guard_settings
{
    /// Time that a request is remembered after it crashed a runner.
    duration crash_lifetime = std::chrono::minutes(10);
    /// A request that crashes its runner does so before its first piece, within
    /// this time of a run; so long two copies of a request that was never
    /// completed are all that run.
    duration observation_time = std::chrono::milliseconds(150);
    /// Time for which a request that was completed is known to be sound.
    duration known_good_lifetime = std::chrono::seconds(10);
};

/// Decides which copies of a request may begin, known by the digest of what
/// they carry; zero is no digest. Answers the load pattern of a request that
/// crashes the runners that begin it, sent by many nodes: two copies begin at
/// once and further ones wait a moment for what becomes of them; after the
/// first crash copies run one at a time, after the second none is run.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_settings initial = {});

    /// Takes that a run of the request begins, or ends.
    void
    on_begin(time_point now, std::uint64_t request_digest, const slot_id& run);
    void on_end(std::uint64_t request_digest, const slot_id& run);

    /// Takes that a run of the request was completed.
    void on_completed(time_point now, std::uint64_t request_digest);

    /// Takes that a run crashed its runner. Hearing of one run twice changes
    /// nothing.
    void on_crash(time_point now, const crashed_run& run);

    /// Forgets what is no longer of use.
    void on_tick(time_point now);

    /// Returns whether no copy is to run any more.
    bool is_quarantined(time_point now, std::uint64_t request_digest) const;

    /// Returns whether the request has crashed a runner.
    bool is_suspect(time_point now, std::uint64_t request_digest) const;

    /// Returns whether two copies have only just begun; the next one waits a
    /// moment, not for a slot.
    bool is_awaiting_first_copies(
        time_point now, std::uint64_t request_digest) const;

    /// Returns whether a copy may begin now.
    bool may_begin(time_point now, std::uint64_t request_digest) const;

    /// Returns the latest crashed runs, for other coordinators.
    std::vector<crashed_run> recent_crashes() const;

private:
    crash_guard_settings settings;
    online::quarantine crashes;
    std::deque<crashed_run> recent;
    /// When the runs of a request began.
    std::map<std::uint64_t, std::map<slot_id, time_point>> running;
    /// Requests that were completed, and until when they are remembered.
    std::map<std::uint64_t, time_point> known_good;
};

} // namespace chicory::serving

#endif
