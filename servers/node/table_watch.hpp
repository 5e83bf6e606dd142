#ifndef CHICORY_SERVERS_NODE_TABLE_WATCH_HPP
#define CHICORY_SERVERS_NODE_TABLE_WATCH_HPP

#include "ports/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chicory::node
{

/// Callbacks of a watch.
struct table_watch_hooks
{
    /// Called with all records as of a version, at the start and after a gap in
    /// the changes.
    std::function<void(const std::vector<ports::record>&, std::int64_t)>
        on_snapshot;
    /// Called with a record that was written or removed.
    std::function<void(const ports::record&)> on_change;
    /// Called when the store becomes reachable (true) or unreachable (false).
    std::function<void(bool)> on_reachability_changed;
    /// Returns whether a record of a snapshot is needed. The others are dropped
    /// page by page, so that a snapshot takes no more memory than what is
    /// needed of it. An empty function means that all are needed.
    std::function<bool(const ports::record&)> is_needed = {};
    /// Called after all records or changes of a response were reported, unless
    /// the store has more of them, with the time at which the call was sent.
    /// The watch then knows every change that was confirmed before that time.
    /// The time of the response shows less, because a response may be late. May
    /// be empty.
    std::function<void(boot_time_point)> on_confirmed = {};
};

/// Delays before the next call for changes, so that one call returns many of
/// them.
struct coalesce_delays
{
    /// `awaited` applies while a caller waits for changes of the table, `idle`
    /// otherwise.
    duration awaited = duration::zero();
    duration idle = duration::zero();
};

/// Longest wait of one call for changes, which is the time after which a
/// connection to the store that became silent is noticed.
inline constexpr duration default_follow_wait = std::chrono::seconds(1);

/// Follows one table of the store. Reads the whole table, then waits for
/// changes. Reads the whole table again when the store no longer has all
/// changes since the last call.
class table_watch
{
public:
    /// The store must outlive the watch.
    table_watch(
        boost::asio::io_context& io,
        ports::record_store& source,
        std::string name,
        table_watch_hooks initial_hooks,
        std::uint64_t seed,
        coalesce_delays initial_delays = {},
        duration initial_follow_wait = default_follow_wait);

    void start();

    /// Registers and unregisters a caller that waits for changes.
    void begin_wait();
    void end_wait();

    /// Returns whether a snapshot was read and the store responded to the last
    /// call.
    bool is_current() const;

    /// Returns whether all changes up to about a second ago are known.
    bool is_fresh(time_point now) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<result<void>> read_snapshot();
    boost::asio::awaitable<result<void>> follow();
    boost::asio::awaitable<void> coalesce();
    void report_confirmed(boot_time_point sent) const;
    void set_reachable(bool now_reachable, const std::string& why);
    duration choose_retry_pause();

    boost::asio::io_context& context;
    ports::record_store& store;
    std::string table;
    table_watch_hooks hooks;
    std::mt19937_64 generator;
    coalesce_delays delays;
    duration follow_wait;
    boost::asio::steady_timer coalesce_timer;
    std::size_t waiter_count = 0;
    /// Time spent on coalescing changes since the last call.
    duration coalesced_time = duration::zero();
    bool has_snapshot = false;
    bool reachable = true;
    time_point last_response;
    std::int64_t version = 0;
    int failures = 0;
};

/// Registers a waiting caller at a watch during its own lifetime.
class watch_wait
{
public:
    explicit watch_wait(table_watch& initial_watch) : watch(initial_watch)
    {
        this->watch.begin_wait();
    }

    ~watch_wait()
    {
        this->watch.end_wait();
    }

    watch_wait(const watch_wait&) = delete;
    watch_wait& operator=(const watch_wait&) = delete;

private:
    table_watch& watch;
};

} // namespace chicory::node

#endif
