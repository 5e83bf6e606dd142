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

/// Gates and runners that are asked at the same time.
constexpr std::size_t max_open_questions = 32;

/// Wait for a gate's answers on all pools.
constexpr std::chrono::seconds gate_limit(2);

/// What the questions of one command share.
struct inquiry
{
    inquiry(asio::any_io_executor executor, backend::backend_server& port)
        : servers(port), ended(executor)
    {
        this->ended.expires_at(asio::steady_timer::time_point::max());
    }

    backend::backend_server& servers;
    std::vector<std::string> pools;
    std::deque<ports::listed_vm> waiting;
    std::size_t workers = 0;
    /// Cancelled when the last worker has ended.
    asio::steady_timer ended;
    runner_loads loads;
};

using shared_inquiry = std::shared_ptr<inquiry>;

/// Answers of one gate.
struct gate_answers
{
    explicit gate_answers(asio::any_io_executor executor) : complete(executor)
    {
    }

    std::vector<wire::runner_state> runners;
    std::size_t missing = 0;
    /// Cancelled when nothing is missing or the link has ended.
    asio::steady_timer complete;
};

void take_reply(gate_answers& answers, const wire::message& value)
{
    const auto* reply = std::get_if<wire::probe_reply>(&value);
    if (reply == nullptr || answers.missing == 0)
    {
        return;
    }
    answers.runners.insert(
        answers.runners.end(), reply->runners.begin(), reply->runners.end());
    --answers.missing;
    if (answers.missing == 0)
    {
        answers.complete.cancel();
    }
}

asio::awaitable<void> wait(asio::steady_timer& timer)
{
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> ask_gate(shared_inquiry asked, ports::listed_vm gate)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto answers = std::make_shared<gate_answers>(executor);
    answers->missing = asked->pools.size();
    answers->complete.expires_after(gate_limit);
    net::endpoint server;
    server.address = gate.address;
    server.port = gate.link_port;
    const std::shared_ptr<wire::link> opened = wire::open_link(
        executor,
        server,
        [answers](const std::shared_ptr<wire::link>&, const wire::message& told)
        {
            take_reply(*answers, told);
        },
        [answers](const std::shared_ptr<wire::link>&)
        {
            answers->complete.cancel();
        });
    std::uint64_t probe_id = 0;
    for (const std::string& pool : asked->pools)
    {
        opened->send(wire::probe{++probe_id, pool});
    }
    co_await wait(answers->complete);
    opened->close();
    for (const wire::runner_state& told : answers->runners)
    {
        runner_load& load = asked->loads[told.runner];
        load.owner = gate.id;
        load.queue = told;
    }
}

asio::awaitable<void> ask_runner(shared_inquiry asked, ports::listed_vm runner)
{
    net::endpoint server;
    server.address = runner.address;
    server.port = runner.http_port;
    const result<backend::load_report> report =
        co_await asked->servers.load(server);
    if (report)
    {
        asked->loads[runner.id].report = report.value();
    }
}

/// Takes VMs from the list until it is empty.
asio::awaitable<void> work(shared_inquiry asked)
{
    while (!asked->waiting.empty())
    {
        const ports::listed_vm vm = asked->waiting.front();
        asked->waiting.pop_front();
        if (vm.role == "runner")
        {
            co_await ask_runner(asked, vm);
        }
        else if (!asked->pools.empty() && vm.link_port != 0)
        {
            co_await ask_gate(asked, vm);
        }
    }
    --asked->workers;
    if (asked->workers == 0)
    {
        asked->ended.cancel();
    }
}

asio::awaitable<runner_loads> read_loads(
    backend::backend_server& servers,
    std::vector<ports::listed_vm> listed,
    std::vector<std::string> pools)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto asked = std::make_shared<inquiry>(executor, servers);
    asked->pools = std::move(pools);
    asked->waiting.assign(listed.begin(), listed.end());
    asked->workers = std::min(max_open_questions, listed.size());
    const std::size_t workers = asked->workers;
    for (std::size_t count = 0; count < workers; ++count)
    {
        asio::co_spawn(executor, work(asked), asio::detached);
    }
    // Workers run no sooner than here, so that none has ended yet.
    if (workers > 0)
    {
        co_await wait(asked->ended);
    }
    co_return std::move(asked->loads);
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
