#include "policy/orders/orders.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace chicory::orders
{
namespace
{

using configuration::runner_role;

constexpr std::size_t unlimited = 100;

runner_condition make_runner(
    std::string id,
    std::string model,
    std::string version = "v1",
    runner_role role = runner_role::mixed)
{
    runner_condition runner;
    runner.id = std::move(id);
    runner.ready = !model.empty();
    runner.model = std::move(model);
    runner.version = std::move(version);
    runner.adapters.emplace();
    runner.role = role;
    return runner;
}

configuration::pool make_pool(std::map<std::string, std::int64_t> models)
{
    configuration::pool pool;
    pool.name = "engines";
    pool.wanted_models = std::move(models);
    return pool;
}

TEST(order_plan, changes_a_version_while_another_runner_serves_the_model)
{
    configuration::pool pool = make_pool({{"a", 2}});
    pool.wanted_versions = {{"a", "v2"}};
    std::vector<runner_condition> runners = {
        make_runner("r0", "a"), make_runner("r1", "a")};
    const std::vector<planned_order> orders =
        plan_orders(pool, runners, unlimited);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(
        orders[0], (planned_order{"r0", order_kind::load_version, "a", "v2"}));
    runners[0] = condition_after(runners[0], orders[0]);
    EXPECT_EQ(plan_orders(pool, runners, unlimited)[0].runner, "r1");
    runners.pop_back();
    runners[0].version = "v1";
    EXPECT_TRUE(plan_orders(pool, runners, unlimited).empty());
}

TEST(order_plan, loads_a_model_directly_in_its_requested_version)
{
    configuration::pool pool = make_pool({{"a", 1}, {"b", 1}});
    pool.wanted_versions = {{"b", "v7"}};
    const std::vector<planned_order> orders = plan_orders(
        pool, {make_runner("r0", "a"), make_runner("r1", "")}, unlimited);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(
        orders[0], (planned_order{"r1", order_kind::load_version, "b", "v7"}));
}

TEST(order_plan, adapters_interrupt_no_runner)
{
    configuration::pool pool = make_pool({{"a", 1}});
    pool.wanted_adapters = {{"a", {"x", "y"}}};
    const std::vector<planned_order> orders =
        plan_orders(pool, {make_runner("r0", "a")}, 0);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(
        orders[0], (planned_order{"r0", order_kind::load_adapter, "a", "x"}));
}

TEST(order_plan, orders_nothing_that_the_engine_does_not_report)
{
    configuration::pool pool = make_pool({{"a", 2}});
    pool.wanted_versions = {{"a", "v2"}};
    pool.wanted_adapters = {{"a", {"x"}}};
    pool.wanted_roles = {{runner_role::mixed, 0}, {runner_role::decode, 1}};
    runner_condition unreporting = make_runner("r0", "a");
    unreporting.version.reset();
    unreporting.adapters.reset();
    unreporting.role.reset();
    runner_condition other = unreporting;
    other.id = "r1";
    EXPECT_TRUE(plan_orders(pool, {unreporting, other}, unlimited).empty());
}

TEST(order_plan, keeps_a_model_served_while_roles_change)
{
    configuration::pool pool = make_pool({{"a", 4}});
    pool.wanted_roles = {{runner_role::prefill, 2}, {runner_role::decode, 2}};
    std::vector<runner_condition> runners;
    for (const std::string id : {"r0", "r1", "r2", "r3"})
    {
        runners.push_back(make_runner(id, "a"));
    }
    // The last mixed runner is not interrupted until prefill and decode runners
    // are ready.
    EXPECT_EQ(plan_orders(pool, runners, unlimited).size(), 3U);
    for (int step = 0; step < 4; ++step)
    {
        const std::vector<planned_order> orders = plan_orders(pool, runners, 1);
        ASSERT_EQ(orders.size(), 1U);
        for (runner_condition& runner : runners)
        {
            runner = runner.id == orders[0].runner
                         ? condition_after(runner, orders[0])
                         : runner;
        }
    }
    EXPECT_TRUE(plan_orders(pool, runners, 1).empty());
}

TEST(order_plan, spreads_roles_over_models)
{
    configuration::pool pool = make_pool({{"a", 3}, {"b", 3}});
    pool.wanted_roles = {
        {runner_role::mixed, 2},
        {runner_role::prefill, 2},
        {runner_role::decode, 2}};
    std::vector<runner_condition> runners;
    std::map<std::string, std::string> models;
    for (const std::string id : {"r0", "r1", "r2", "r3", "r4", "r5"})
    {
        models[id] = runners.size() < 3 ? "a" : "b";
        runners.push_back(make_runner(id, models[id]));
    }
    std::set<std::pair<std::string, std::string>> issued;
    for (const planned_order& order : plan_orders(pool, runners, unlimited))
    {
        issued.emplace(models[order.runner], order.argument);
    }
    EXPECT_EQ(issued.size(), 4U);
}

/// Returns whether ready runners serve a model.
bool is_served(
    const std::vector<runner_condition>& runners, const std::string& model)
{
    bool prefill = false;
    bool decode = false;
    for (const runner_condition& runner : runners)
    {
        if (!runner.ready || runner.model != model)
        {
            continue;
        }
        prefill = prefill || runner.role != runner_role::decode;
        decode = decode || runner.role != runner_role::prefill;
    }
    return prefill && decode;
}

std::string draw_value(const std::vector<std::string>& values)
{
    return *rc::gen::elementOf(values);
}

runner_role draw_role()
{
    return *rc::gen::element(
        runner_role::mixed, runner_role::prefill, runner_role::decode);
}

configuration::pool draw_pool()
{
    configuration::pool pool;
    for (const std::string model : {"a", "b"})
    {
        pool.wanted_models[model] = *rc::gen::inRange<std::int64_t>(0, 6);
        if (*rc::gen::arbitrary<bool>())
        {
            pool.wanted_versions[model] = draw_value({"v1", "v2"});
        }
        if (*rc::gen::arbitrary<bool>())
        {
            pool.wanted_adapters[model] = {"x", "y"};
        }
    }
    if (*rc::gen::arbitrary<bool>())
    {
        for (const runner_role role :
             {runner_role::mixed, runner_role::prefill, runner_role::decode})
        {
            pool.wanted_roles[role] = *rc::gen::inRange<std::int64_t>(0, 4);
        }
    }
    return pool;
}

std::vector<runner_condition> draw_runners()
{
    std::vector<runner_condition> runners;
    const std::size_t count = *rc::gen::inRange<std::size_t>(0, 9);
    for (std::size_t index = 0; index < count; ++index)
    {
        runners.push_back(make_runner(
            "r" + std::to_string(index),
            draw_value({"", "a", "b", "c"}),
            draw_value({"v1", "v2"}),
            draw_role()));
    }
    return runners;
}

/// Guards against plans that undo each other. Executing orders one at a time
/// ends and no order is given twice. A requested model that is served stays
/// served while the runner of an order is interrupted.
RC_GTEST_PROP(order_plan, converges_without_undoing_orders, ())
{
    const configuration::pool pool = draw_pool();
    std::vector<runner_condition> runners = draw_runners();
    std::set<std::tuple<std::string, order_kind, std::string, std::string>>
        issued;
    while (true)
    {
        const std::vector<planned_order> orders = plan_orders(pool, runners, 1);
        if (orders.empty())
        {
            break;
        }
        const planned_order& order = orders[0];
        const auto runner = std::find_if(
            runners.begin(),
            runners.end(),
            [&](const runner_condition& found)
            {
                return found.id == order.runner;
            });
        RC_ASSERT(!is_satisfied(order, *runner));
        const bool is_new =
            issued
                .emplace(order.runner, order.kind, order.model, order.argument)
                .second;
        RC_ASSERT(is_new);
        std::vector<runner_condition> during_order = runners;
        during_order[runner - runners.begin()].ready = !interrupts(order.kind);
        for (const auto& [model, count] : pool.wanted_models)
        {
            const bool becomes_unserved =
                is_served(runners, model) && !is_served(during_order, model);
            RC_ASSERT(count == 0 || !becomes_unserved);
        }
        *runner = condition_after(*runner, order);
        runner->ready = true;
    }
    for (const runner_condition& runner : runners)
    {
        const auto adapters = pool.wanted_adapters.find(runner.model);
        if (adapters != pool.wanted_adapters.end())
        {
            RC_ASSERT(runner.adapters->size() == adapters->second.size());
        }
        const auto version = pool.wanted_versions.find(runner.model);
        const bool old = version != pool.wanted_versions.end() &&
                         runner.version != version->second;
        const availability ready_runners(runners);
        RC_ASSERT(
            !old || !ready_runners.can_interrupt(runner, serving_scope::model));
    }
}

/// Guards against a plan that interrupts too many runners. When all runners of
/// one plan are interrupted at the same time, each requested model that was
/// served stays served, and at most the allowed number of runners is
/// interrupted.
RC_GTEST_PROP(order_plan, keeps_models_served_during_a_whole_plan, ())
{
    const configuration::pool pool = draw_pool();
    const std::vector<runner_condition> runners = draw_runners();
    const std::size_t max_interruptions = *rc::gen::inRange<std::size_t>(0, 9);
    std::vector<runner_condition> during_plan = runners;
    std::size_t interrupted = 0;
    std::set<std::string> ordered;
    for (const planned_order& order :
         plan_orders(pool, runners, max_interruptions))
    {
        RC_ASSERT(ordered.insert(order.runner).second);
        for (runner_condition& runner : during_plan)
        {
            const bool stops =
                runner.id == order.runner && interrupts(order.kind);
            runner.ready = runner.ready && !stops;
            interrupted += stops ? 1 : 0;
        }
    }
    RC_ASSERT(interrupted <= max_interruptions);
    for (const auto& [model, count] : pool.wanted_models)
    {
        const bool becomes_unserved =
            is_served(runners, model) && !is_served(during_plan, model);
        RC_ASSERT(count == 0 || !becomes_unserved);
    }
}

} // namespace
} // namespace chicory::orders
