#ifndef CHICORY_POLICY_BATCH_COMMIT_QUEUE_HPP
#define CHICORY_POLICY_BATCH_COMMIT_QUEUE_HPP

#include "core/core.hpp"
#include "policy/batch/write_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory::batch
{

/// Limits of the buffer of finished chunks, and delays after failed writes.
struct commit_settings
{
    /// At this number of bytes of results, no further chunk is leased and no
    /// item is sent.
    std::size_t max_bytes = 64UL * 1024UL * 1024UL;
    /// Maximum number of chunks that one transaction commits.
    std::size_t max_chunks_per_transaction = 8;
    duration first_wait = std::chrono::milliseconds(200);
    duration max_wait = std::chrono::seconds(5);
};

/// A chunk that is ready to be committed.
struct finished_chunk
{
    commit_request request;
    std::string results;
};

/// Action: stores the results of a chunk as an object.
struct store_results
{
    std::uint64_t id = 0;
    std::string name;
    std::string bytes;
};

/// Action: runs a transaction that commits the chunks with these identifiers.
struct commit_chunks
{
    std::vector<std::uint64_t> ids;
    write_plan plan;
};

/// Action: reads the row of a chunk, to determine the outcome of a write whose
/// response was dropped.
struct read_back
{
    std::uint64_t id = 0;
    std::string key;
};

using commit_action = std::variant<store_results, commit_chunks, read_back>;

/// Outcome of a write.
enum class write_outcome
{
    done,
    /// The write certainly had no effect and may be retried.
    no_effect,
    /// The response was dropped; the write may have taken effect.
    unknown,
};

/// Outcome of a finished chunk.
enum class chunk_outcome
{
    committed,
    lease_lost,
    job_over,
};

/// A chunk that was removed from the queue, with its outcome.
struct resolved_chunk
{
    std::string job;
    std::string name;
    chunk_outcome outcome = chunk_outcome::committed;
};

/// Holds finished chunks until they are committed, during outages of the table
/// service or the object store of any length. The results of a chunk are stored
/// first, as an object named by job, chunk and fencing token. A transaction
/// that checks the rows of the chunk and of the job then commits it. One action
/// is in progress at a time.
class commit_queue
{
public:
    commit_queue(commit_settings settings, std::uint64_t seed);

    /// Adds a finished chunk.
    void push(finished_chunk chunk);

    /// Returns the next action. Empty while an action is in progress, during a
    /// delay after a failure, or when no chunk is held.
    std::optional<commit_action> next(time_point now);

    /// Records the outcome of the action in progress. `conflicts` are the rows
    /// that did not meet the conditions of a transaction. `row` is empty when
    /// the row could not be read.
    void on_stored(std::uint64_t id, write_outcome outcome, time_point now);
    void on_transaction(
        const std::vector<std::uint64_t>& ids,
        write_outcome outcome,
        const std::vector<found_row>& conflicts,
        time_point now);
    void on_read(
        std::uint64_t id, const std::optional<found_row>& row, time_point now);

    /// Returns and removes the chunks resolved since the last call.
    std::vector<resolved_chunk> take_resolved();

    /// Returns true when the queue holds the chunk. Such a chunk must not be
    /// leased again.
    bool holds(std::string_view job, std::string_view name) const;

    /// Returns the number of chunks held.
    std::size_t size() const;

    /// Returns the number of bytes of results held.
    std::size_t held_bytes() const;

    /// Returns true when the limit of bytes held is reached.
    bool is_full() const;

private:
    enum class stage
    {
        finished,
        stored,
        uncertain,
    };
    struct entry
    {
        std::uint64_t id = 0;
        finished_chunk chunk;
        stage current_stage = stage::finished;
    };

    entry* find(std::uint64_t id);
    void resolve(std::uint64_t id, chunk_outcome outcome);
    void resolve_by_row(entry& item, const found_row& chunk_row);
    commit_action plan_group();
    void back_off(time_point now);
    void reset_backoff();

    commit_settings settings;
    std::list<entry> entries;
    std::vector<resolved_chunk> resolved;
    std::size_t bytes = 0;
    std::uint64_t last_id = 0;
    bool action_in_progress = false;
    std::uint64_t failures = 0;
    time_point not_before;
    std::mt19937_64 generator;
};

} // namespace chicory::batch

#endif
