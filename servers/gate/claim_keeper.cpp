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
    metrics& initial_counters,
    bool initial_grouped)
    : executor(std::move(context)), table(port), counters(initial_counters),
      grouped(initial_grouped)
{
}

asio::awaitable<claim_result> claim_keeper::claim(
    std::string key,
    std::string operation,
    std::int64_t version,
    duration limit)
{
    const std::shared_ptr<waiter> pending =
        std::make_shared<waiter>(this->executor);
    this->waiters[operation] = pending;
    this->counters.add("claims_total");
    const std::string group = this->group_of(key);
    this->apply(group, this->batchers[group].claim(key, operation, version));
    if (!pending->result)
    {
        pending->wake.expires_after(limit);
        co_await pending->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!pending->result)
    {
        this->waiters.erase(operation);
        this->abandoned[operation] = key;
        claim_result timeout;
        timeout.status = claim_status::timed_out;
        co_return timeout;
    }
    co_return *pending->result;
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
        if (const auto* to_write = std::get_if<online::write_claims>(&action))
        {
            asio::co_spawn(
                this->executor, this->write(group, *to_write), asio::detached);
        }
        if (const auto* to_read = std::get_if<online::read_claims>(&action))
        {
            asio::co_spawn(
                this->executor, this->read(group, *to_read), asio::detached);
        }
        if (const auto* grant = std::get_if<online::claim_granted>(&action))
        {
            this->resolve(
                grant->operation, {claim_status::granted, grant->version, ""});
            granted.push_back(*grant);
        }
        if (const auto* conflict =
                std::get_if<online::claim_taken_by_other>(&action))
        {
            this->resolve(
                conflict->operation,
                {claim_status::taken, conflict->version, conflict->value});
        }
        if (const auto* failure = std::get_if<online::claim_failed>(&action))
        {
            log_event(event::claim_failed, {{"operation", failure->operation}});
            this->resolve(failure->operation, claim_result());
        }
    }
    if (const auto found = this->batchers.find(group);
        found != this->batchers.end() && found->second.size() == 0)
    {
        this->batchers.erase(found);
    }
    for (const online::claim_granted& grant : granted)
    {
        this->release_if_abandoned(grant);
    }
}

void claim_keeper::release_if_abandoned(const online::claim_granted& grant)
{
    const auto found = this->abandoned.find(grant.operation);
    if (found == this->abandoned.end())
    {
        return;
    }
    const std::string key = found->second;
    this->abandoned.erase(found);
    this->record(
        key,
        grant.operation,
        grant.version,
        std::string(online::not_run_outcome));
}

void claim_keeper::resolve(const std::string& operation, claim_result result)
{
    const auto found = this->waiters.find(operation);
    if (found == this->waiters.end())
    {
        if (result.status != claim_status::granted)
        {
            this->abandoned.erase(operation);
        }
        return;
    }
    found->second->result = std::move(result);
    found->second->wake.cancel();
    this->waiters.erase(found);
}

asio::awaitable<void>
claim_keeper::write(std::string group, online::write_claims action)
{
    ports::transaction request;
    for (const online::claim_write& claim : action.writes)
    {
        request.conditions.push_back({claim.key, claim.version});
        request.writes.push_back({claim.key, claim.value});
    }
    this->counters.add("claim_transactions_total");
    const result<ports::transaction_outcome> outcome =
        co_await this->table.transact(std::move(request));
    if (!outcome)
    {
        const bool may_be_committed =
            outcome.error().kind != error_kind::unavailable;
        this->apply(
            group,
            may_be_committed ? this->batchers[group].unknown(action.batch)
                             : this->batchers[group].failed(action.batch));
        co_return;
    }
    if (outcome.value().committed)
    {
        this->apply(
            group,
            this->batchers[group].committed(
                action.batch, outcome.value().versions));
        co_return;
    }
    std::vector<online::claim_row> rows;
    for (const ports::row& found : outcome.value().conflicts)
    {
        rows.push_back({found.key, found.value, found.version});
    }
    this->apply(group, this->batchers[group].conflicted(action.batch, rows));
}

asio::awaitable<void>
claim_keeper::read(std::string group, online::read_claims action)
{
    std::vector<online::claim_row> rows;
    for (const std::string& key : action.keys)
    {
        const result<std::optional<ports::row>> found =
            co_await this->table.read(key);
        if (!found)
        {
            this->apply(group, this->batchers[group].failed(action.batch));
            co_return;
        }
        if (found.value())
        {
            const ports::row& row = *found.value();
            rows.push_back({row.key, row.value, row.version});
        }
    }
    this->apply(group, this->batchers[group].read_back(action.batch, rows));
}

} // namespace chicory::gate
