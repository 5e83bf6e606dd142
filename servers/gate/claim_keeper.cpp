#include "servers/gate/claim_keeper.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>
#include <vector>

namespace chicory::gate
{

namespace asio = boost::asio;

claim_keeper::claim_keeper(
    asio::any_io_executor context,
    ports::table_service& port,
    metrics& counters,
    bool in_groups)
    : executor(std::move(context)), table(port), numbers(counters),
      grouped(in_groups)
{
}

asio::awaitable<claim_end> claim_keeper::claim(
    std::string key,
    std::string operation,
    std::int64_t version,
    duration limit)
{
    const std::shared_ptr<waiter> waiting =
        std::make_shared<waiter>(this->executor);
    this->waiters[operation] = waiting;
    this->numbers.add("claims_total");
    const std::string group = this->group_of(key);
    this->apply(group, this->batchers[group].claim(key, operation, version));
    if (!waiting->end)
    {
        waiting->wake.expires_after(limit);
        co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!waiting->end)
    {
        this->waiters.erase(operation);
        this->given_up[operation] = key;
        claim_end late;
        late.verdict = claim_verdict::late;
        co_return late;
    }
    co_return *waiting->end;
}

void claim_keeper::record(
    const std::string& key,
    const std::string& operation,
    std::int64_t version,
    const std::string& outcome)
{
    const std::string group = this->group_of(key);
    this->apply(
        group, this->batchers[group].record(key, operation, version, outcome));
}

std::string claim_keeper::group_of(const std::string& key) const
{
    return this->grouped ? std::string() : key;
}

std::size_t claim_keeper::in_progress() const
{
    std::size_t rows = 0;
    for (const auto& [group, batcher] : this->batchers)
    {
        rows += batcher.size();
    }
    return rows;
}

void claim_keeper::apply(
    const std::string& group, const online::claim_actions& actions)
{
    std::vector<online::claim_granted> granted;
    for (const online::claim_action& action : actions)
    {
        if (const auto* order = std::get_if<online::write_claims>(&action))
        {
            asio::co_spawn(
                this->executor, this->write(group, *order), asio::detached);
        }
        if (const auto* order = std::get_if<online::read_claims>(&action))
        {
            asio::co_spawn(
                this->executor, this->read(group, *order), asio::detached);
        }
        if (const auto* told = std::get_if<online::claim_granted>(&action))
        {
            this->settle(
                told->operation, {claim_verdict::granted, told->version, ""});
            granted.push_back(*told);
        }
        if (const auto* told =
                std::get_if<online::claim_taken_by_other>(&action))
        {
            this->settle(
                told->operation,
                {claim_verdict::taken, told->version, told->value});
        }
        if (const auto* told = std::get_if<online::claim_failed>(&action))
        {
            log_event(event::claim_failed, {{"operation", told->operation}});
            this->settle(told->operation, claim_end());
        }
    }
    if (const auto found = this->batchers.find(group);
        found != this->batchers.end() && found->second.size() == 0)
    {
        this->batchers.erase(found);
    }
    for (const online::claim_granted& told : granted)
    {
        this->release_if_given_up(told);
    }
}

void claim_keeper::release_if_given_up(const online::claim_granted& told)
{
    const auto found = this->given_up.find(told.operation);
    if (found == this->given_up.end())
    {
        return;
    }
    const std::string key = found->second;
    this->given_up.erase(found);
    this->record(
        key,
        told.operation,
        told.version,
        std::string(online::not_run_outcome));
}

void claim_keeper::settle(const std::string& operation, claim_end end)
{
    const auto found = this->waiters.find(operation);
    if (found == this->waiters.end())
    {
        if (end.verdict != claim_verdict::granted)
        {
            this->given_up.erase(operation);
        }
        return;
    }
    found->second->end = std::move(end);
    found->second->wake.cancel();
    this->waiters.erase(found);
}

asio::awaitable<void>
claim_keeper::write(std::string group, online::write_claims order)
{
    ports::transaction request;
    for (const online::claim_write& claim : order.writes)
    {
        request.conditions.push_back({claim.key, claim.version});
        request.writes.push_back({claim.key, claim.value});
    }
    this->numbers.add("claim_transactions_total");
    const result<ports::transaction_outcome> outcome =
        co_await this->table.transact(std::move(request));
    if (!outcome)
    {
        const bool unknown = outcome.error().kind != error_kind::unavailable;
        this->apply(
            group,
            unknown ? this->batchers[group].unknown(order.batch)
                    : this->batchers[group].failed(order.batch));
        co_return;
    }
    if (outcome.value().committed)
    {
        this->apply(
            group,
            this->batchers[group].committed(
                order.batch, outcome.value().versions));
        co_return;
    }
    std::vector<online::claim_row> rows;
    for (const ports::row& found : outcome.value().conflicts)
    {
        rows.push_back({found.key, found.value, found.version});
    }
    this->apply(group, this->batchers[group].conflicted(order.batch, rows));
}

asio::awaitable<void>
claim_keeper::read(std::string group, online::read_claims order)
{
    std::vector<online::claim_row> rows;
    for (const std::string& key : order.keys)
    {
        const result<std::optional<ports::row>> found =
            co_await this->table.read(key);
        if (!found)
        {
            this->apply(group, this->batchers[group].failed(order.batch));
            co_return;
        }
        if (found.value())
        {
            const ports::row& row = *found.value();
            rows.push_back({row.key, row.value, row.version});
        }
    }
    this->apply(group, this->batchers[group].read_back(order.batch, rows));
}

} // namespace chicory::gate
