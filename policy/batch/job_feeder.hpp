#ifndef CHICORY_POLICY_BATCH_JOB_FEEDER_HPP
#define CHICORY_POLICY_BATCH_JOB_FEEDER_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicory::batch
{

/// A chunk held by this process that has items to send.
struct feed_source
{
    std::string job;
    std::string member;
    std::string pool;
    /// Wall clock time in milliseconds since 1970 UTC.
    std::int64_t deadline_ms = 0;
    std::size_t ready = 0;
    std::size_t running = 0;
};

/// Slots of a runner that its owner offers to batch work.
struct idle_runner
{
    std::string runner;
    std::string pool;
    std::size_t slots = 0;
};

/// Number of items that a source sends to a runner.
struct feed_grant
{
    /// Index of the source.
    std::size_t source = 0;
    std::string runner;
    std::size_t items = 0;
};

/// Assigns offered slots to sources: the earliest deadline first, then the
/// member with the fewest items in progress. Every `fair_share_interval`-th
/// slot goes to that member regardless of deadlines, so that a member with
/// early deadlines cannot starve the others.
class job_feeder
{
public:
    /// Creates a feeder. Deadlines within the same window of
    /// `deadline_window_ms` milliseconds are treated as equal.
    explicit job_feeder(
        std::int64_t deadline_window_ms = 60000,
        std::size_t fair_share_interval = 4);

    /// Assigns the slots of the runners to the sources. The items of a source
    /// go to as few runners as possible, because adjacent items of a source
    /// share a prompt prefix.
    std::vector<feed_grant> share(
        const std::vector<feed_source>& sources,
        const std::vector<idle_runner>& runners);

private:
    std::size_t choose(
        const std::vector<feed_source>& sources,
        const std::vector<std::size_t>& unassigned,
        const std::string& pool,
        const std::map<std::string, std::size_t>& in_progress);

    std::int64_t deadline_window_ms;
    std::size_t fair_share_interval;
    std::uint64_t slots_granted = 0;
};

/// Limits the number of offered slots of a runner that this process uses,
/// because all processes receive the same offer. The limit is halved when the
/// owner refuses an item and grows by one with each item that ran.
class offer_window
{
public:
    /// Returns the number of offered slots to use in addition to the `running`
    /// ones.
    std::size_t
    limit(const std::string& runner, std::size_t offered, std::size_t running);

    /// Records that the owner refused an item for lack of free slots.
    void on_refused(const std::string& runner);

    /// Records that an item ran.
    void on_ran(const std::string& runner);

private:
    std::map<std::string, std::size_t> windows;
};

} // namespace chicory::batch

#endif
