#include "servers/control/control.hpp"
#include "tests/support/memory_platform.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace chicory::control
{

using testing_support::memory_table;

namespace
{

constexpr std::chrono::seconds condition_limit(60);

/// Engines in memory that execute orders and report their state.
class fake_engines final : public backend::backend_server
{
public:
    boost::asio::awaitable<net::open_outcome>
    run(net::endpoint, backend::run_request, duration) override
    {
        co_return net::open_outcome{};
    }

    boost::asio::awaitable<net::open_outcome>
    resume(net::endpoint, std::string, std::uint64_t, duration) override
    {
        co_return net::open_outcome{};
    }

    boost::asio::awaitable<result<void>>
    cancel(net::endpoint, std::string) override
    {
        co_return boost::outcome_v2::success();
    }

    boost::asio::awaitable<result<backend::load_report>>
    load(net::endpoint server) override
    {
        co_return this->reports.at(server.port);
    }

    boost::asio::awaitable<result<void>>
    order(net::endpoint server, backend::engine_order order) override
    {
        this->orders.push_back(order);
        if (this->failures > 0)
        {
            --this->failures;
            co_return make_error(this->failure, "refused");
        }
        this->execute(this->reports.at(server.port), order);
        co_return boost::outcome_v2::success();
    }

    /// Adds an engine with a loaded model. The port identifies the engine.
    void add(std::uint16_t port, const std::string& model)
    {
        backend::load_report report;
        report.incarnation = 1;
        report.model = model;
        report.version = "v1";
        report.adapters.emplace();
        report.role = "mixed";
        this->reports[port] = report;
    }

    std::map<std::uint16_t, backend::load_report> reports;
    std::vector<backend::engine_order> orders;
    /// Number of the next orders that fail, and the error that they return.
    int failures = 0;
    error_kind failure = error_kind::internal;

private:
    static void
    execute(backend::load_report& report, const backend::engine_order& order)
    {
        if (order.action == "load_model")
        {
            report.model = order.argument;
        }
        if (order.action == "load_version")
        {
            report.model = order.model;
            report.version = order.argument;
        }
        if (order.action == "load_adapter")
        {
            report.adapters->push_back(order.argument);
        }
        if (order.action == "set_role")
        {
            report.role = order.argument;
        }
    }
};

class orders_service_test : public testing::Test
{
protected:
    static membership::vm
    make_vm(const std::string& id, membership::vm_role role, std::uint16_t port)
    {
        membership::vm details;
        details.id = id;
        details.role = role;
        details.incarnation = 1;
        details.address = "127.0.0.1";
        details.http_port = port;
        details.service = role == membership::vm_role::runner ? "engines" : "";
        return details;
    }

    void add_engine(std::uint16_t port, const std::string& model)
    {
        this->engines.add(port, model);
        const std::string id = "runner-" + std::to_string(port);
        const membership::vm details =
            make_vm(id, membership::vm_role::runner, port);
        this->members.on_update(
            read_monotonic_clock(), {id, {1, 0, {}}, details});
    }

    void set_pool(configuration::pool pool)
    {
        pool.name = "engines";
        pool.service = "engines";
        pool.engines_check_fencing = true;
        configuration::table_set tables;
        tables.pools.emplace(pool.name, pool);
        this->service.set_tables(tables);
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const time_point deadline = read_monotonic_clock() + condition_limit;
        while (!condition() && read_monotonic_clock() < deadline)
        {
            this->io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    std::int64_t lease_version() const
    {
        return this->rows.rows.at("orders/lease/engines").version;
    }

    boost::asio::io_context io;
    memory_table rows;
    fake_engines engines;
    membership::gossip members{
        {},
        make_vm("entry", membership::vm_role::entry, 1),
        1,
        read_monotonic_clock()};
    orders_service service{
        io,
        rows,
        engines,
        [this]() -> const membership::gossip&
        {
            return this->members;
        },
        "entry#1"};
};

TEST_F(orders_service_test, orders_the_requested_state_and_confirms_it)
{
    this->add_engine(10, "a");
    this->add_engine(11, "a");
    this->add_engine(12, "a");
    configuration::pool pool;
    pool.wanted_models = {{"a", 2}, {"b", 1}};
    pool.wanted_versions = {{"b", "v2"}};
    pool.wanted_adapters = {{"b", {"x"}}};
    pool.wanted_roles = {
        {configuration::runner_role::mixed, 2},
        {configuration::runner_role::decode, 1}};
    this->set_pool(pool);
    EXPECT_TRUE(this->run_until(
        [this]()
        {
            const auto has_requested_state = [](const auto& entry)
            {
                const backend::load_report& report = entry.second;
                return report.model == "b" && report.version == "v2" &&
                       report.adapters->size() == 1;
            };
            const auto has_decode_role = [](const auto& entry)
            {
                return entry.second.role == "decode";
            };
            const auto& reports = this->engines.reports;
            return std::any_of(
                       reports.begin(), reports.end(), has_requested_state) &&
                   std::any_of(reports.begin(), reports.end(), has_decode_role);
        }));
    ASSERT_EQ(this->engines.orders.size(), 3U);
    EXPECT_EQ(this->engines.orders[0].action, "load_version");
    EXPECT_EQ(this->engines.orders[0].model, "b");
    for (const backend::engine_order& order : this->engines.orders)
    {
        EXPECT_GT(order.fencing_number, 0);
        EXPECT_LE(order.fencing_number, this->lease_version());
    }
}

TEST_F(orders_service_test, uses_a_higher_number_after_a_rejection)
{
    this->add_engine(10, "a");
    this->add_engine(11, "a");
    this->engines.failures = 1;
    this->engines.failure = error_kind::conflict;
    configuration::pool pool;
    pool.wanted_models = {{"a", 1}, {"b", 1}};
    this->set_pool(pool);
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->engines.orders.size() == 2;
        }));
    EXPECT_GT(
        this->engines.orders[1].fencing_number,
        this->engines.orders[0].fencing_number);
}

TEST_F(orders_service_test, retries_an_order_that_the_weight_store_rejected)
{
    this->add_engine(10, "a");
    this->add_engine(11, "a");
    this->engines.failures = 1;
    this->engines.failure = error_kind::overloaded;
    configuration::pool pool;
    pool.wanted_models = {{"a", 1}, {"b", 1}};
    this->set_pool(pool);
    ASSERT_TRUE(this->run_until(
        [this]()
        {
            return this->engines.orders.size() == 2;
        }));
    EXPECT_EQ(this->engines.orders[1].argument, "b");
}

} // namespace
} // namespace chicory::control
