#ifndef CHICORY_SERVERS_BATCH_COMMIT_RUNNER_HPP
#define CHICORY_SERVERS_BATCH_COMMIT_RUNNER_HPP

#include "servers/batch/job_table.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string_view>

namespace chicory::batch
{

/// Executes the actions that the commit queue chooses.
class commit_runner
{
public:
    using resolved_hook = std::function<void(const resolved_chunk&)>;

    commit_runner(
        boost::asio::any_io_executor executor,
        job_table& table,
        ports::object_store& objects,
        metrics& counters);

    /// Sets the callback that is called for each chunk that left the queue.
    void set_resolved_hook(resolved_hook hook);

    void start();

    /// Adds a finished chunk to the commit queue.
    void push(finished_chunk chunk);

    const commit_queue& queue() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> store(store_results action);
    boost::asio::awaitable<void> commit(commit_chunks action);
    boost::asio::awaitable<void> read(read_back action);
    void report();

    boost::asio::any_io_executor executor;
    job_table& table;
    ports::object_store& objects;
    metrics& counters;
    commit_queue pending;
    boost::asio::steady_timer wake_timer;
    resolved_hook on_resolved;
};

} // namespace chicory::batch

#endif
