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
    serving::version_range versions = {};
};

/// State of the record that serialises acceptance in a partition.
struct known_limit
{
    /// Id of the job that was accepted last.
    std::string job;
    serving::version_range versions = {};
};

/// View of the jobs, built from the records that this node has received. Of two
/// records of a job, the later state is used, whichever arrived last.
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

    /// Adopts a record that this node has written.
    void adopt(
        const std::string& partition,
        serving::job_record record,
        const serving::version_range& versions);

    /// Returns the version that the next write of a record must require. Once
    /// the store has stated a version above that of a written record, it is the
    /// lowest one: no other writer's state has that version. The store refuses
    /// the write if the record's version is another, and returns the record.
    std::int64_t
    version_to_require(const serving::version_range& versions) const;

    /// Applies the records that came with the refusal of a write to a job.
    /// `when_sent` are the job's versions when the write was sent. Removes no
    /// job that is not among the records.
    void apply_refusal(
        const std::string& id,
        const serving::version_range& when_sent,
        const std::vector<ports::record>& found);

    /// Removes a job whose record does not exist, unless it has changed since
    /// it had these versions.
    void remove(const std::string& id, const serving::version_range& when_read);

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

    /// Returns the state of the record that serialises acceptance in a
    /// partition. The view contains all jobs accepted up to its lowest version.
    known_limit limit_in(const std::string& partition) const;

    /// Adopts a state of that record up to which the view contains all jobs.
    void adopt_limit(const std::string& partition, known_limit limit);

    /// Applies the state that came with the refusal of a submission, unless
    /// jobs of others were accepted since the known state: the feed then brings
    /// them and the new state.
    void apply_limit_refusal(
        const std::string& partition,
        const serving::version_range& when_sent,
        const known_limit& found);

private:
    std::function<void(const std::string&)> on_job_changed;
    std::map<std::string, known_job> jobs;
    std::map<std::string, known_limit> limits;
    /// True once a read has shown that the store stated more than the version
    /// of a written record.
    bool is_overstated = false;
};

} // namespace chicory::node

#endif
