#include "policy/orders/orders.hpp"
#include "tests/policy/orders/lease_steps.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <memory>

namespace chicory::orders
{
namespace
{

using configuration::runner_role;

/// A simulated engine. It stores the highest fencing number that it has
/// executed and the sender of that order.
struct engine
{
    runner_condition condition;
    bool checks = false;
    std::int64_t highest = 0;
    std::size_t last_sender = 0;

    /// Executes an order. Returns false when the engine refuses its number.
    bool execute(const issued_order& order)
    {
        if (this->checks && order.fencing_number < this->highest)
        {
            return false;
        }
        this->condition = condition_after(this->condition, order.order);
        this->condition.ready = true;
        return true;
    }
};

/// An order that has been sent but has not arrived.
struct order_in_flight
{
    time_point arrival;
    issued_order issued;
    std::size_t sender = 0;
};

configuration::pool make_pool(bool engines_check)
{
    configuration::pool pool;
    pool.wanted_models = {{"a", 3}, {"b", 3}};
    pool.wanted_versions = {{"a", "v2"}};
    pool.wanted_adapters = {{"b", {"x"}}};
    pool.wanted_roles = {{runner_role::mixed, 4}, {runner_role::decode, 2}};
    pool.engines_check_fencing = engines_check;
    return pool;
}

/// Simulates two nodes that compete for a pool of six engines. Orders of all
/// kinds arrive late, responses to lease writes are lost, and nodes pause.
class issuer_simulation
{
public:
    explicit issuer_simulation(bool engines_check)
        : pool(chicory::orders::make_pool(engines_check))
    {
        for (int count = 0; count < 6; ++count)
        {
            engine created;
            created.condition.id = "r" + std::to_string(count);
            created.condition.model = "a";
            created.condition.version = "v1";
            created.condition.adapters.emplace();
            created.condition.role = runner_role::mixed;
            created.condition.ready = true;
            created.checks = engines_check;
            this->engines[created.condition.id] = created;
        }
    }

    void run(const std::vector<random_step>& steps)
    {
        for (const random_step& next : steps)
        {
            this->now += std::chrono::milliseconds(next.elapsed_ms);
            this->deliver();
            const std::size_t index = next.second ? 1 : 0;
            if (next.sends_orders)
            {
                this->plan(
                    index, std::chrono::milliseconds(next.delivery_delay_ms));
                continue;
            }
            order_lease& lease = this->issuers.at(index).lease();
            execute_step(
                lease,
                this->names.at(index),
                this->store,
                this->now,
                next.response_lost);
        }
        this->now += std::chrono::seconds(60);
        this->deliver();
    }

    std::size_t applied = 0;

private:
    void plan(std::size_t index, duration delivery_delay)
    {
        std::vector<runner_report> reports;
        for (const auto& [id, found] : this->engines)
        {
            const runner_condition& reported = found.condition;
            reports.push_back(
                {id,
                 1,
                 reported.model,
                 false,
                 reported.version,
                 reported.adapters,
                 reported.role});
        }
        order_issuer& issuer = this->issuers.at(index);
        for (issued_order& order : issuer.plan(this->now, this->pool, reports))
        {
            this->in_flight.push_back(
                {this->now + delivery_delay, std::move(order), index});
        }
    }

    void deliver()
    {
        std::stable_sort(
            this->in_flight.begin(),
            this->in_flight.end(),
            [](const order_in_flight& left, const order_in_flight& right)
            {
                return left.arrival < right.arrival;
            });
        while (!this->in_flight.empty() &&
               this->in_flight.front().arrival <= this->now)
        {
            this->deliver_order(this->in_flight.front());
            this->in_flight.erase(this->in_flight.begin());
        }
    }

    /// Delivers an order. No engine may execute an order of an issuer that
    /// another one has replaced.
    void deliver_order(const order_in_flight& arrived)
    {
        engine& target = this->engines.at(arrived.issued.order.runner);
        const std::int64_t number = arrived.issued.fencing_number;
        if (!target.execute(arrived.issued))
        {
            this->issuers.at(arrived.sender)
                .on_outcome(
                    arrived.issued.order.runner,
                    order_outcome::refused_stale_number);
            return;
        }
        ++this->applied;
        RC_ASSERT(
            number >= target.highest || arrived.sender == target.last_sender);
        if (number > target.highest)
        {
            target.highest = number;
            target.last_sender = arrived.sender;
        }
    }

    const std::array<std::string, 2> names = {"a", "b"};
    configuration::pool pool;
    time_point now;
    std::array<order_issuer, 2> issuers = {
        order_issuer({}, names[0], now), order_issuer({}, names[1], now)};
    stored_lease store;
    std::map<std::string, engine> engines;
    std::vector<order_in_flight> in_flight;
};

RC_GTEST_PROP(
    two_issuers,
    engines_that_check_numbers_execute_no_replaced_order,
    (const std::vector<random_step>& steps))
{
    issuer_simulation simulation(true);
    simulation.run(steps);
}

/// Guards against engines without fencing checks that execute orders of a
/// replaced issuer. The property holds for delivery delays up to `max_pause`.
RC_GTEST_PROP(
    two_issuers,
    engines_that_ignore_numbers_execute_no_replaced_order_within_max_pause,
    (const std::vector<random_step>& steps))
{
    issuer_simulation simulation(false);
    simulation.run(steps);
}

TEST(two_issuers, simulation_applies_orders)
{
    issuer_simulation simulation(true);
    std::vector<random_step> steps(12);
    for (random_step& next : steps)
    {
        next.elapsed_ms = 1500;
    }
    steps[5].sends_orders = true;
    steps[8].sends_orders = true;
    simulation.run(steps);
    EXPECT_GE(simulation.applied, 2U);
}

} // namespace
} // namespace chicory::orders
