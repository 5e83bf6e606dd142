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

/// Limits and delays of the attempts at items.
struct run_settings
{
    /// Number of failed attempts after which an item ends as failed.
    std::uint64_t max_failures = 4;
    /// Number of refusals without a run after which an item ends as failed.
    std::uint64_t max_refusals = 1000;
    /// Delay after the first failed attempt. It doubles with each further one.
    duration first_wait = std::chrono::seconds(1);
    duration max_wait = std::chrono::seconds(30);
    /// Delay after the first refusal without a run. It doubles with each
    /// further one.
    duration refusal_wait = std::chrono::milliseconds(50);
    duration max_refusal_wait = std::chrono::seconds(5);
    /// One write marks the number of items of the chunk divided by
    /// `mark_divisor` as started, within the limits below. If the process
    /// fails, marked items that were not sent also end as `outcome_unknown`.
    std::size_t mark_divisor = 3;
    std::size_t min_mark_group = 4;
    std::size_t max_mark_group = 128;
};

/// One attempt at an item.
struct item_attempt
{
    /// Position of the item in the source of the chunk.
    std::uint64_t position = 0;
    /// Number of the attempt. Responses to other attempts are ignored.
    std::uint32_t attempt = 0;
    /// Valid during the lifetime of the chunk_run.
    const item_request* request = nullptr;
};

/// Data to commit after a run.
struct run_outcome
{
    /// Row of the chunk after the commit, without the name of the results
    /// object.
    chunk_record committed;
    /// Row of the chunk of the items that were split off, if any.
    std::optional<chunk_record> stragglers;
    /// Results of the final items, one line each, ordered by position.
    std::string results;
};

/// Manages the attempts at the items of one chunk that this process holds. Each
/// item gets exactly one final result, or is split off, or is abandoned.
class chunk_run
{
public:
    /// Starts a run from the row of the chunk as it was leased. `items` are the
    /// items of the record, in the order of its members. Items that an earlier
    /// holder marked as started end immediately as `outcome_unknown`. `seed`
    /// seeds the jitter of the delays.
    chunk_run(
        const item_lifecycle& lifecycle,
        run_settings settings,
        chunk_record record,
        const std::vector<std::pair<std::uint64_t, item_request>>& items,
        std::uint64_t seed);

    /// Returns the record as it was leased, including the marks written since.
    const chunk_record& record() const;

    /// Returns the positions of the items to mark as started before `slots`
    /// further items can be sent. Empty when enough items are marked or need no
    /// mark.
    std::vector<std::uint64_t>
    find_items_to_mark(std::size_t slots, time_point now) const;

    /// Records that the items at `positions` were marked and that the row
    /// `written` was stored.
    void on_marked(
        const std::vector<std::uint64_t>& positions, chunk_record written);

    /// Starts up to `slots` attempts. Items with equal prompt prefixes are sent
    /// consecutively.
    std::vector<item_attempt> start_attempts(std::size_t slots, time_point now);

    /// Handles a complete response with an HTTP status.
    void on_response(
        std::uint64_t position,
        std::uint32_t attempt,
        std::int64_t status,
        std::string body,
        time_point now);

    /// Handles a refusal that certainly did not run. It does not count as an
    /// attempt.
    void on_not_run(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason,
        time_point now);

    /// Handles an attempt that was cancelled to free a slot for online
    /// requests. It does not count as a failed attempt. An item that must not
    /// be repeated ends as `outcome_unknown`.
    void
    on_preempted(std::uint64_t position, std::uint32_t attempt, time_point now);

    /// Handles an attempt that was interrupted or ended in an error, and that
    /// may have run.
    void on_attempt_failed(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason,
        time_point now);

    /// Handles the quarantine of the item for crashing backend servers; the
    /// item ends as failed.
    void on_quarantined(
        std::uint64_t position,
        std::uint32_t attempt,
        const std::string& reason);

    /// Returns the number of items that can be sent now, without those that
    /// wait for their mark.
    std::size_t ready(time_point now) const;

    /// Returns the number of items that can still be sent, now or later.
    std::size_t unsent() const;

    /// Returns the number of attempts in progress.
    std::size_t running() const;

    /// Returns the number of bytes in the bodies of the results.
    std::size_t held_bytes() const;

    /// Returns the position and number of each attempt in progress, for
    /// cancelling them.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> list_running() const;

    /// Returns the positions of the items that were sent and must not be
    /// repeated.
    std::vector<std::uint64_t> list_sent_non_repeatable() const;

    /// Stops starting attempts. Items that are not in progress can then be
    /// split off.
    void close_early();

    /// Returns true when all items are final or can be split off.
    bool is_complete() const;

    /// Ends the run and returns the data to commit. The run must be complete.
    run_outcome finish(std::string operation);

    /// Ends the run without results. All items that are neither final nor split
    /// off are abandoned.
    void abandon();

private:
    struct entry
    {
        item_request request;
        item_state state = item_state::waiting;
        bool marked = false;
        std::uint32_t attempt = 0;
        /// Number of attempts that may have run: they ended in a response, a
        /// failure or an unknown outcome.
        std::uint64_t runs = 0;
        std::uint64_t failures = 0;
        std::uint64_t refusals = 0;
        time_point not_before;
        item_record record;
    };

    entry* find_running(std::uint64_t position, std::uint32_t attempt);
    void apply_event(std::uint64_t position, entry& item, item_event event);
    void start_attempt(std::uint64_t position, entry& item);
    void end_failed(
        std::uint64_t position,
        entry& item,
        std::int64_t status,
        const std::string& reason);
    void
    end_unknown(std::uint64_t position, entry& item, const std::string& reason);
    void delay_item(
        std::uint64_t position, entry& item, duration length, time_point now);
    void enqueue(std::uint64_t position, const entry& item);
    duration add_jitter(duration length);
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
    /// Items that may be sent once they are marked and their delay has passed.
    send_order waiting;
    std::size_t in_progress = 0;
    bool closed_early = false;
    std::size_t result_bytes = 0;
    std::mt19937_64 generator;
};

} // namespace chicory::batch

#endif
