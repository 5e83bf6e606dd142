#include "servers/control_client/runner_loads.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

/// Maximum number of gates and runners that are queried concurrently.
constexpr std::size_t max_concurrent_queries = 32;

/// Time limit for the responses of one gate about all pools.
constexpr std::chrono::seconds gate_timeout(2);

/// State that the concurrent queries of one command share.
struct load_query
{
    load_query(
        asio::any_io_executor executor,
        backend::backend_server& initial_servers)
        : servers(initial_servers), all_ended(executor)
    {
        this->all_ended.expires_at(asio::steady_timer::time_point::max());
    }

    backend::backend_server& servers;
    std::vector<std::string> pools;
    std::deque<ports::listed_vm> pending;
    std::size_t workers = 0;
    /// Cancelled when the last worker has ended, to resume the waiting caller.
    asio::steady_timer all_ended;
    runner_loads loads;
};

using shared_query = std::shared_ptr<load_query>;

/// Responses of one gate.
struct gate_responses
{
    explicit gate_responses(asio::any_io_executor executor) : complete(executor)
    {
    }

    std::vector<wire::runner_state> runners;
    std::size_t missing_replies = 0;
    /// Cancelled when no response is missing or the link was closed.
    asio::steady_timer complete;
};

void record_reply(gate_responses& responses, const wire::message& value)
{
    const auto* reply = std::get_if<wire::probe_reply>(&value);
    if (reply == nullptr || responses.missing_replies == 0)
    {
        return;
    }
    responses.runners.insert(
        responses.runners.end(), reply->runners.begin(), reply->runners.end());
    --responses.missing_replies;
    if (responses.missing_replies == 0)
    {
        responses.complete.cancel();
    }
}

asio::awaitable<void> wait(asio::steady_timer& timer)
{
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> query_gate(shared_query query, ports::listed_vm gate)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto responses = std::make_shared<gate_responses>(executor);
    responses->missing_replies = query->pools.size();
    responses->complete.expires_after(gate_timeout);
    net::endpoint server;
    server.address = gate.address;
    server.port = gate.link_port;
    const std::shared_ptr<wire::link> opened = wire::open_link(
        executor,
        server,
        [responses](
            const std::shared_ptr<wire::link>&, const wire::message& value)
        {
            record_reply(*responses, value);
        },
        [responses](const std::shared_ptr<wire::link>&)
        {
            responses->complete.cancel();
        });
    std::uint64_t probe_id = 0;
    for (const std::string& pool : query->pools)
    {
        opened->send(wire::probe{++probe_id, pool});
    }
    co_await wait(responses->complete);
    opened->close();
    for (const wire::runner_state& state : responses->runners)
    {
        runner_load& load = query->loads[state.runner];
        load.owner = gate.id;
        load.queue = state;
    }
}

asio::awaitable<void> query_runner(shared_query query, ports::listed_vm runner)
{
    net::endpoint server;
    server.address = runner.address;
    server.port = runner.http_port;
    const result<backend::load_report> report =
        co_await query->servers.load(server);
    if (report)
    {
        query->loads[runner.id].report = report.value();
    }
}

/// Queries pending VMs until none is left.
asio::awaitable<void> run_worker(shared_query query)
{
    while (!query->pending.empty())
    {
        const ports::listed_vm vm = query->pending.front();
        query->pending.pop_front();
        if (vm.role == "runner")
        {
            co_await query_runner(query, vm);
        }
        else if (!query->pools.empty() && vm.link_port != 0)
        {
            co_await query_gate(query, vm);
        }
    }
    --query->workers;
    if (query->workers == 0)
    {
        query->all_ended.cancel();
    }
}

asio::awaitable<runner_loads> read_loads(
    backend::backend_server& servers,
    std::vector<ports::listed_vm> listed,
    std::vector<std::string> pools)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto query = std::make_shared<load_query>(executor, servers);
    query->pools = std::move(pools);
    query->pending.assign(listed.begin(), listed.end());
    query->workers = std::min(max_concurrent_queries, listed.size());
    const std::size_t workers = query->workers;
    for (std::size_t count = 0; count < workers; ++count)
    {
        asio::co_spawn(executor, run_worker(query), asio::detached);
    }
    // Spawned workers do not start before this coroutine suspends, so that none
    // can end before the wait begins.
    if (workers > 0)
    {
        co_await wait(query->all_ended);
    }
    co_return std::move(query->loads);
}

} // namespace

load_source make_load_source(backend::backend_server& server)
{
    return [&server](
               std::vector<ports::listed_vm> listed,
               std::vector<std::string> pools)
    {
        return read_loads(server, std::move(listed), std::move(pools));
    };
}

} // namespace chicory::control
