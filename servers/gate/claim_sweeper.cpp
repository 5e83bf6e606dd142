#include "servers/gate/claim_sweeper.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

claim_sweeper::claim_sweeper(
    asio::any_io_executor context,
    const dispatching::fleet_cache& cache,
    ports::table_service& port,
    metrics& initial_counters,
    std::string own_gate,
    online::claim_sweep_settings settings)
    : executor(std::move(context)), fleet(cache), table(port),
      counters(initial_counters), sweep(settings, std::move(own_gate)),
      page_size(settings.page)
{
}

void claim_sweeper::start()
{
    asio::co_spawn(this->executor, this->run(), asio::detached);
}

asio::awaitable<void> claim_sweeper::run()
{
    asio::steady_timer timer(this->executor);
    while (true)
    {
        timer.expires_after(this->sweep.pause(this->list_gates().size()));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_await this->sweep_page();
    }
}

asio::awaitable<void> claim_sweeper::sweep_page()
{
    std::optional<online::claim_page> next_page =
        this->sweep.next(this->list_gates());
    if (!next_page)
    {
        co_return;
    }
    const result<std::vector<ports::row>> found = co_await this->table.scan(
        std::move(next_page->prefix),
        std::move(next_page->after),
        static_cast<std::int64_t>(this->page_size));
    if (!found)
    {
        // The next call reads the same page again.
        this->counters.count_retry(reason::table_service_unavailable);
        co_return;
    }
    std::vector<online::claim_row> rows;
    for (const ports::row& row : found.value())
    {
        rows.push_back({row.key, row.value, row.version});
    }
    std::vector<online::claim_row> expired =
        this->sweep.select_expired(rows, read_wall_clock_ms());
    if (!expired.empty())
    {
        co_await this->remove(std::move(expired));
    }
}

asio::awaitable<void>
claim_sweeper::remove(std::vector<online::claim_row> expired)
{
    ports::transaction request;
    for (const online::claim_row& row : expired)
    {
        request.conditions.push_back({row.key, row.version});
        request.writes.push_back({row.key, std::nullopt});
    }
    const result<ports::transaction_outcome> outcome =
        co_await this->table.transact(std::move(request));
    if (!outcome)
    {
        // The next sweep over all key ranges finds the remaining rows again.
        this->counters.count_retry(reason::table_service_unavailable);
        co_return;
    }
    if (outcome.value().committed)
    {
        this->counters.add(
            "claims_expired_total", static_cast<std::int64_t>(expired.size()));
    }
}

std::vector<std::string> claim_sweeper::list_gates() const
{
    std::vector<std::string> gates;
    for (const membership::vm* vm : this->fleet.list_entry_vms())
    {
        gates.push_back(vm->id);
    }
    return gates;
}

} // namespace chicory::gate
