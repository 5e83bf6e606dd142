#ifndef CHICORY_SERVERS_NODE_JOB_STORE_HPP
#define CHICORY_SERVERS_NODE_JOB_STORE_HPP

#include "platform/platform.hpp"
#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"
#include "servers/node/job_records.hpp"
#include "servers/node/job_view.hpp"
#include "servers/node/table_watch.hpp"
#include "servers/node/text_cache.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::node
{

/// Outcome of a submission.
enum class submit_outcome
{
    accepted,
    /// The waiting tokens would exceed the route's limit; nothing was stored.
    over_limit,
    /// The store is unavailable; nothing was stored and nothing will be.
    unavailable,
    /// The job may or may not have been stored.
    unknown,
    /// A job of another organisation has the id; nothing was stored.
    id_in_use,
};

/// A change of a job: its new record, and further records to write in the same
/// transaction.
struct job_change
{
    serving::job_record record;
    std::vector<ports::record_write> writes;
};

/// Reads and writes the jobs in the store. Maintains a view of all jobs that
/// follows the store, and a cache of the result texts that this node has read
/// or written.
class job_store
{
public:
    /// Returns the change to make to a record, or nothing when no change is
    /// needed.
    using change_function =
        std::function<std::optional<job_change>(const serving::job_record&)>;

    /// The stores must outlive this object. `record_bytes` is the maximum size
    /// of a record's value in bytes. A finished job that is older than
    /// `initial_result_lifetime` stays in the store only.
    job_store(
        boost::asio::io_context& io,
        ports::record_store& record_store,
        ports::object_store& object_store,
        std::int64_t record_bytes,
        duration initial_result_lifetime,
        std::uint64_t seed);

    void start();

    /// Sets the callback that runs after each change of the view.
    void set_change_hook(std::function<void()> hook);

    /// Limit of the tokens that wait on a route.
    struct token_limit
    {
        /// Zero means no limit.
        std::int64_t max_tokens = 0;
        /// True if the limit applies to the jobs of each organisation, false if
        /// it applies to all jobs of the route.
        bool per_organisation = false;
    };

    /// Stores a job. A job that the same organisation has stored already is
    /// accepted again.
    boost::asio::awaitable<submit_outcome>
    submit(serving::job_record job, std::string body, token_limit limit);

    /// Returns the job in the view, or null.
    const serving::job_record* find(const std::string& id) const;

    /// Returns the time since a job was accepted, by the store's clock.
    duration age_of(const serving::job_record& job) const;

    /// Returns whether the view contains every change that another node could
    /// have shown to a caller a second ago.
    bool is_fresh() const;

    /// Returns all jobs of the view.
    std::vector<const serving::job_record*> all() const;

    /// Reads a job's record from the store. Errors: not_found when the job
    /// certainly does not exist; unavailable, timeout.
    boost::asio::awaitable<result<serving::job_record>> look_up(std::string id);

    /// Changes a job's record. Retries after each conflict until the change is
    /// committed or the function returns no change. Returns the record as it
    /// then is. Errors: not_found, unavailable, outcome_unknown.
    boost::asio::awaitable<result<serving::job_record>>
    change(std::string id, change_function make_change, duration limit);

    /// Returns the texts of results from a position on: at least one when a
    /// result is listed there, and about `byte_limit` bytes in all. Errors:
    /// unavailable, timeout.
    boost::asio::awaitable<result<std::vector<std::string>>>
    read_texts(std::string id, std::int64_t from, std::size_t byte_limit);

    /// Returns the items of a job in order. Errors: not_found, unavailable.
    boost::asio::awaitable<result<std::vector<platform::job_item>>>
    read_items(std::string id);

    /// Saved pieces of item texts, by item number; the pieces of an item are in
    /// the order of its events.
    using pieces_by_item =
        std::map<std::int64_t, std::vector<serving::item_piece>>;

    /// Reads the saved pieces of a job's items. Errors: not_found, unavailable,
    /// timeout.
    boost::asio::awaitable<result<pieces_by_item>> read_pieces(std::string id);

    /// Saves pieces if the job's record in the store still has the version in
    /// the view. Errors: not_found; conflict when the record has changed; the
    /// errors of `record_store::transact`.
    boost::asio::awaitable<result<void>>
    save_pieces(std::string id, std::vector<ports::record_write> pieces);

    /// Makes the records that hold the text of a result.
    std::vector<ports::record_write> make_text_writes(
        const std::string& id,
        std::int64_t position,
        std::string_view text) const;

    /// Caches the text of a result for reads on this node.
    void
    cache_text(const std::string& id, std::int64_t position, std::string text);

    /// Waits until the job has more results than `count`, or until the
    /// deadline.
    boost::asio::awaitable<void>
    wait_for_results(std::string id, std::size_t count, time_point until);

private:
    /// Returns the outcome of the submission of a job whose id is known;
    /// nothing if it is not known.
    std::optional<submit_outcome>
    find_submitted(const serving::job_record& job) const;
    void notify(const std::string& id);
    void notify_change();
    bool may_forget(const serving::job_record& job) const;
    /// Removes old finished jobs from the view, once in a while.
    void forget_old_jobs(time_point now);
    /// Returns a job of the view, or reads it from the store. Errors: not_found
    /// when the job certainly does not exist; unavailable, timeout.
    boost::asio::awaitable<result<known_job>> find_or_look_up(std::string id);
    /// Waits until the store's clock is known. Error: unavailable when it is
    /// still unknown at `until`.
    boost::asio::awaitable<result<std::int64_t>>
    wait_for_clock(std::string partition, std::string id, time_point until);
    boost::asio::awaitable<void>
    read_clock(std::string partition, std::string id);
    boost::asio::awaitable<result<std::optional<ports::record>>>
    read_record(std::string partition, std::string table, std::string key);
    boost::asio::awaitable<result<void>>
    wait_for_version(std::string partition, std::int64_t version);
    boost::asio::awaitable<result<std::string>> find_partition(std::string id);
    boost::asio::awaitable<result<std::string>> read_body(std::string id);
    /// Reads the texts from a position on, as many as one call returns, and
    /// caches them. Returns them, because the cache may have evicted them
    /// already. Errors: unavailable, timeout.
    boost::asio::awaitable<result<std::vector<std::string>>> load_texts(
        const serving::job_record& job,
        std::string partition,
        std::size_t position);

    boost::asio::io_context& context;
    ports::record_store& records;
    ports::object_store& objects;
    std::size_t value_bytes;
    duration result_lifetime;
    time_point next_forget;
    job_view view;
    table_watch watch;
    std::function<void()> on_change;
    /// True while a read that obtains the store's clock is in progress.
    bool is_reading_clock = false;
    text_cache texts;
    std::map<std::string, std::set<boost::asio::steady_timer*>> waiters;
};

} // namespace chicory::node

#endif
