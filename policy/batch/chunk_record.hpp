#ifndef CHICORY_POLICY_BATCH_CHUNK_RECORD_HPP
#define CHICORY_POLICY_BATCH_CHUNK_RECORD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::batch
{

/// State of a chunk. Its transitions are defined in charts/chunk.toml. A chunk
/// without a row is waiting.
enum class chunk_state
{
    waiting,
    leased,
    committed,
};

inline constexpr enum_table<chunk_state, 3> chunk_state_names = {{
    {chunk_state::waiting, "waiting"},
    {chunk_state::leased, "leased"},
    {chunk_state::committed, "committed"},
}};

/// Event that changes the state of a chunk.
enum class chunk_event
{
    lease,
    take_over,
    mark,
    release,
    commit,
};

inline constexpr enum_table<chunk_event, 5> chunk_event_names = {{
    {chunk_event::lease, "lease"},
    {chunk_event::take_over, "take_over"},
    {chunk_event::mark, "mark"},
    {chunk_event::release, "release"},
    {chunk_event::commit, "commit"},
}};

/// Row of a chunk. The version of the row is the fencing token: a write by
/// another process makes the next write of the holder fail.
struct chunk_record
{
    std::string job;
    /// "00000012" for a chunk of the manifest; "00000012.s" for the stragglers
    /// that were split off from it.
    std::string name;
    /// Name of the object that holds the lines.
    std::string source;
    std::uint64_t first = 0;
    std::uint64_t items = 0;
    /// Positions in the source of the items to process; empty for all items.
    std::vector<std::uint64_t> members;
    /// Number of failed attempts at each of the members.
    std::vector<std::uint64_t> attempts;
    chunk_state state = chunk_state::waiting;
    /// Process that holds the lease.
    std::string holder;
    /// Number of times that the chunk was leased.
    std::uint64_t generation = 0;
    /// Positions of items that may have been sent and must not be repeated.
    std::vector<std::uint64_t> started;
    /// Name of the object that holds the results of a committed chunk.
    std::string results;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t outcome_unknown = 0;
    /// Identifies the last write of the row.
    std::string operation_id;

    bool operator==(const chunk_record&) const = default;

    /// Returns true for a chunk that was split off from another one.
    bool is_straggler() const;

    /// Returns a copy that is leased by another process. Started items stay
    /// started.
    chunk_record leased_by(std::string process, std::string operation) const;

    /// Returns a copy without a holder. Only the items in `sent` stay started;
    /// items that were marked but not sent lose their mark.
    chunk_record
    released(std::vector<std::uint64_t> sent, std::string operation) const;

    /// Returns a copy in which the items at `positions` are started as well.
    chunk_record marked(
        const std::vector<std::uint64_t>& positions,
        std::string operation) const;

    /// Returns the record of a new chunk for the items at `positions`, which
    /// are split off from this chunk.
    chunk_record split(
        std::vector<std::uint64_t> positions,
        std::vector<std::uint64_t> failed_attempts,
        std::string operation) const;
};

/// Returns the JSON value of the row of a record.
std::string encode(const chunk_record& record);

/// Decodes the value of a row. Error: internal, naming the expected field.
result<chunk_record> decode_chunk(std::string_view value);

/// Returns the name of the chunk of a manifest with the given number.
std::string chunk_name(std::uint64_t number);

/// Returns the prefix of the keys of the rows of the chunks of a job.
std::string chunk_row_prefix(std::string_view job);

/// Returns the key of the row of a chunk.
std::string chunk_row_key(std::string_view job, std::string_view name);

/// Returns the name of the object that holds the lines of a chunk.
std::string items_name(std::string_view job, std::string_view name);

/// Returns the name of the object that holds the results of a chunk, committed
/// under the fencing token `token`.
std::string
results_name(std::string_view job, std::string_view name, std::int64_t token);

} // namespace chicory::batch

#endif
