#ifndef CHICORY_SERVERS_BATCH_ITEM_FEEDER_HPP
#define CHICORY_SERVERS_BATCH_ITEM_FEEDER_HPP

#include "servers/batch/commit_runner.hpp"
#include "servers/batch/held_chunk.hpp"
#include "servers/batch/job_table.hpp"
#include "servers/batch/slot_offers.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicory::batch
{

/// Sends the items of the chunks that this process holds to the slots that the
/// owners of runners offer, and passes finished chunks to the commit runner.
class item_feeder
{
public:
    /// `own_vm` is the entry VM of this process.
    item_feeder(
        boost::asio::any_io_executor executor,
        std::string own_vm,
        dispatching::fleet_cache& fleet,
        dispatching::dispatcher& owners,
        job_table& table,
        commit_runner& commits,
        const lifecycles& charts,
        identifier_source& identifiers,
        metrics& counters);

    void start();

    /// Adds a chunk that was leased and starts sending its items.
    void add(std::shared_ptr<held_chunk> chunk);

    /// Handles a message from an owner that belongs to no attempt. Only replies
    /// to probes have an effect.
    void receive(const std::string& owner, const wire::message& value);

    /// Returns the chunks that are held, by the key of their row.
    const std::map<std::string, std::shared_ptr<held_chunk>>& held() const;

    /// Drops a chunk and cancels its attempts at their runners. Does nothing
    /// when the chunk is not held.
    void drop(const std::string& key, reason cause);

    /// Drops all chunks of a job.
    void drop_job(const std::string& job, reason cause);

    /// Stops starting attempts. Chunks finish once their attempts in progress
    /// have ended.
    void drain();

    /// Returns true when the chunks that are held have fewer unsent items than
    /// the offered slots can use, and the process is not draining.
    bool needs_chunks() const;

private:
    boost::asio::awaitable<void> run();
    void feed();
    void start_items(
        const std::shared_ptr<held_chunk>& chunk, const feed_grant& grant);
    boost::asio::awaitable<void> run_item(
        std::shared_ptr<held_chunk> chunk,
        item_attempt item,
        std::string runner,
        wire::dispatch request);
    void handle_failure(
        held_chunk& chunk,
        const item_attempt& item,
        const std::string& runner,
        const wire::response_failed& failure);
    boost::asio::awaitable<void> mark(std::shared_ptr<held_chunk> chunk);
    void finish_if_complete(const std::shared_ptr<held_chunk>& chunk);
    wire::dispatch make_dispatch(
        const held_chunk& chunk,
        const item_attempt& item,
        const configuration::route& route);

    boost::asio::any_io_executor executor;
    dispatching::fleet_cache& fleet;
    dispatching::dispatcher& owners;
    job_table& table;
    commit_runner& commits;
    const lifecycles& charts;
    identifier_source& identifiers;
    metrics& counters;
    slot_offers offers;
    job_feeder feeder;
    std::map<std::string, std::shared_ptr<held_chunk>> chunks;
    boost::asio::steady_timer timer;
    bool draining = false;
};

} // namespace chicory::batch

#endif
