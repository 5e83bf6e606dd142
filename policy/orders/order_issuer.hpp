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

/// Bounds of one issuer.
struct issuer_settings
{
    lease_settings lease;
    /// One in this many runners of a pool may be interrupted at once, at least
    /// one.
    std::int64_t runners_per_interruption = 4;
    /// An order that reports do not confirm within this time is planned anew.
    duration confirm_limit = std::chrono::seconds(60);
    /// Fetches that the weight store takes from the whole fleet.
    double fetches_per_second = 2.0;
    double fetch_burst = 4.0;
};

/// A runner's own report, read back by the issuer.
struct runner_report
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string model;
    bool leaving = false;
    /// Nothing where the engine does not tell it; such an engine gets no
    /// orders for it, because they could not be read back.
    std::optional<std::string> version = std::nullopt;
    std::optional<std::set<std::string>> adapters = std::nullopt;
    std::optional<configuration::runner_role> role = std::nullopt;
};

/// An order under the number of a lease. It states the wanted condition, so
/// that giving it twice does no harm.
struct issued_order
{
    planned_order order;
    std::int64_t fencing_number = 0;
};

/// What became of an order.
enum class order_outcome
{
    not_sent,
    accepted,
    refused_stale_number,
    unknown,
};

/// Brings one pool's runners to what the pool wants, while this node holds the
/// pool's lease. Each order counts as done only when a report shows the wanted
/// condition.
class order_issuer
{
public:
    order_issuer(issuer_settings initial, std::string self, time_point now);

    order_lease& lease();

    /// Sets how many pools share what the weight store gives the fleet.
    void set_pool_count(time_point now, std::size_t pools);

    /// Returns the orders that may be sent now. `reports` holds the runners
    /// that answer; those that do not get no orders.
    std::vector<issued_order> plan(
        time_point now,
        const configuration::pool& wanted,
        const std::vector<runner_report>& reports);

    void on_outcome(const std::string& runner, order_outcome outcome);

    /// The weight store refused a fetch.
    void on_rate_limited(time_point now);

    /// Returns the orders that reports confirmed since the last call.
    std::vector<planned_order> take_confirmed();

    /// Orders that no report has confirmed yet.
    std::size_t unconfirmed() const;

private:
    struct pending_order
    {
        planned_order order;
        std::uint64_t incarnation = 0;
        time_point sent;
    };

    void drop_finished_orders(
        time_point now, const std::vector<runner_report>& reports);
    runner_condition expect(const runner_report& report) const;
    std::size_t count_free_interruptions(std::size_t runners) const;

    issuer_settings settings;
    order_lease pool_lease;
    token_bucket fetches;
    std::map<std::string, pending_order> pending;
    std::vector<planned_order> confirmed;
};

} // namespace chicory::orders

#endif
