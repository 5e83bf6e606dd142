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

/// What a submission came to.
enum class submit_outcome
{
    accepted,
    /// More tokens would wait than the route allows; nothing was kept.
    over_limit,
    /// The store does not take it; nothing was kept and nothing will be.
    unavailable,
    /// It may have been kept.
    unknown,
};

/// A change of a job: the new record and further records to write with it.
struct job_change
{
    serving::job_record record;
    std::vector<ports::record_write> writes;
};

/// Jobs as the store keeps them, with a view of all of them that follows the
/// store, and the texts that this node has read or written.
class job_store
{
public:
    /// Returns the change to be made to a record, or nothing when none is.
    using change_function =
        std::function<std::optional<job_change>(const serving::job_record&)>;

    /// The stores must outlive the ledger. `record_bytes` is the largest
    /// value of a record.
    job_store(
        boost::asio::io_context& io,
        ports::record_store& record_store,
        ports::object_store& object_store,
        std::int64_t record_bytes,
        std::uint64_t seed);

    void start();

    /// Calls the hook after each change of the view.
    void set_change_hook(std::function<void()> hook);

    /// Keeps a job whose items have these tokens. One that is kept already is
    /// accepted again.
    boost::asio::awaitable<submit_outcome> submit(
        serving::job_record job,
        std::string body,
        std::int64_t most_waiting_tokens);

    /// Returns the job in the view, or null.
    const serving::job_record* find(const std::string& id) const;

    /// Returns the time since a job was accepted, by the store's clock.
    duration age_of(const serving::job_record& job) const;

    /// Returns whether the view holds what others were shown a second ago.
    bool is_fresh() const;

    /// Returns all jobs of the view.
    std::vector<const serving::job_record*> all() const;

    /// Reads a job's record from the store. Errors: not_found when there is
    /// certainly no such job; unavailable, timeout.
    boost::asio::awaitable<result<serving::job_record>> look_up(std::string id);

    /// Changes a job's record, again after each conflict, until the function
    /// wants no change. Returns the record then in force. Errors: not_found,
    /// unavailable, outcome_unknown.
    boost::asio::awaitable<result<serving::job_record>>
    change(std::string id, change_function wanted, duration limit);

    /// Returns the texts of results from a position on, at least one where
    /// one is listed and about `byte_limit` in all. Errors: unavailable,
    /// timeout.
    boost::asio::awaitable<result<std::vector<std::string>>>
    read_texts(std::string id, std::int64_t from, std::size_t byte_limit);

    /// Returns the items of a job in order. Errors: not_found, unavailable.
    boost::asio::awaitable<result<std::vector<platform::job_item>>>
    read_items(std::string id);

    /// Pieces of the texts of a job's items, by item in the order of events.
    using pieces_by_item =
        std::map<std::int64_t, std::vector<serving::item_piece>>;

    /// Reads the pieces that were saved of the items of a job. Errors:
    /// not_found, unavailable, timeout.
    boost::asio::awaitable<result<pieces_by_item>> read_pieces(std::string id);

    /// Saves pieces, unless the job has changed since the view heard of it.
    /// Errors: not_found; conflict when it has changed; those of
    /// `record_store::transact`.
    boost::asio::awaitable<result<void>>
    save_pieces(std::string id, std::vector<ports::record_write> pieces);

    /// Makes the records that hold the text of a result.
    std::vector<ports::record_write> make_text_writes(
        const std::string& id,
        std::int64_t position,
        std::string_view text) const;

    /// Keeps the text of a result for reads on this node.
    void
    keep_text(const std::string& id, std::int64_t position, std::string text);

    /// Waits until the job has more results than `count`, or the time is
    /// over.
    boost::asio::awaitable<void>
    wait_for_results(std::string id, std::size_t count, time_point until);

private:
    void notify(const std::string& id);
    void tell_change();
    boost::asio::awaitable<result<std::optional<ports::record>>>
    read_one(std::string partition, std::string table, std::string key);
    boost::asio::awaitable<result<void>>
    catch_up(std::string partition, std::int64_t version);
    boost::asio::awaitable<result<std::string>> find_partition(std::string id);
    boost::asio::awaitable<result<std::string>> read_body(std::string id);
    /// Reads the texts from a position on into the cache.
    boost::asio::awaitable<result<void>> load_texts(
        const serving::job_record& job,
        std::string partition,
        std::size_t position);

    boost::asio::io_context& context;
    ports::record_store& records;
    ports::object_store& objects;
    std::size_t value_bytes;
    job_view view;
    table_watch watch;
    std::function<void()> on_change;
    text_cache texts;
    std::map<std::string, std::set<boost::asio::steady_timer*>> waiters;
};

} // namespace chicory::node

#endif
