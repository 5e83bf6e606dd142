#ifndef CHICORY_POLICY_SERVING_JOB_OWNERSHIP_HPP
#define CHICORY_POLICY_SERVING_JOB_OWNERSHIP_HPP

#include "policy/serving/job_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::serving
{

/// A node that takes work, and the start of its process.
struct live_node
{
    std::string id;
    std::uint64_t incarnation = 0;
    /// Memory of the VM in MB; zero when unknown.
    std::uint32_t memory_mb = 0;
    std::string zone = {};
};

/// Returns the node that is to run a job whose owner is gone or leaves, the
/// same in the view of all; nothing when no node is live.
std::optional<live_node>
choose_owner(const std::string& job, const std::vector<live_node>& live);

/// Decides when this node takes over a job. Answers the load patterns of
/// nodes that die, leave, or are all restarted at once with jobs under way:
/// each job goes to one node, the same in the view of all.
class job_ownership
{
public:
    /// Time for which an owner must be missed by another node, so that a
    /// short doubt about a node moves no work.
    static constexpr duration takeover_delay = std::chrono::milliseconds(400);

    explicit job_ownership(live_node node);

    /// Sets the start of the node's process, which may turn out later than
    /// its clock said.
    void set_incarnation(std::uint64_t incarnation);

    bool owns(const job_record& job) const;

    /// Returns whether this node is to take over an open job.
    bool should_take_over(
        time_point now,
        const job_record& job,
        const std::vector<live_node>& live);

    /// Forgets a job that needs no owner any more.
    void forget(const std::string& job);

private:
    live_node self;
    /// When the owner of a job was first missed.
    std::map<std::string, time_point> missed_since;
};

} // namespace chicory::serving

#endif
