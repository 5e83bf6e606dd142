#ifndef CHICORY_POLICY_ONLINE_FAIR_QUEUE_HPP
#define CHICORY_POLICY_ONLINE_FAIR_QUEUE_HPP

#include "core/core.hpp"
#include "policy/online/request.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::online
{

/// A request as seen by the queue in front of a runner.
struct queued_run
{
    /// Identifies the request and its attempt.
    std::string id;
    work_class kind = work_class::online;
    std::string member;
    time_point deadline;
    std::uint64_t fingerprint = 0;
    /// True when a runner failed earlier with the request in progress on it.
    bool suspect = false;
    /// True when the run must not be cancelled to be run again later.
    bool not_repeatable = false;
};

/// Fair queue of waiting runs with one queue for each member. The member that
/// has used the least time on the runner is next. A member that had no runs
/// starts at the virtual time of the queue, so that it accumulates no credit
/// while idle.
class fair_queue
{
public:
    void push(queued_run run);

    /// Removes and returns the next run that the filter accepts, or nothing.
    std::optional<queued_run>
    pop(const std::function<bool(const queued_run&)>& accepts);

    /// Charges a member for time on the runner; a negative time is a refund.
    void charge(const std::string& member, duration time);

    /// Removes a run by its identifier. Returns false when it is not in the
    /// queue.
    bool remove(const std::string& id);

    /// Removes and returns all runs that the filter accepts.
    std::vector<queued_run>
    remove_if(const std::function<bool(const queued_run&)>& accepts);

    bool contains(const std::string& id) const;
    std::int64_t size() const;
    std::int64_t size_of(const std::string& member) const;

    /// Returns the number of members with a waiting run.
    std::int64_t members() const;

private:
    struct member_queue
    {
        duration served_time = duration::zero();
        std::deque<queued_run> runs;
    };

    void remove_idle_members();

    std::map<std::string, member_queue> queues;
    /// Highest served time that a member had when it was served.
    duration virtual_time = duration::zero();
    std::int64_t run_count = 0;
};

} // namespace chicory::online

#endif
