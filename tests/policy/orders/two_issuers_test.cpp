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

/// An engine that follows orders, and what it was last told.
struct engine
{
    runner_condition condition;
    bool checks = false;
    std::int64_t highest = 0;
    std::size_t last_sender = 0;

    /// Returns whether it followed the order.
    bool take(const issued_order& order)
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

/// An order on its way.
struct order_under_way
{
    time_point arrival;
    issued_order order;
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

/// Two nodes that compete for a pool of six engines. Orders of every kind
/// linger on their way, answers of lease writes are lost, and nodes pause.
class contest
{
public:
    explicit contest(bool engines_check)
        : pool(chicory::orders::make_pool(engines_check))
    {
        for (int count = 0; count < 6; ++count)
        {
            engine made;
            made.condition.id = "r" + std::to_string(count);
            made.condition.model = "a";
            made.condition.version = "v1";
            made.condition.adapters.emplace();
            made.condition.role = runner_role::mixed;
            made.condition.ready = true;
            made.checks = engines_check;
            this->engines[made.condition.id] = made;
        }
    }

    void run(const std::vector<random_step>& steps)
    {
        for (const random_step& next : steps)
        {
            this->now += std::chrono::milliseconds(next.pass_ms);
            this->deliver();
            const std::size_t place = next.second ? 1 : 0;
            if (next.order)
            {
                this->plan(place, std::chrono::milliseconds(next.linger_ms));
                continue;
            }
            order_lease& lease = this->issuers.at(place).lease();
            step(
                lease,
                this->names.at(place),
                this->store,
                this->now,
                next.lost);
        }
        this->now += std::chrono::seconds(60);
        this->deliver();
    }

    std::size_t applied = 0;

private:
    void plan(std::size_t place, duration linger)
    {
        std::vector<runner_report> reports;
        for (const auto& [id, found] : this->engines)
        {
            const runner_condition& told = found.condition;
            reports.push_back(
                {id,
                 1,
                 told.model,
                 false,
                 told.version,
                 told.adapters,
                 told.role});
        }
        order_issuer& issuer = this->issuers.at(place);
        for (issued_order& order : issuer.plan(this->now, this->pool, reports))
        {
            this->under_way.push_back(
                {this->now + linger, std::move(order), place});
        }
    }

    void deliver()
    {
        std::stable_sort(
            this->under_way.begin(),
            this->under_way.end(),
            [](const order_under_way& left, const order_under_way& right)
            {
                return left.arrival < right.arrival;
            });
        while (!this->under_way.empty() &&
               this->under_way.front().arrival <= this->now)
        {
            this->arrive(this->under_way.front());
            this->under_way.erase(this->under_way.begin());
        }
    }

    /// No engine follows an order of an issuer that another has replaced.
    void arrive(const order_under_way& arrived)
    {
        engine& target = this->engines.at(arrived.order.order.runner);
        const std::int64_t number = arrived.order.fencing_number;
        if (!target.take(arrived.order))
        {
            this->issuers.at(arrived.sender)
                .on_outcome(
                    arrived.order.order.runner,
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
    std::vector<order_under_way> under_way;
};

RC_GTEST_PROP(
    two_issuers,
    checking_engines_follow_no_replaced_issuer,
    (const std::vector<random_step>& steps))
{
    contest race(true);
    race.run(steps);
}

/// Holds as long as orders linger no longer than the stated pause bound.
RC_GTEST_PROP(
    two_issuers,
    ignoring_engines_follow_no_replaced_issuer_within_the_pause_bound,
    (const std::vector<random_step>& steps))
{
    contest race(false);
    race.run(steps);
}

TEST(two_issuers, contest_applies_orders)
{
    contest race(true);
    std::vector<random_step> steps(12);
    for (random_step& next : steps)
    {
        next.pass_ms = 1500;
    }
    steps[5].order = true;
    steps[8].order = true;
    race.run(steps);
    EXPECT_GE(race.applied, 2U);
}

} // namespace
} // namespace chicory::orders
