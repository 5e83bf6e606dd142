#ifndef CHICORY_SERVERS_BATCH_CHUNK_HOLDER_HPP
#define CHICORY_SERVERS_BATCH_CHUNK_HOLDER_HPP

#include "servers/batch/item_feeder.hpp"
#include "servers/batch/submission.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace chicory::batch
{

/// Looks for chunks, leases them, takes them over from processes that are
/// gone, renews the lease of this process and finishes jobs.
class chunk_holder
{
public:
    chunk_holder(
        boost::asio::any_io_executor executor,
        std::string process,
        job_table& table,
        ports::object_store& objects,
        item_feeder& feeder,
        commit_runner& commits,
        const lifecycles& charts,
        identifier_source& identifiers,
        metrics& numbers,
        lease_settings leases = {});

    void start();

    /// Looks for work now instead of at the next turn.
    void wake();

    /// Leases nothing further.
    void drain();

    /// Deletes the process's own row. The lease of what is still held lapses
    /// like that of a process that died.
    boost::asio::awaitable<void> leave();

private:
    boost::asio::awaitable<void> renew_loop();
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> delete_row();
    bool holds_work() const;
    boost::asio::awaitable<void> look_loop();
    boost::asio::awaitable<bool> look();
    /// Gives up chunks of jobs whose open row is gone, apart from the search
    /// for work, which a slow table service holds up.
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<bool> watch_held_jobs();
    boost::asio::awaitable<bool> lease_from(stored_job job);
    boost::asio::awaitable<std::vector<stored_chunk>>
    find_candidates(stored_job job, std::vector<stored_chunk> rows);
    boost::asio::awaitable<bool> is_free(chunk_record record);
    boost::asio::awaitable<bool> lease(stored_job job, stored_chunk chunk);
    boost::asio::awaitable<bool>
    lease_under_row(stored_job job, stored_chunk chunk);
    boost::asio::awaitable<result<std::vector<manifest_entry>>>
    read_manifest(std::string job);
    boost::asio::awaitable<
        result<std::vector<std::pair<std::uint64_t, item_request>>>>
    read_items(chunk_record record);
    boost::asio::awaitable<void>
    finish_job(std::string job, std::vector<stored_chunk> rows);
    boost::asio::awaitable<void> pause(duration length);

    boost::asio::any_io_executor executor;
    std::string process;
    job_table& table;
    ports::object_store& objects;
    item_feeder& feeder;
    commit_runner& commits;
    const lifecycles& charts;
    identifier_source& identifiers;
    metrics& numbers;
    lease_schedule schedule;
    lease_observer observer;
    /// Pause between two looks at what the schedule asks for.
    duration turn;
    std::size_t leases_in_progress = 0;
    std::map<std::string, std::vector<manifest_entry>> manifests;
    std::mt19937_64 generator;
    boost::asio::steady_timer look_timer;
    bool has_open_jobs = false;
    bool look_again = false;
    bool draining = false;
};

} // namespace chicory::batch

#endif
