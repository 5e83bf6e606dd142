#ifndef CHICORY_SERVERS_NODE_TABLE_WATCH_HPP
#define CHICORY_SERVERS_NODE_TABLE_WATCH_HPP

#include "ports/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chicory::node
{

/// What a watch tells.
struct table_watch_hooks
{
    /// All records as of a version; called at start and after a gap.
    std::function<void(const std::vector<ports::record>&, std::int64_t)>
        on_snapshot;
    /// A record that was written or removed.
    std::function<void(const ports::record&)> on_change;
    /// The store stopped (false) or began (true) to answer.
    std::function<void(bool)> on_contact;
};

/// How long changes are gathered before the next call, so that many of them
/// come in one.
struct coalesce_delays
{
    /// While somebody waits for changes of the table, and else.
    duration awaited = duration::zero();
    duration idle = duration::zero();
};

/// Follows one table of the store: reads all of it, then waits for changes,
/// and reads all of it again when changes were forgotten meanwhile.
class table_watch
{
public:
    /// The store must outlive the watch.
    table_watch(
        boost::asio::io_context& io,
        ports::record_store& source,
        std::string name,
        table_watch_hooks wanted,
        std::uint64_t seed,
        coalesce_delays gather = {});

    void start();

    /// Says that somebody begins, or ceases, to wait for changes.
    void begin_wait();
    void end_wait();

    /// True when the store answered the last call, and a snapshot was read.
    bool is_current() const;

    /// True when changes up to about a second ago are known.
    bool is_fresh(time_point now) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<result<void>> read_all();
    boost::asio::awaitable<result<void>> follow();
    boost::asio::awaitable<void> gather();
    void set_contact(bool reached, const std::string& why);
    duration choose_pause();

    boost::asio::io_context& context;
    ports::record_store& store;
    std::string table;
    table_watch_hooks hooks;
    std::mt19937_64 generator;
    coalesce_delays gathering;
    boost::asio::steady_timer gather_timer;
    std::size_t waiting = 0;
    /// Time that went into gathering since the last call.
    duration gathered = duration::zero();
    bool complete = false;
    bool reached = true;
    time_point last_answer;
    std::int64_t version = 0;
    int failures = 0;
};

/// Tells a watch for its lifetime that somebody waits for changes.
class watch_wait
{
public:
    explicit watch_wait(table_watch& watched) : watch(watched)
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
