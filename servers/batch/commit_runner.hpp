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

/// Carries out what the commit queue decides.
class commit_runner
{
public:
    using settled_hook = std::function<void(const resolved_chunk&)>;

    commit_runner(
        boost::asio::any_io_executor executor,
        job_table& table,
        ports::object_store& objects,
        metrics& numbers);

    /// Sees each chunk that left the queue.
    void set_settled_hook(settled_hook hook);

    void start();

    /// Takes a finished chunk.
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
    metrics& numbers;
    commit_queue pending;
    boost::asio::steady_timer wake;
    settled_hook on_settled;
};

} // namespace chicory::batch

#endif
