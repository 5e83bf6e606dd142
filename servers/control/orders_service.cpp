#include "servers/control/orders_service.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view lease_prefix = "orders/lease/";
constexpr std::chrono::milliseconds lease_step_interval(500);

/// Interval between two reads of one runner's report.
constexpr std::chrono::seconds report_interval(2);

/// A runner whose report is older than this receives no orders.
constexpr std::chrono::seconds max_report_age(10);

std::string encode_holder(const std::string& holder)
{
    json::object fields;
    fields["holder"] = holder;
    return json::serialize(fields);
}

std::string decode_holder(const std::string& text)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(text, code);
    const json::object* fields = code ? nullptr : parsed.if_object();
    const json::value* holder =
        fields == nullptr ? nullptr : fields->if_contains("holder");
    const bool has_holder = holder != nullptr && holder->is_string();
    return has_holder ? std::string(holder->get_string()) : std::string();
}

/// Returns whether the settings of a pool request a state of its engines that
/// orders establish.
bool needs_orders(const configuration::pool& pool)
{
    const bool has_requests =
        !pool.wanted_models.empty() || !pool.wanted_versions.empty() ||
        !pool.wanted_adapters.empty() || !pool.wanted_roles.empty();
    return pool.kind == configuration::pool_kind::model_engine && has_requests;
}

orders::runner_report
to_report(const std::string& id, const backend::load_report& found)
{
    orders::runner_report report;
    report.id = id;
    report.incarnation = found.incarnation;
    report.model = found.model;
    report.leaving = found.leaving;
    report.version = found.version;
    if (found.adapters)
    {
        report.adapters.emplace(found.adapters->begin(), found.adapters->end());
    }
    if (found.role)
    {
        report.role = find_value(configuration::runner_role_names, *found.role);
    }
    return report;
}

backend::engine_order to_engine_order(const orders::issued_order& order)
{
    const orders::planned_order& planned = order.order;
    backend::engine_order encoded;
    encoded.fencing_number = order.fencing_number;
    encoded.action = find_name(orders::order_kind_names, planned.kind);
    const bool loads_any_version =
        planned.kind == orders::order_kind::load_model;
    encoded.argument = loads_any_version ? planned.model : planned.argument;
    encoded.model = loads_any_version ? std::string() : planned.model;
    return encoded;
}

void log_order(event kind, const orders::planned_order& order, log_field extra)
{
    log_event(
        kind,
        {{"runner", order.runner},
         {"action",
          std::string(find_name(orders::order_kind_names, order.kind))},
         {"model", order.model},
         {"argument", order.argument},
         std::move(extra)});
}

} // namespace

/// State of one pool. Coroutines share its ownership, so that the pool can be
/// deleted while a report is being read.
struct orders_service::pool_state
{
    struct report
    {
        orders::runner_report content;
        time_point read_at;
    };

    configuration::pool settings;
    std::string key;
    orders::order_issuer issuer;
    std::map<std::string, report> reports;
    std::map<std::string, time_point> report_requested_at;
    bool deleted = false;
    bool has_lease = false;
};

orders_service::orders_service(
    asio::io_context& io,
    ports::table_service& service,
    backend::backend_server& engines,
    members_hook hook,
    std::string holder_name)
    : context(io), table(service), backend(engines), members(std::move(hook)),
      holder(std::move(holder_name))
{
}

void orders_service::set_tables(const configuration::table_set& tables)
{
    for (auto entry = this->pools.begin(); entry != this->pools.end();)
    {
        const auto found = tables.pools.find(entry->first);
        if (found != tables.pools.end() && needs_orders(found->second))
        {
            ++entry;
            continue;
        }
        entry->second->deleted = true;
        entry = this->pools.erase(entry);
    }
    for (const auto& [name, pool] : tables.pools)
    {
        if (!needs_orders(pool))
        {
            continue;
        }
        if (const auto found = this->pools.find(name);
            found != this->pools.end())
        {
            found->second->settings = pool;
            continue;
        }
        const pool_handle added = std::make_shared<pool_state>(pool_state{
            pool,
            std::string(lease_prefix) + name,
            orders::order_issuer(
                orders::issuer_settings(),
                this->holder,
                read_monotonic_clock()),
            {},
            {}});
        this->pools.emplace(name, added);
        asio::co_spawn(this->context, this->run_pool(added), asio::detached);
    }
    this->update_weight_store_shares();
}

/// Divides the rate of the weight store among the pools. All nodes know the
/// same pools, so that the shares of all issuers add up to the rate of the
/// whole fleet.
void orders_service::update_weight_store_shares()
{
    const time_point now = read_monotonic_clock();
    for (const auto& [name, pool] : this->pools)
    {
        pool->issuer.set_pool_count(now, this->pools.size());
    }
}

void orders_service::stop()
{
    this->stopping = true;
}

std::size_t orders_service::in_progress() const
{
    return this->orders_in_progress;
}

asio::awaitable<void> orders_service::run_pool(pool_handle pool)
{
    asio::steady_timer timer(this->context);
    while (!pool->deleted && !this->stopping)
    {
        co_await this->advance_lease(pool);
        this->log_lease_change(pool);
        if (pool->issuer.lease().is_held(read_monotonic_clock()))
        {
            co_await this->issue_orders(pool);
        }
        timer.expires_after(lease_step_interval);
        co_await timer.async_wait(as_result);
    }
}

void orders_service::log_lease_change(const pool_handle& pool) const
{
    const bool has_lease = pool->issuer.lease().is_held(read_monotonic_clock());
    if (has_lease == pool->has_lease)
    {
        return;
    }
    pool->has_lease = has_lease;
    log_event(
        has_lease ? event::order_lease_taken : event::order_lease_lost,
        {{"pool", pool->settings.name},
         {"number", pool->issuer.lease().fencing_number()}});
}

asio::awaitable<void> orders_service::advance_lease(pool_handle pool)
{
    const orders::lease_action action = pool->issuer.lease().next_action(
        read_monotonic_clock(), this->is_candidate(pool->settings.name));
    if (action.step == orders::lease_step::read)
    {
        co_await this->read_lease(pool);
    }
    if (action.step == orders::lease_step::write)
    {
        co_await this->write_lease(pool, action.expected_version);
    }
}

asio::awaitable<void> orders_service::read_lease(pool_handle pool)
{
    const result<std::optional<ports::row>> found =
        co_await this->table.read(pool->key);
    if (!found)
    {
        pool->issuer.lease().on_failed();
        co_return;
    }
    std::optional<orders::lease_row> lease;
    if (found.value())
    {
        const ports::row& row = *found.value();
        lease = orders::lease_row{decode_holder(row.value), row.version};
    }
    pool->issuer.lease().on_row(read_monotonic_clock(), lease);
}

asio::awaitable<void>
orders_service::write_lease(pool_handle pool, std::int64_t expected)
{
    ports::transaction request;
    request.conditions.push_back({pool->key, expected});
    request.writes.push_back({pool->key, encode_holder(this->holder)});
    const time_point sent = read_monotonic_clock();
    const result<ports::transaction_outcome> outcome =
        co_await this->table.transact(std::move(request));
    orders::order_lease& lease = pool->issuer.lease();
    if (!outcome)
    {
        if (outcome.error().kind == error_kind::unavailable)
        {
            lease.on_failed();
        }
        else
        {
            lease.on_unknown(sent);
        }
        co_return;
    }
    if (!outcome.value().committed || outcome.value().versions.empty())
    {
        lease.on_conflict();
        co_return;
    }
    lease.on_committed(
        read_monotonic_clock(), sent, outcome.value().versions.front());
}

asio::awaitable<void> orders_service::issue_orders(pool_handle pool)
{
    const time_point now = read_monotonic_clock();
    std::vector<orders::runner_report> reports;
    for (const membership::vm& runner :
         this->find_runners(pool->settings.service))
    {
        const auto [requested_at, first] =
            pool->report_requested_at.try_emplace(runner.id, now);
        if (first || now - requested_at->second >= report_interval)
        {
            requested_at->second = now;
            asio::co_spawn(
                this->context, this->read_report(pool, runner), asio::detached);
        }
        const auto found = pool->reports.find(runner.id);
        const bool is_fresh = found != pool->reports.end() &&
                              now - found->second.read_at < max_report_age;
        if (is_fresh)
        {
            reports.push_back(found->second.content);
        }
    }
    const std::vector<orders::issued_order> planned =
        pool->issuer.plan(now, pool->settings, reports);
    this->log_confirmed_orders(pool);
    for (const orders::issued_order& order : planned)
    {
        co_await this->send_order(pool, order);
    }
}

asio::awaitable<void>
orders_service::read_report(pool_handle pool, membership::vm runner)
{
    net::endpoint server{runner.address, runner.http_port};
    const result<backend::load_report> found =
        co_await this->backend.load(std::move(server));
    if (!found)
    {
        co_return;
    }
    pool_state::report report;
    report.content = to_report(runner.id, found.value());
    report.read_at = read_monotonic_clock();
    pool->reports[runner.id] = std::move(report);
}

asio::awaitable<void>
orders_service::send_order(pool_handle pool, orders::issued_order order)
{
    const std::string runner = order.order.runner;
    const membership::member_record* record =
        this->members().table().find(runner);
    // The lease may have expired while earlier orders of the same plan were
    // sent.
    const bool allowed =
        !this->stopping && record != nullptr &&
        pool->issuer.lease().may_order(
            read_monotonic_clock(), pool->settings.engines_check_fencing);
    if (!allowed)
    {
        pool->issuer.on_outcome(runner, orders::order_outcome::not_sent);
        co_return;
    }
    net::endpoint server{record->details.address, record->details.http_port};
    backend::engine_order encoded = to_engine_order(order);
    log_order(event::order_sent, order.order, {"number", order.fencing_number});
    ++this->orders_in_progress;
    const result<void> response =
        co_await this->backend.order(std::move(server), std::move(encoded));
    --this->orders_in_progress;
    this->record_response(pool, order.order, response);
}

void orders_service::record_response(
    const pool_handle& pool,
    const orders::planned_order& order,
    const result<void>& response) const
{
    if (response)
    {
        pool->issuer.on_outcome(order.runner, orders::order_outcome::accepted);
        return;
    }
    log_order(event::order_refused, order, {"error", response.error().text});
    orders::order_outcome outcome = orders::order_outcome::unknown;
    if (response.error().kind == error_kind::conflict)
    {
        outcome = orders::order_outcome::refused_stale_number;
    }
    if (response.error().kind == error_kind::overloaded)
    {
        outcome = orders::order_outcome::not_sent;
        pool->issuer.on_rate_limited(read_monotonic_clock());
    }
    pool->issuer.on_outcome(order.runner, outcome);
}

void orders_service::log_confirmed_orders(const pool_handle& pool) const
{
    for (const orders::planned_order& order : pool->issuer.take_confirmed())
    {
        log_order(
            event::order_confirmed,
            order,
            {"number", pool->issuer.lease().fencing_number()});
    }
}

std::vector<membership::vm>
orders_service::find_runners(const std::string& label) const
{
    std::vector<membership::vm> runners;
    for (const auto& [id, record] : this->members().table().records())
    {
        const bool is_eligible =
            record.details.role == membership::vm_role::runner &&
            record.status.state == membership::vm_state::alive &&
            record.details.service == label;
        if (is_eligible)
        {
            runners.push_back(record.details);
        }
    }
    return runners;
}

bool orders_service::is_candidate(const std::string& pool) const
{
    const membership::gossip& state = this->members();
    const std::uint64_t salt = hash_bytes(pool);
    std::string chosen;
    std::uint64_t highest_weight = 0;
    for (const auto& [id, record] : state.table().records())
    {
        const bool is_live_entry =
            record.details.role == membership::vm_role::entry &&
            record.status.state == membership::vm_state::alive;
        const std::uint64_t weight = hash_bytes(id, salt);
        if (is_live_entry && weight >= highest_weight)
        {
            highest_weight = weight;
            chosen = id;
        }
    }
    return chosen == state.self();
}

} // namespace chicory::control
