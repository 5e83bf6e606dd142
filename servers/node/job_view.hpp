#ifndef CHICORY_SERVERS_NODE_JOB_VIEW_HPP
#define CHICORY_SERVERS_NODE_JOB_VIEW_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::node
{

/// A job with the partition of the store that holds it.
struct known_job
{
    serving::job_record record;
    std::string partition;
};

/// View of the jobs, built from the records that this node has received. Of two
/// records of a job, the one with the higher version is used, whichever arrived
/// last.
class job_view
{
public:
    /// `hook` is called with the id of each job that is new or has changed.
    explicit job_view(std::function<void(const std::string&)> hook);

    /// Applies a record that was written or removed. A record that cannot be
    /// decoded is logged.
    void apply(const ports::record& changed);

    /// Applies all records as of a version, and removes jobs that are not among
    /// them.
    void apply_snapshot(
        const std::vector<ports::record>& records, std::int64_t version);

    void adopt(const std::string& partition, serving::job_record record);

    /// Removes the jobs for which `may_forget` returns true.
    void
    forget(const std::function<bool(const serving::job_record&)>& may_forget);

    /// Returns the job, or null.
    const known_job* find(const std::string& id) const;

    std::vector<const serving::job_record*> all() const;

    /// Returns the number of tokens that wait in a partition, of the jobs of
    /// one organisation or, if none is stated, of all jobs.
    std::int64_t waiting_tokens_in(
        const std::string& partition,
        const std::optional<std::string>& organisation) const;

    /// Returns the latest known version of the record that serialises
    /// acceptance in a partition, or zero when none is known.
    std::int64_t limit_version(const std::string& partition) const;
    void
    record_limit_version(const std::string& partition, std::int64_t version);

private:
    std::function<void(const std::string&)> on_job_changed;
    std::map<std::string, known_job> jobs;
    std::map<std::string, std::int64_t> limit_versions;
};

} // namespace chicory::node

#endif
