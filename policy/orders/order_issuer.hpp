#ifndef CHICORY_POLICY_ORDERS_ORDER_ISSUER_HPP
#define CHICORY_POLICY_ORDERS_ORDER_ISSUER_HPP

#include "core/core.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/orders/order_lease.hpp"
#include "policy/orders/order_plan.hpp"
#include "policy/orders/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::orders
{

/// Limits of one issuer.
struct issuer_settings
{
    lease_settings lease;
    /// Number of runners in a pool for each runner that may be interrupted at
    /// the same time. At least one runner may always be interrupted.
    std::int64_t runners_per_interruption = 4;
    /// Time after which an order that no report has confirmed is dropped, so
    /// that it can be planned again.
    duration confirm_limit = std::chrono::seconds(60);
    /// Fetches per second that the weight store accepts from the whole fleet.
    double fetches_per_second = 2.0;
    /// Fetches that the whole fleet may start at the same time. Each pool may
    /// start at least one.
    double fetch_burst = 4.0;
};

/// A report that the issuer has read from a runner.
struct runner_report
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string model;
    bool leaving = false;
    /// No value when the engine does not report the property. Such an engine
    /// gets no orders for the property, because reports could not confirm them.
    std::optional<std::string> version = std::nullopt;
    std::optional<std::set<std::string>> adapters = std::nullopt;
    std::optional<configuration::runner_role> role = std::nullopt;
};

/// An order with the fencing number of a lease. It states the requested
/// condition, so that sending it twice does no harm.
struct issued_order
{
    planned_order order;
    std::int64_t fencing_number = 0;
};

/// Outcome of sending an order.
enum class order_outcome
{
    not_sent,
    accepted,
    refused_stale_number,
    unknown,
};

/// Plans the orders that bring the runners of one pool to the requirements of
/// the pool while this node holds the lease of the pool. An order is confirmed
/// only when a report shows the requested condition.
class order_issuer
{
public:
    order_issuer(issuer_settings initial, std::string self, time_point now);

    order_lease& lease();

    /// Sets the number of pools that share the fetch rate of the weight store.
    void set_pool_count(time_point now, std::size_t pools);

    /// Returns the orders that may be sent now, and records them as pending.
    /// `reports` contains the runners that respond; other runners get no
    /// orders.
    std::vector<issued_order> plan(
        time_point now,
        const configuration::pool& requested,
        const std::vector<runner_report>& reports);

    /// Records the outcome of sending an order to a runner. An order that was
    /// accepted or whose outcome is unknown stays pending until a report
    /// confirms it, the runner restarts or the time limit passes. A refused
    /// fencing number also drops the lease.
    void on_outcome(const std::string& runner, order_outcome outcome);

    /// Called when the weight store has refused a fetch.
    void on_rate_limited(time_point now);

    /// Returns the orders that reports have confirmed since the last call.
    std::vector<planned_order> take_confirmed();

    /// Returns the number of orders that no report has confirmed yet.
    std::size_t count_unconfirmed() const;

private:
    struct pending_order
    {
        planned_order order;
        std::uint64_t incarnation = 0;
        time_point sent;
    };

    void drop_finished_orders(
        time_point now, const std::vector<runner_report>& reports);
    runner_condition predict_condition(const runner_report& report) const;
    std::size_t count_free_interruptions(std::size_t runners) const;

    issuer_settings settings;
    order_lease pool_lease;
    token_bucket fetch_limiter;
    std::map<std::string, pending_order> pending;
    std::vector<planned_order> confirmed;
};

} // namespace chicory::orders

#endif
