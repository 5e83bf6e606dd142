#ifndef CHICORY_POLICY_BATCH_JOB_RECORD_HPP
#define CHICORY_POLICY_BATCH_JOB_RECORD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicory::batch
{

/// State of a job. Its transitions are defined in charts/job.toml.
enum class job_state
{
    received,
    refused,
    running,
    finished,
    cancelled,
};

inline constexpr enum_table<job_state, 5> job_state_names = {{
    {job_state::received, "received"},
    {job_state::refused, "refused"},
    {job_state::running, "running"},
    {job_state::finished, "finished"},
    {job_state::cancelled, "cancelled"},
}};

/// Event that changes the state of a job.
enum class job_event
{
    row_stored,
    submission_failed,
    all_committed,
    cancel,
};

inline constexpr enum_table<job_event, 4> job_event_names = {{
    {job_event::row_stored, "row_stored"},
    {job_event::submission_failed, "submission_failed"},
    {job_event::all_committed, "all_committed"},
    {job_event::cancel, "cancel"},
}};

/// Row of a job. It is written only when the job is accepted, cancelled or
/// finished, so its version shows whether chunks may still commit.
struct job_record
{
    std::string id;
    std::string member;
    /// Route to which the items of the job are sent.
    std::string route;
    /// Digest of the idempotency key of the caller; empty if there is none.
    std::string key_digest;
    /// Digest of the submitted bytes.
    std::string content_digest;
    job_state state = job_state::received;
    std::uint64_t items = 0;
    std::uint64_t chunks = 0;
    /// Wall clock times in milliseconds since 1970 UTC.
    std::int64_t accepted_ms = 0;
    std::int64_t deadline_ms = 0;
    std::int64_t ended_ms = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t outcome_unknown = 0;
    /// Identifies the last write of the row.
    std::string operation_id;

    bool operator==(const job_record&) const = default;
};

/// Returns the JSON value of the row of a record.
std::string encode(const job_record& record);

/// Decodes the value of a row. Error: internal, naming the expected field.
result<job_record> decode_job(std::string_view value);

/// Result of comparing a new submission with an earlier one under the same key.
enum class key_match
{
    same_job,
    other_content,
};

/// Compares a stored job with a submission under the same key.
key_match
match_submission(const job_record& stored, std::string_view content_digest);

/// Returns the key of the row of a job.
std::string job_row_key(std::string_view job);

/// Returns the key of the row that lists a job as open. The row is deleted when
/// the job ends.
std::string open_row_key(std::string_view job);

/// Prefix of the keys of the rows of open jobs.
inline constexpr std::string_view open_row_prefix = "batch/open/";

/// Returns the key of the row that maps the idempotency key of a member to a
/// job.
std::string
submission_row_key(std::string_view member, std::string_view key_digest);

/// Returns the name of the object that lists the chunks of a job.
std::string manifest_name(std::string_view job);

} // namespace chicory::batch

#endif
