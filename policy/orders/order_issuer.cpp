#include "policy/orders/order_issuer.hpp"

#include <algorithm>
#include <utility>

namespace chicory::orders
{

namespace
{

runner_condition to_condition(const runner_report& report)
{
    return {
        report.id,
        report.model,
        !report.model.empty(),
        report.version,
        report.adapters,
        report.role};
}

} // namespace

order_issuer::order_issuer(
    issuer_settings initial, std::string self, time_point now)
    : settings(initial), pool_lease(initial.lease, std::move(self)),
      fetch_limiter(initial.fetches_per_second, initial.fetch_burst, now)
{
}

order_lease& order_issuer::lease()
{
    return this->pool_lease;
}

void order_issuer::set_pool_count(time_point now, std::size_t pools)
{
    const double pool_count =
        static_cast<double>(std::max<std::size_t>(1, pools));
    this->fetch_limiter.set_rate(
        now,
        this->settings.fetches_per_second / pool_count,
        std::max(1.0, this->settings.fetch_burst / pool_count));
}

std::vector<issued_order> order_issuer::plan(
    time_point now,
    const configuration::pool& requested,
    const std::vector<runner_report>& reports)
{
    this->drop_finished_orders(now, reports);
    if (!this->pool_lease.may_order(now, requested.engines_check_fencing))
    {
        return {};
    }
    std::vector<runner_condition> runners;
    std::map<std::string, std::uint64_t> incarnations;
    for (const runner_report& report : reports)
    {
        if (!report.leaving)
        {
            runners.push_back(this->predict_condition(report));
            incarnations[report.id] = report.incarnation;
        }
    }
    const std::size_t free_interruptions =
        this->count_free_interruptions(runners.size());
    std::vector<issued_order> orders;
    for (planned_order& order :
         plan_orders(requested, std::move(runners), free_interruptions))
    {
        if (fetches_weights(order.kind) &&
            !this->fetch_limiter.try_consume(now))
        {
            continue;
        }
        this->pending[order.runner] = {order, incarnations[order.runner], now};
        orders.push_back({std::move(order), this->pool_lease.fencing_number()});
    }
    return orders;
}

/// Returns the condition of a runner, or the predicted one when an order is
/// pending for it.
runner_condition
order_issuer::predict_condition(const runner_report& report) const
{
    const runner_condition reported = to_condition(report);
    const auto found = this->pending.find(report.id);
    if (found == this->pending.end())
    {
        return reported;
    }
    const planned_order& order = found->second.order;
    runner_condition predicted = condition_after(reported, order);
    predicted.ready = reported.ready && !interrupts(order.kind);
    predicted.has_pending_order = true;
    return predicted;
}

std::size_t order_issuer::count_free_interruptions(std::size_t runners) const
{
    const std::int64_t allowed = static_cast<std::int64_t>(runners) /
                                 this->settings.runners_per_interruption;
    const std::int64_t interrupted = std::count_if(
        this->pending.begin(),
        this->pending.end(),
        [](const auto& entry)
        {
            return interrupts(entry.second.order.kind);
        });
    const std::int64_t max_interrupted = std::max<std::int64_t>(1, allowed);
    return static_cast<std::size_t>(
        std::max<std::int64_t>(0, max_interrupted - interrupted));
}

void order_issuer::drop_finished_orders(
    time_point now, const std::vector<runner_report>& reports)
{
    for (const runner_report& report : reports)
    {
        const auto found = this->pending.find(report.id);
        if (found == this->pending.end())
        {
            continue;
        }
        const bool satisfied =
            is_satisfied(found->second.order, to_condition(report));
        if (satisfied)
        {
            this->confirmed.push_back(found->second.order);
        }
        if (satisfied || report.incarnation != found->second.incarnation)
        {
            this->pending.erase(found);
        }
    }
    std::erase_if(
        this->pending,
        [&](const auto& entry)
        {
            return now - entry.second.sent >= this->settings.confirm_limit;
        });
}

void order_issuer::on_outcome(const std::string& runner, order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
    case order_outcome::unknown:
        // Only a report of the runner can confirm the order.
        break;
    case order_outcome::refused_stale_number:
        this->pool_lease.on_higher_number();
        this->pending.erase(runner);
        break;
    case order_outcome::not_sent:
        this->pending.erase(runner);
        break;
    }
}

void order_issuer::on_rate_limited(time_point now)
{
    this->fetch_limiter.on_rate_limited(now);
}

std::vector<planned_order> order_issuer::take_confirmed()
{
    return std::exchange(this->confirmed, {});
}

std::size_t order_issuer::count_unconfirmed() const
{
    return this->pending.size();
}

} // namespace chicory::orders
