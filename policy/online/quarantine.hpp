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

/// What is held against a request's fingerprint.
enum class quarantine_decision
{
    clear,
    /// One runner died with it on board: it runs alone among suspects.
    suspect,
    /// Two runners died with it on board: it must not run.
    quarantined,
};

/// What gates tell each other about a fingerprint. The notices may come late,
/// doubled and in any order.
struct crash_notice
{
    std::uint64_t fingerprint = 0;
    /// Runner that died and its incarnation.
    std::string runner;
    std::uint64_t incarnation = 0;
    /// True when a completed lone run cleared the fingerprint of this death.
    bool cleared = false;
    duration time_to_live = duration::zero();

    bool operator==(const crash_notice&) const = default;
};

/// Remembers which requests were on board of runners that died. Deaths are
/// counted by runner and incarnation, so that hearing of one twice changes
/// nothing.
class quarantine
{
public:
    /// Deaths after which a request must not run again.
    static constexpr std::size_t max_deaths = 2;

    explicit quarantine(duration time_to_live);

    quarantine_decision judge(std::uint64_t fingerprint, time_point now) const;

    /// Takes the fingerprints on board of a runner that died, and returns
    /// what to tell the other gates.
    std::vector<crash_notice> runner_died(
        const std::string& runner,
        std::uint64_t incarnation,
        const std::vector<std::uint64_t>& on_board,
        time_point now);

    /// Takes a run that completed while it was the only suspect on its
    /// runner: the deaths before it are not its doing.
    std::vector<crash_notice>
    lone_run_completed(std::uint64_t fingerprint, time_point now);

    /// Takes a notice of another gate.
    void merge(const crash_notice& notice, time_point now);

    /// Forgets what has expired.
    void expire(time_point now);

    std::size_t size() const;

private:
    using death = std::pair<std::string, std::uint64_t>;

    struct record
    {
        std::set<death> deaths;
        std::set<death> cleared;
        time_point expires;
    };

    duration time_to_live;
    std::map<std::uint64_t, record> records;
};

} // namespace chicory::online

#endif
