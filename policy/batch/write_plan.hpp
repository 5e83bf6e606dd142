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

/// Holds a transaction back unless the row has this version; zero means that
/// the row must not exist.
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

/// A row as found, with version zero for a missing one.
struct found_row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

/// What a row says of a write whose answer was lost, or that conflicted.
enum class write_effect
{
    took_effect,
    no_effect,
    overtaken,
};

/// Judges a write of a row that carries an operation's identifier. `expected`
/// is the version that the write was conditioned on. A write without effect
/// may still arrive; sending the same one again is safe.
write_effect check_write_effect(
    const found_row& row, std::int64_t expected, std::string_view operation);

/// One transaction on the table service.
struct write_plan
{
    std::vector<planned_condition> conditions;
    std::vector<planned_write> writes;

    /// Adds a write under the condition of a version.
    void
    replace(std::string key, std::int64_t version, std::optional<std::string>);

    /// Adds a condition alone.
    void require(std::string key, std::int64_t version);
};

/// A job as read from the table service. Its open row exists while the job
/// runs; commits are conditioned on that row's version.
struct stored_job
{
    job_record record;
    std::int64_t version = 0;
    std::int64_t open_version = 0;
};

/// A chunk as read from the table service; version zero without a row.
struct stored_chunk
{
    chunk_record record;
    std::int64_t version = 0;
};

/// Accepts a job: its row, its open row and the row of its key if it has one.
write_plan plan_acceptance(const lifecycles& charts, job_record& record);

/// Cancels a job. Nothing when the job is over already. Once this took effect,
/// each commit of the job fails on the missing open row.
std::optional<write_plan> plan_cancel(
    const lifecycles& charts,
    stored_job& job,
    std::string operation,
    std::int64_t now_ms);

/// Finishes a job whose chunks are all committed. Nothing when some are not,
/// or when the job is over.
std::optional<write_plan> plan_finish(
    const lifecycles& charts,
    stored_job& job,
    const std::vector<stored_chunk>& chunks,
    std::string operation,
    std::int64_t now_ms);

/// Leases a chunk, or takes it over from a holder that was judged dead.
write_plan plan_lease(
    const lifecycles& charts,
    stored_chunk& chunk,
    const stored_job& job,
    std::string process,
    std::string operation);

/// Marks items as started.
write_plan plan_mark(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const stored_job& job,
    const chunk_record& marked);

/// Gives a chunk back.
write_plan plan_release(
    const lifecycles& charts,
    const stored_chunk& chunk,
    const chunk_record& released);

/// A committed chunk and the rows its commit depends on.
struct commit_request
{
    std::string open_key;
    std::int64_t open_version = 0;
    std::string chunk_key;
    /// Version of the chunk's row that the holder wrote last.
    std::int64_t token = 0;
    chunk_record committed;
    std::optional<chunk_record> stragglers;
};

/// Adds the commit of a chunk to a transaction.
void plan_commit(write_plan& plan, const commit_request& request);

} // namespace chicory::batch

#endif
