#ifndef CHICORY_POLICY_ONLINE_QUARANTINE_HPP
#define CHICORY_POLICY_ONLINE_QUARANTINE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicory::online
{

/// State of a request's fingerprint.
enum class quarantine_decision
{
    clear,
    /// One runner failed while the request was in progress on it. The request
    /// must be the only suspect on its runner.
    suspect,
    /// Two runners failed while the request was in progress on them. The
    /// request must not run.
    quarantined,
};

/// Notice that gates exchange about a fingerprint. Notices may arrive late,
/// more than once and in any order.
struct crash_notice
{
    std::uint64_t fingerprint = 0;
    /// Runner that failed, and its incarnation.
    std::string runner;
    std::uint64_t incarnation = 0;
    /// True when the fingerprint was cleared of this failure by a run that
    /// completed as the only suspect on its runner.
    bool cleared = false;
    duration time_to_live = duration::zero();

    bool operator==(const crash_notice&) const = default;
};

/// Records which requests were in progress on runners that failed. Failures are
/// identified by runner and incarnation, so that a repeated notice has no
/// effect.
class quarantine
{
public:
    /// Number of runner failures after which a request must not run again.
    static constexpr std::size_t max_failures = 2;

    explicit quarantine(duration time_to_live);

    quarantine_decision judge(std::uint64_t fingerprint, time_point now) const;

    /// Records the failure of a runner. `in_progress` contains the fingerprints
    /// of the requests in progress on it. Returns the notices to send to the
    /// other gates.
    std::vector<crash_notice> runner_died(
        const std::string& runner,
        std::uint64_t incarnation,
        const std::vector<std::uint64_t>& in_progress,
        time_point now);

    /// Records a run that completed as the only suspect on its runner: the
    /// request did not cause the earlier failures. Returns the notices to send
    /// to the other gates.
    std::vector<crash_notice>
    lone_run_completed(std::uint64_t fingerprint, time_point now);

    /// Applies a notice of another gate.
    void merge(const crash_notice& notice, time_point now);

    /// Removes expired records.
    void expire(time_point now);

    std::size_t size() const;

private:
    using runner_failure = std::pair<std::string, std::uint64_t>;

    struct record
    {
        std::set<runner_failure> failures;
        std::set<runner_failure> cleared;
        time_point expires;
    };

    duration time_to_live;
    std::map<std::uint64_t, record> records;
};

} // namespace chicory::online

#endif
