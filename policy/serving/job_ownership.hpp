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

/// A node that accepts work, and the start of its process.
struct live_node
{
    std::string id;
    std::uint64_t incarnation = 0;
    /// Memory of the VM in MB; zero if unknown.
    std::uint32_t memory_mb = 0;
    std::string zone = {};
};

/// Returns the node that takes over a job whose owner has failed or is leaving.
/// All nodes with the same view of the live nodes choose the same one. Returns
/// nothing if no node is live.
std::optional<live_node>
choose_owner(const std::string& job, const std::vector<live_node>& live);

/// Decides when this node takes over a job. Designed for nodes that fail,
/// leave, or all restart at the same time while jobs are in progress: each job
/// is assigned to a single node, on which all nodes agree.
class job_ownership
{
public:
    /// Time for which an owner must be missing before another node takes its
    /// jobs over, so that a brief suspicion does not move any work.
    static constexpr duration takeover_delay = std::chrono::milliseconds(400);

    explicit job_ownership(live_node node);

    /// Sets the incarnation of this node, which may turn out to be later than
    /// the start time read from its clock.
    void set_incarnation(std::uint64_t incarnation);

    /// Returns whether this process owns the job.
    bool owns(const job_record& job) const;

    /// Returns whether this node must take over an open job.
    bool should_take_over(
        time_point now,
        const job_record& job,
        const std::vector<live_node>& live);

    /// Removes the state of a job that does not need an owner any more.
    void forget(const std::string& job);

private:
    live_node self;
    /// Time at which the owner of each job was first found missing.
    std::map<std::string, time_point> missed_since;
};

} // namespace chicory::serving

#endif
