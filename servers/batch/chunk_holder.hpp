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

/// Searches for chunks and leases them, takes over chunks from processes whose
/// lease expired, renews the lease of this process and finishes jobs.
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
        metrics& counters,
        lease_settings leases = {});

    void start();

    /// Starts the next search for chunks immediately instead of after the
    /// pause.
    void wake();

    /// Stops leasing further chunks.
    void drain();

    /// Deletes the holder row of this process. The lease of chunks that are
    /// still held then expires like that of a process that stopped.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> renew_loop();
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> delete_row();
    bool holds_work() const;
    boost::asio::awaitable<void> search_loop();
    boost::asio::awaitable<bool> search();
    /// Drops chunks of jobs whose open row was removed. Runs in a loop of its
    /// own because a slow table service delays the search for chunks.
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<bool> watch_held_jobs();
    boost::asio::awaitable<bool> lease_from(stored_job job);
    boost::asio::awaitable<std::vector<stored_chunk>>
    find_candidates(stored_job job, std::vector<stored_chunk> rows);
    boost::asio::awaitable<bool> is_free(chunk_record record);
    boost::asio::awaitable<bool> lease(stored_job job, stored_chunk chunk);
    boost::asio::awaitable<bool>
    lease_with_holder_row(stored_job job, stored_chunk chunk);
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
    metrics& counters;
    lease_schedule schedule;
    lease_observer observer;
    /// Interval at which the lease schedule is checked.
    duration renew_check_interval;
    std::size_t leases_in_progress = 0;
    std::map<std::string, std::vector<manifest_entry>> manifests;
    std::mt19937_64 generator;
    boost::asio::steady_timer search_timer;
    bool has_open_jobs = false;
    bool search_again = false;
    bool draining = false;
};

} // namespace chicory::batch

#endif
