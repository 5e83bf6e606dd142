#include "servers/batch/commit_runner.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <utility>

namespace chicory::batch
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds idle_pause(50);

} // namespace

commit_runner::commit_runner(
    asio::any_io_executor context,
    job_table& initial_table,
    ports::object_store& initial_objects,
    metrics& initial_counters)
    : executor(context), table(initial_table), objects(initial_objects),
      counters(initial_counters), pending({}, std::random_device()()),
      wake_timer(context)
{
}

void commit_runner::set_resolved_hook(resolved_hook hook)
{
    this->on_resolved = std::move(hook);
}

void commit_runner::start()
{
    asio::co_spawn(this->executor, this->run(), asio::detached);
}

void commit_runner::push(finished_chunk chunk)
{
    this->pending.push(std::move(chunk));
    this->wake_timer.cancel();
}

const commit_queue& commit_runner::queue() const
{
    return this->pending;
}

asio::awaitable<void> commit_runner::run()
{
    while (true)
    {
        std::optional<commit_action> action =
            this->pending.next(read_monotonic_clock());
        if (!action)
        {
            this->wake_timer.expires_after(idle_pause);
            co_await this->wake_timer.async_wait(
                asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (auto* put = std::get_if<store_results>(&*action))
        {
            co_await this->store(std::move(*put));
        }
        else if (auto* chunks = std::get_if<commit_chunks>(&*action))
        {
            co_await this->commit(std::move(*chunks));
        }
        else if (auto* lookup = std::get_if<read_back>(&*action))
        {
            co_await this->read(std::move(*lookup));
        }
        this->report();
    }
}

asio::awaitable<void> commit_runner::store(store_results action)
{
    const result<void> stored = co_await this->objects.put(
        std::move(action.name), std::move(action.bytes));
    if (!stored)
    {
        this->counters.count_retry(reason::object_store_unavailable);
    }
    this->pending.on_stored(
        action.id,
        stored ? write_outcome::done : write_outcome::unknown,
        read_monotonic_clock());
}

asio::awaitable<void> commit_runner::commit(commit_chunks action)
{
    const transaction_report report =
        co_await this->table.run(std::move(action.plan));
    this->pending.on_transaction(
        action.ids, report.outcome, report.conflicts, read_monotonic_clock());
}

asio::awaitable<void> commit_runner::read(read_back action)
{
    const result<found_row> row =
        co_await this->table.read(std::move(action.key));
    std::optional<found_row> found;
    if (row)
    {
        found = row.value();
    }
    this->pending.on_read(action.id, found, read_monotonic_clock());
}

void commit_runner::report()
{
    this->counters.set(
        "commit_buffer_bytes",
        static_cast<std::int64_t>(this->pending.held_bytes()));
    this->counters.set(
        "commit_buffer_chunks",
        static_cast<std::int64_t>(this->pending.size()));
    for (const resolved_chunk& chunk : this->pending.take_resolved())
    {
        if (chunk.outcome == chunk_outcome::committed)
        {
            this->counters.add("chunks_committed_total");
        }
        else
        {
            this->counters.count_refusal(
                chunk.outcome == chunk_outcome::job_over ? reason::job_cancelled
                                                         : reason::lease_lost);
        }
        if (this->on_resolved)
        {
            this->on_resolved(chunk);
        }
    }
}

} // namespace chicory::batch
