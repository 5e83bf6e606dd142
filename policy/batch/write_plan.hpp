#ifndef CHICORY_POLICY_BATCH_WRITE_PLAN_HPP
#define CHICORY_POLICY_BATCH_WRITE_PLAN_HPP

#include "core/core.hpp"
#include "policy/batch/chunk_record.hpp"
#include "policy/batch/job_record.hpp"
#include "policy/batch/lifecycle.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::batch
{

/// Condition of a transaction: the row has this version. Zero means that the
/// row must not exist.
struct planned_condition
{
    std::string key;
    std::int64_t version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct planned_write
{
    std::string key;
    std::optional<std::string> value;
};

/// A row as read; version zero means that it is missing.
struct found_row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

/// Effect of a write whose response was dropped or that conflicted, as
/// determined from the row.
enum class write_effect
{
    took_effect,
    no_effect,
    superseded,
};

/// Determines the effect of a write of a row that carries an operation
/// identifier. `expected` is the version on which the write was conditioned. A
/// write without effect may still arrive later; sending the same write again is
/// safe.
write_effect check_write_effect(
    const found_row& row, std::int64_t expected, std::string_view operation);

/// A transaction on the table service.
struct write_plan
{
    std::vector<planned_condition> conditions;
    std::vector<planned_write> writes;

    /// Adds a write conditioned on the version of its row. An empty value
    /// deletes the row.
    void
    replace(std::string key, std::int64_t version, std::optional<std::string>);

    /// Adds a condition without a write, unless the row already has a
    /// condition.
    void require(std::string key, std::int64_t version);
};

/// A job as read from the table service. Its open row exists while the job
/// runs, and commits are conditioned on the version of that row.
struct stored_job
{
    job_record record;
    std::int64_t version = 0;
    std::int64_t open_version = 0;
};

/// A chunk as read from the table service; version zero means that it has no
/// row.
struct stored_chunk
{
    chunk_record record;
    std::int64_t version = 0;
};

/// Returns the transaction that accepts a job. It writes the row of the job,
/// its open row and, if the job has a key, the row of the key.
write_plan plan_acceptance(const lifecycles& charts, job_record& record);

/// Returns the transaction that cancels a job, or nothing when the job has
/// already ended. Once it has taken effect, each commit of the job fails
/// because the open row is missing. `now_ms` is the wall clock time in
/// milliseconds since 1970 UTC.
std::optional<write_plan> plan_cancel(
    const lifecycles& charts,
    stored_job& job,
    std::string operation,
    std::int64_t now_ms);

/// Returns the transaction that finishes a job, or nothing when some chunks are
/// not committed or the job has already ended. `now_ms` is the wall clock time
/// in milliseconds since 1970 UTC.
std::optional<write_plan> plan_finish(
    const lifecycles& charts,
    stored_job& job,
    const std::vector<stored_chunk>& chunks,
    std::string operation,
    std::int64_t now_ms);

/// Returns the transaction that leases a chunk or takes it over from a holder
/// that was considered dead.
write_plan plan_lease(
    const lifecycles& charts,
    stored_chunk& chunk,
    const stored_job& job,
    std::string process,
    std::string operation);

/// Returns the transaction that marks items as started.
write_plan plan_mark(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const stored_job& job,
    const chunk_record& marked);

/// Returns the transaction that releases a chunk.
write_plan plan_release(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const chunk_record& released);

/// A chunk to commit and the rows on which its commit depends.
struct commit_request
{
    std::string open_key;
    std::int64_t open_version = 0;
    std::string chunk_key;
    /// Fencing token: the version of the row of the chunk as last written by
    /// the holder.
    std::int64_t token = 0;
    chunk_record committed;
    std::optional<chunk_record> stragglers;
};

/// Adds the commit of a chunk to a transaction.
void plan_commit(write_plan& plan, const commit_request& request);

} // namespace chicory::batch

#endif
