#ifndef CHICORY_POLICY_BATCH_CHUNK_RUN_HPP
#define CHICORY_POLICY_BATCH_CHUNK_RUN_HPP

#include "core/core.hpp"
#include "policy/batch/chunk_record.hpp"
#include "policy/batch/item_record.hpp"
#include "policy/batch/lifecycle.hpp"
#include "policy/batch/send_order.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace chicory::batch
{

/// Bounds of the attempts at items.
struct run_settings
{
    /// Failed attempts after which an item ends as failed.
    std::uint64_t max_failures = 4;
    /// Refusals without a run after which an item ends as failed.
    std::uint64_t max_refusals = 1000;
    /// Wait after the first failure; it doubles with each further one.
    duration first_wait = std::chrono::seconds(1);
    duration max_wait = std::chrono::seconds(30);
    /// Wait after the first refusal without a run; it doubles as well.
    duration refusal_wait = std::chrono::milliseconds(50);
    duration max_refusal_wait = std::chrono::seconds(5);
    /// One write marks one part in so many of the chunk's items as started,
    /// within these bounds. Marked items that were never sent end as unknown
    /// too when the process is lost.
    std::size_t mark_divisor = 3;
    std::size_t min_mark_group = 4;
    std::size_t max_mark_group = 128;
};

/// An attempt to send.
struct item_attempt
{
    /// Position in the chunk's source.
    std::uint64_t position = 0;
    /// Number of the attempt; answers to other numbers are dropped.
    std::uint32_t attempt = 0;
    /// Valid as long as the run.
    const item_request* request = nullptr;
};

/// What a run hands over to be committed.
struct run_outcome
{
    /// The chunk's row after the commit, without the name of the results.
    chunk_record committed;
    /// Row for the items split off, if there are any.
    std::optional<chunk_record> stragglers;
    /// Results of the final items, one line each in the order of positions.
    std::string results;
};

/// Decides about the items of one chunk that this process holds. Each item
/// gets one final result here, or is split off, or is abandoned.
class chunk_run
{
public:
    /// Takes a chunk over as its row was when leased. `items` are those of the
    /// record, in the order of its members. Items that an earlier holder
    /// marked as started end as `outcome_unknown` at once.
    chunk_run(
        const item_lifecycle& lifecycle,
        run_settings settings,
        chunk_record record,
        const std::vector<std::pair<std::uint64_t, item_request>>& items,
        std::uint64_t seed);

    /// Returns the record as it was leased, with the marks written since.
    const chunk_record& record() const;

    /// Returns the items to mark as started before `slots` further ones can be
    /// sent; none when enough are marked or need no mark.
    std::vector<std::uint64_t>
    find_items_to_mark(std::size_t slots, time_point now) const;

    /// Takes a committed mark with the row that was written.
    void on_marked(
        const std::vector<std::uint64_t>& positions, chunk_record written);

    /// Starts up to `slots` attempts, those with equal prompt prefixes next to
    /// one another.
    std::vector<item_attempt> start_attempts(std::size_t slots, time_point now);

    /// Takes a whole answer.
    void on_response(
        std::uint64_t position,
        std::uint32_t attempt,
        std::int64_t status,
        std::string body,
        time_point now);

    /// Takes a refusal that certainly did not run; it costs no attempt.
    void on_not_run(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason,
        time_point now);

    /// Takes that the attempt was cancelled to make room for online requests;
    /// it costs no attempt.
    void
    on_preempted(std::uint64_t position, std::uint32_t attempt, time_point now);

    /// Takes an attempt that broke off or ended in an error, and may have run.
    void on_attempt_failed(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason,
        time_point now);

    /// Takes that the item is in quarantine for crashing backend servers.
    void on_quarantined(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason);

    /// Returns the number of items that could be sent now; those that wait for
    /// their mark are left out.
    std::size_t ready(time_point now) const;

    /// Returns the number of items that have yet to be sent, now or later.
    std::size_t unsent() const;

    /// Returns the number of attempts in progress.
    std::size_t running() const;

    /// Returns the bytes of results held.
    std::size_t held_bytes() const;

    /// Returns the attempts in progress, for cancelling them.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> list_running() const;

    /// Returns the items that were sent and may not be repeated.
    std::vector<std::uint64_t> list_sent_once() const;

    /// Starts no further attempts; what is not in progress can be split off.
    void close_early();

    /// True when all items are final or can be split off.
    bool is_complete() const;

    /// Ends the run. The run must be complete.
    run_outcome finish(std::string operation);

    /// Ends the run without results.
    void abandon();

private:
    struct entry
    {
        item_request request;
        item_state state = item_state::waiting;
        bool marked = false;
        std::uint32_t attempt = 0;
        /// Attempts that ended in an answer, a failure or unknown.
        std::uint64_t runs = 0;
        std::uint64_t failures = 0;
        std::uint64_t refusals = 0;
        time_point not_before;
        item_record record;
    };

    entry* find_running(std::uint64_t position, std::uint32_t attempt);
    void move(std::uint64_t position, entry& item, item_event event);
    void start(std::uint64_t position, entry& item);
    void fail(
        std::uint64_t position,
        entry& item,
        std::int64_t status,
        const std::string& reason);
    void
    end_unknown(std::uint64_t position, entry& item, const std::string& reason);
    void
    wait(std::uint64_t position, entry& item, duration length, time_point now);
    void enqueue(std::uint64_t position, const entry& item);
    duration spread(duration length);
    void set_result(
        entry& item,
        item_state state,
        std::int64_t status,
        std::string body,
        std::string reason);
    bool may_split(const entry& item) const;

    const item_lifecycle& lifecycle;
    run_settings settings;
    chunk_record row;
    std::map<std::uint64_t, entry> items;
    /// Items that may be sent once they are marked and their wait is over.
    send_order waiting;
    std::size_t in_progress = 0;
    bool closed_early = false;
    std::size_t result_bytes = 0;
    std::mt19937_64 generator;
};

} // namespace chicory::batch

#endif
