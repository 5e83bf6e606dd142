#ifndef CHICORY_POLICY_SERVING_JOB_RECORD_HPP
#define CHICORY_POLICY_SERVING_JOB_RECORD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// Final state of an item.
enum class item_state
{
    completed,
    errored,
};

inline constexpr enum_table<item_state, 2> item_state_names = {{
    {item_state::completed, "completed"},
    {item_state::errored, "errored"},
}};

/// A result in the list of results: the item it belongs to, and the number of
/// records that hold its text.
struct listed_result
{
    std::int64_t item = 0;
    item_state state = item_state::completed;
    std::int64_t text_records = 0;

    bool operator==(const listed_result&) const = default;
};

/// Number of failed runs of an item over all nodes.
struct item_failures
{
    /// Responses that reported a failed run.
    std::int64_t failed = 0;
    /// Responses that reported that the item can never be completed.
    std::int64_t impossible = 0;

    bool operator==(const item_failures&) const = default;
};

/// A batch job as saved in the store. This record is the only source of truth
/// about a job and changes only in transactions that check its version.
struct job_record
{
    std::string id;
    std::string route;
    /// Name of the organisation that submitted the job; empty if it has none.
    std::string organisation;
    /// Node that runs the items, and the start of its process. This is only a
    /// hint: commits of a node that no longer owns the job fail.
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    /// Time of acceptance in milliseconds, by the clock of the store; zero if
    /// it is unknown.
    std::int64_t accepted_ms = 0;
    /// Number of records that hold the submission; zero if it is saved as an
    /// object.
    std::int64_t body_records = 0;
    /// Token count of each item, in the order of submission.
    std::vector<std::int64_t> tokens;
    /// Results, in the order in which they were committed.
    std::vector<listed_result> listed;
    std::map<std::int64_t, item_failures> failures;
    /// True after the caller cancelled the job.
    bool ended = false;
    /// Version of the record in the store.
    std::int64_t version = 0;

    bool operator==(const job_record&) const = default;
};

/// Encodes a job as JSON text, without its id and version.
std::string encode_job(const job_record& job);

/// Decodes a job. Error: invalid_input if the text is not a valid job record.
result<job_record>
decode_job(std::string_view id, std::string_view text, std::int64_t version);

/// Returns the time since a job was accepted. `store_now_ms` is the clock of
/// the store, if it is known. Designed for nodes that start while the store is
/// unavailable: an unknown time makes a job young, because an item that is
/// given up too early is lost, while one that is kept longer is only late.
duration
job_age(const job_record& job, std::optional<std::int64_t> store_now_ms);

/// Returns whether nodes need not remember a job, because it is finished and
/// older than `lifetime`, the time for which its results are read. Designed for
/// months of jobs whose records stay in the store.
bool may_forget(
    const job_record& job,
    std::optional<std::int64_t> store_now_ms,
    duration lifetime);

/// Returns whether the job has items left to run.
bool is_open(const job_record& job);

/// Returns whether an item has a result.
bool is_listed(const job_record& job, std::int64_t item);

/// Returns the items without a result, in the order of submission.
std::vector<std::int64_t> unlisted_items(const job_record& job);

/// Returns the sum of the tokens of all items without a result; zero for an
/// ended job.
std::int64_t waiting_tokens(const job_record& job);

} // namespace chicory::serving

#endif
