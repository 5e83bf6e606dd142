#include "policy/orders/orders.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::orders
{
namespace
{

using namespace std::chrono_literals;

using model_counts = std::map<std::string, std::int64_t>;

std::vector<runner_condition>
make_runners(const std::vector<std::string>& models)
{
    std::vector<runner_condition> runners;
    for (const std::string& model : models)
    {
        const std::string id = "r" + std::to_string(runners.size());
        runners.push_back({id, model, !model.empty()});
    }
    return runners;
}

/// A planned order of a pool that requests only models.
struct planned_load
{
    std::string runner;
    std::string model;

    bool operator==(const planned_load&) const = default;
};

std::vector<planned_load> plan_loads(
    const model_counts& requested,
    std::vector<runner_condition> runners,
    std::size_t max_interruptions)
{
    configuration::pool models_only;
    models_only.wanted_models = requested;
    std::vector<planned_load> loads;
    for (const planned_order& order :
         plan_orders(models_only, std::move(runners), max_interruptions))
    {
        loads.push_back({order.runner, order.model});
    }
    return loads;
}

TEST(load_plan, loads_only_what_is_needed)
{
    const model_counts requested = {{"a", 2}, {"b", 1}};
    EXPECT_TRUE(
        plan_loads(requested, make_runners({"a", "a", "b"}), 9).empty());
    const std::vector<planned_load> loads =
        plan_loads(requested, make_runners({"a", "a", "a"}), 9);
    ASSERT_EQ(loads.size(), 1U);
    EXPECT_EQ(loads[0].model, "b");
}

TEST(load_plan, prefers_empty_and_unrequested_runners)
{
    const model_counts requested = {{"a", 1}, {"b", 1}};
    const std::vector<planned_load> loads =
        plan_loads(requested, make_runners({"a", "a", "old", "a"}), 1);
    ASSERT_EQ(loads.size(), 1U);
    EXPECT_EQ(loads[0], (planned_load{"r2", "b"}));
}

TEST(load_plan, never_interrupts_the_last_ready_runner)
{
    EXPECT_TRUE(
        plan_loads({{"a", 1}, {"b", 1}}, make_runners({"a"}), 9).empty());
    EXPECT_TRUE(plan_loads({{"b", 1}}, make_runners({"old"}), 9).empty());
    std::vector<runner_condition> runners = make_runners({"a", "a"});
    runners[1].ready = false;
    EXPECT_TRUE(plan_loads({{"a", 1}, {"b", 1}}, runners, 9).empty());
}

TEST(load_plan, spreads_a_shortage_over_models)
{
    const std::vector<planned_load> loads =
        plan_loads({{"a", 8}, {"b", 8}}, make_runners({"a", "a", "a", "a"}), 9);
    EXPECT_EQ(loads.size(), 2U);
}

/// Guards against plans that never converge or that undo each other. Applying
/// plans one after the other ends, each requested model that had a ready runner
/// keeps one, and no model stays short by more than one runner when there are
/// enough runners.
RC_GTEST_PROP(load_plan, converges, ())
{
    const std::vector<std::string> names = {"", "a", "b", "c"};
    const auto models = *rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(names));
    model_counts requested;
    for (const std::string model : {"a", "b", "c"})
    {
        requested[model] = *rc::gen::inRange<std::int64_t>(0, 6);
    }
    std::vector<runner_condition> runners = make_runners(models);
    std::size_t rounds = 0;
    while (true)
    {
        const std::vector<planned_load> loads =
            plan_loads(requested, runners, 1);
        if (loads.empty())
        {
            break;
        }
        ++rounds;
        RC_ASSERT(rounds <= models.size());
        for (runner_condition& runner : runners)
        {
            if (runner.id == loads[0].runner)
            {
                runner.model = loads[0].model;
                runner.ready = true;
            }
        }
    }
    std::map<std::string, std::int64_t> actual;
    for (const runner_condition& runner : runners)
    {
        ++actual[runner.model];
    }
    for (const std::string& model : models)
    {
        RC_ASSERT(requested[model] == 0 || actual[model] > 0);
    }
    const std::int64_t sum = requested["a"] + requested["b"] + requested["c"];
    const bool enough = sum <= static_cast<std::int64_t>(runners.size());
    for (const auto& [model, count] : requested)
    {
        // The last ready runner of a model is never interrupted, so that one
        // runner may be missing.
        RC_ASSERT(!enough || actual[model] >= count - 1);
    }
}

TEST(token_bucket, limits_the_rate)
{
    time_point now;
    token_bucket bucket(0.5, 2.0, now);
    EXPECT_TRUE(bucket.try_consume(now));
    EXPECT_TRUE(bucket.try_consume(now));
    EXPECT_FALSE(bucket.try_consume(now));
    EXPECT_TRUE(bucket.try_consume(now + 2s));
    bucket.on_rate_limited(now + 10s);
    EXPECT_FALSE(bucket.try_consume(now + 10s));
}

configuration::pool make_pool(model_counts requested)
{
    configuration::pool pool;
    pool.name = "inkasso";
    pool.wanted_models = std::move(requested);
    pool.engines_check_fencing = true;
    return pool;
}

std::vector<runner_report> make_reports(const std::vector<std::string>& models)
{
    std::vector<runner_report> reports;
    for (const std::string& model : models)
    {
        const std::string id = "r" + std::to_string(reports.size());
        reports.push_back({id, 1, model, false});
    }
    return reports;
}

struct issuer_with_lease
{
    time_point now;
    order_issuer issuer{{}, "a", now};

    issuer_with_lease()
    {
        order_lease& lease = this->issuer.lease();
        lease.next_action(this->now, true);
        lease.on_row(this->now, std::nullopt);
        lease.next_action(this->now, true);
        lease.on_committed(this->now, this->now, 7);
    }
};

TEST(order_issuer, orders_once_and_waits_for_the_report)
{
    issuer_with_lease state;
    const configuration::pool pool = make_pool({{"a", 2}, {"b", 1}});
    const std::vector<issued_order> orders =
        state.issuer.plan(state.now, pool, make_reports({"a", "a", "a"}));
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].fencing_number, 7);
    EXPECT_TRUE(
        state.issuer.plan(state.now, pool, make_reports({"a", "a", "a"}))
            .empty());
    std::vector<runner_report> followed = make_reports({"a", "a", "a"});
    for (runner_report& report : followed)
    {
        report.model = report.id == orders[0].order.runner ? "b" : "a";
    }
    EXPECT_TRUE(state.issuer.plan(state.now, pool, followed).empty());
    EXPECT_EQ(state.issuer.count_unconfirmed(), 0U);
}

TEST(order_issuer, orders_nothing_without_a_lease)
{
    time_point now;
    order_issuer issuer({}, "a", now);
    const configuration::pool pool = make_pool({{"b", 1}});
    EXPECT_TRUE(issuer.plan(now, pool, make_reports({"", ""})).empty());
}

TEST(order_issuer, stops_when_an_engine_refuses_the_number)
{
    issuer_with_lease state;
    const configuration::pool pool = make_pool({{"a", 1}, {"b", 1}});
    const std::vector<issued_order> orders =
        state.issuer.plan(state.now, pool, make_reports({"a", "a", "a"}));
    ASSERT_EQ(orders.size(), 1U);
    state.issuer.on_outcome(
        orders[0].order.runner, order_outcome::refused_stale_number);
    EXPECT_TRUE(
        state.issuer.plan(state.now, pool, make_reports({"a", "a", "a"}))
            .empty());
    EXPECT_EQ(state.issuer.count_unconfirmed(), 0U);
}

TEST(order_issuer, orders_again_when_no_report_confirms)
{
    issuer_with_lease state;
    const configuration::pool pool = make_pool({{"a", 1}, {"b", 1}});
    const std::vector<runner_report> reports = make_reports({"a", "a"});
    ASSERT_EQ(state.issuer.plan(state.now, pool, reports).size(), 1U);
    state.now += 61s;
    order_lease& lease = state.issuer.lease();
    lease.next_action(state.now, true);
    lease.on_committed(state.now, state.now, 8);
    EXPECT_EQ(state.issuer.plan(state.now, pool, reports).size(), 1U);
}

TEST(order_issuer, sends_no_orders_to_leaving_runners)
{
    issuer_with_lease state;
    std::vector<runner_report> reports = make_reports({"a", "a"});
    reports[1].leaving = true;
    EXPECT_TRUE(
        state.issuer.plan(state.now, make_pool({{"a", 1}, {"b", 1}}), reports)
            .empty());
}

TEST(order_issuer, orders_a_role_once_and_confirms_it)
{
    issuer_with_lease state;
    configuration::pool pool = make_pool({{"a", 2}});
    pool.wanted_roles = {
        {configuration::runner_role::mixed, 1},
        {configuration::runner_role::decode, 1}};
    std::vector<runner_report> reports = make_reports({"a", "a"});
    for (runner_report& report : reports)
    {
        report.role = configuration::runner_role::mixed;
    }
    const std::vector<issued_order> orders =
        state.issuer.plan(state.now, pool, reports);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].order.kind, order_kind::set_role);
    EXPECT_TRUE(state.issuer.plan(state.now, pool, reports).empty());
    reports[0].role = configuration::runner_role::decode;
    EXPECT_TRUE(state.issuer.plan(state.now, pool, reports).empty());
    EXPECT_EQ(state.issuer.take_confirmed().size(), 1U);
    EXPECT_EQ(state.issuer.count_unconfirmed(), 0U);
}

/// Guards against overload of the weight store. The issuers of all pools
/// together stay within its rate and the sum of their bursts, in any order of
/// planning.
RC_GTEST_PROP(order_issuer, issuers_together_stay_within_the_fetch_rate, ())
{
    const issuer_settings settings;
    const std::size_t pools = *rc::gen::inRange<std::size_t>(1, 7);
    std::vector<issuer_with_lease> states(pools);
    for (issuer_with_lease& state : states)
    {
        state.issuer.set_pool_count(state.now, pools);
    }
    configuration::pool pool = make_pool({{"a", 40}});
    pool.wanted_adapters = {{"a", {"x"}}};
    std::vector<runner_report> reports =
        make_reports(std::vector<std::string>(40, "a"));
    for (runner_report& report : reports)
    {
        report.adapters.emplace();
    }
    time_point now;
    std::size_t fetch_count = 0;
    const auto intervals_ms =
        *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(0, 800));
    for (const int interval_ms : intervals_ms)
    {
        now += std::chrono::milliseconds(interval_ms);
        issuer_with_lease& state =
            states[*rc::gen::inRange<std::size_t>(0, pools)];
        state.issuer.lease().on_committed(now, now, 7);
        fetch_count += state.issuer.plan(now, pool, reports).size();
    }
    const double sharing_pools = static_cast<double>(pools);
    const std::chrono::duration<double> elapsed = now - time_point();
    const double bursts = std::max(sharing_pools, settings.fetch_burst);
    const double max_fetches =
        settings.fetches_per_second * elapsed.count() + bursts;
    RC_ASSERT(static_cast<double>(fetch_count) <= max_fetches + 1e-6);
}

} // namespace
} // namespace chicory::orders
