#ifndef CHICORY_POLICY_SERVING_JOB_RECORD_HPP
#define CHICORY_POLICY_SERVING_JOB_RECORD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::serving
{

/// How an item ended.
enum class item_state
{
    completed,
    errored,
};

inline constexpr enum_table<item_state, 2> item_state_names = {{
    {item_state::completed, "completed"},
    {item_state::errored, "errored"},
}};

/// A result at its position: which item it belongs to, and in how many
/// records its text lies.
struct listed_result
{
    std::int64_t item = 0;
    item_state state = item_state::completed;
    std::int64_t text_records = 0;

    bool operator==(const listed_result&) const = default;
};

/// Failed runs of an item, counted over all nodes.
struct item_failures
{
    /// Answers that the run failed.
    std::int64_t failed = 0;
    /// Answers that the item can never be done.
    std::int64_t impossible = 0;

    bool operator==(const item_failures&) const = default;
};

/// A batch job as the store keeps it. Everything that was promised about a
/// job rests on this record: it changes only in transactions on its version.
struct job_record
{
    std::string id;
    std::string route;
    /// Node that runs the items, and the start of its process. Only a hint
    /// about who works: results of a node that lost the job fail to commit.
    std::string owner;
    std::uint64_t owner_incarnation = 0;
    /// Store's clock at the acceptance, in milliseconds.
    std::int64_t accepted_ms = 0;
    /// Records that hold the submission; zero when an object holds it.
    std::int64_t body_records = 0;
    /// Tokens of each item, in the order of submission.
    std::vector<std::int64_t> tokens;
    /// Results by position.
    std::vector<listed_result> listed;
    std::map<std::int64_t, item_failures> failures;
    /// True after the caller ended the job.
    bool ended = false;
    /// Version of the record in the store.
    std::int64_t version = 0;

    bool operator==(const job_record&) const = default;
};

/// Encodes a job without its id and version.
std::string encode_job(const job_record& job);

/// Decodes a job. Error: invalid_input for a text that is no job.
result<job_record>
decode_job(std::string_view id, std::string_view text, std::int64_t version);

/// Returns whether items of the job are still to be run.
bool is_open(const job_record& job);

/// Returns whether an item has a result.
bool is_listed(const job_record& job, std::int64_t item);

/// Returns the items without a result, in order.
std::vector<std::int64_t> unlisted_items(const job_record& job);

/// Returns the tokens of the items that wait, zero for an ended job.
std::int64_t waiting_tokens(const job_record& job);

} // namespace chicory::serving

#endif
