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

/// Bounds of the buffer of finished chunks.
struct commit_settings
{
    /// Beyond this no further chunk is leased and no item is sent.
    std::size_t max_bytes = 64UL * 1024UL * 1024UL;
    /// Chunks that one transaction commits at most.
    std::size_t group = 8;
    duration first_wait = std::chrono::milliseconds(200);
    duration max_wait = std::chrono::seconds(5);
};

/// A chunk that is ready to be committed.
struct finished_chunk
{
    commit_request request;
    std::string results;
};

/// Stores a chunk's results as an object.
struct store_results
{
    std::uint64_t id = 0;
    std::string name;
    std::string bytes;
};

/// Runs a transaction that commits the chunks with these ids.
struct commit_chunks
{
    std::vector<std::uint64_t> ids;
    write_plan plan;
};

/// Reads a chunk's row, to learn what came of a write whose answer was lost.
struct read_back
{
    std::uint64_t id = 0;
    std::string key;
};

using commit_action = std::variant<store_results, commit_chunks, read_back>;

/// What came of a write.
enum class write_outcome
{
    done,
    /// It certainly had no effect and may be tried again.
    no_effect,
    /// The answer was lost.
    unknown,
};

/// What came of a chunk.
enum class chunk_outcome
{
    committed,
    lease_lost,
    job_over,
};

/// A chunk that left the queue.
struct resolved_chunk
{
    std::string job;
    std::string name;
    chunk_outcome outcome = chunk_outcome::committed;
};

/// Holds finished chunks until they are committed, however long the table
/// service or the object store is away: results first, as an object named by
/// job, chunk and token, then one transaction that checks the chunk's and the
/// job's rows. One action is in progress at a time.
class commit_queue
{
public:
    commit_queue(commit_settings settings, std::uint64_t seed);

    /// Takes a finished chunk.
    void push(finished_chunk chunk);

    /// Returns the next action, or nothing while one is in progress, while a
    /// wait lasts or when nothing is left.
    std::optional<commit_action> next(time_point now);

    /// Takes what came of the action in progress.
    void on_stored(std::uint64_t id, write_outcome fate, time_point now);
    void on_transaction(
        const std::vector<std::uint64_t>& ids,
        write_outcome fate,
        const std::vector<found_row>& conflicts,
        time_point now);
    void on_read(
        std::uint64_t id, const std::optional<found_row>& row, time_point now);

    /// Returns the chunks that were settled since the last call.
    std::vector<resolved_chunk> take_resolved();

    /// True when a chunk waits here; it must not be leased again.
    bool holds(std::string_view job, std::string_view name) const;

    /// Returns the number of chunks held.
    std::size_t size() const;

    std::size_t held_bytes() const;

    /// True when the buffer holds as much as it may.
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
        stage at = stage::finished;
    };

    entry* find(std::uint64_t id);
    void settle(std::uint64_t id, chunk_outcome fate);
    void judge(entry& item, const found_row& chunk_row);
    commit_action plan_group();
    void back_off(time_point now);
    void go_on();

    commit_settings settings;
    std::list<entry> entries;
    std::vector<resolved_chunk> settled;
    std::size_t bytes = 0;
    std::uint64_t last_id = 0;
    bool busy = false;
    std::uint64_t failures = 0;
    time_point not_before;
    std::mt19937_64 generator;
};

} // namespace chicory::batch

#endif
