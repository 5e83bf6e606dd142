#ifndef CHICORY_SERVERS_NODE_JOB_VIEW_HPP
#define CHICORY_SERVERS_NODE_JOB_VIEW_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"

#include <cstdint>
#include <functional>
#include <map>
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

/// The jobs as the records that this node has heard of tell them. Of two
/// records of a job the one of the higher version counts, whichever came last.
class job_view
{
public:
    /// The hook hears the id of each job that is new or has changed.
    explicit job_view(std::function<void(const std::string&)> hook);

    /// Takes a record that was written or removed. One that cannot be read is
    /// logged.
    void take(const ports::record& changed);

    /// Takes all records as of a version; jobs that are missing are removed.
    void
    take_all(const std::vector<ports::record>& records, std::int64_t version);

    void adopt(const std::string& partition, serving::job_record record);

    /// Returns the job, or null.
    const known_job* find(const std::string& id) const;

    std::vector<const serving::job_record*> all() const;

    /// Returns the tokens that wait in a partition.
    std::int64_t waiting_on(const std::string& partition) const;

    /// Version of the record that orders the acceptances of a partition, as
    /// far as it is known.
    std::int64_t limit_version(const std::string& partition) const;
    void note_limit(const std::string& partition, std::int64_t version);

private:
    std::function<void(const std::string&)> on_job;
    std::map<std::string, known_job> jobs;
    std::map<std::string, std::int64_t> limit_versions;
};

} // namespace chicory::node

#endif
