#ifndef CHICORY_POLICY_ORDERS_ORDER_LEASE_HPP
#define CHICORY_POLICY_ORDERS_ORDER_LEASE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chicory::orders
{

/// Times of the lease under which one node sends orders to the engines of a
/// pool.
struct lease_settings
{
    /// Time after which an observer may claim a lease whose row has not
    /// changed.
    duration lease_time = std::chrono::seconds(15);
    /// Time between two renewals by the holder.
    duration renew_interval = std::chrono::seconds(4);
    /// Time between two reads of a lease that another node holds.
    duration read_interval = std::chrono::seconds(2);
    /// Last part of the lease, in which no order is sent.
    duration margin = std::chrono::seconds(5);
    /// Maximum time between the last check of the lease by a holder and the
    /// arrival of its order. A new holder waits this long before it sends
    /// orders to engines that ignore fencing numbers.
    duration max_pause = std::chrono::seconds(20);
};

/// The row of the lease as read from the table service. The version of the row
/// is the fencing number.
struct lease_row
{
    std::string holder;
    std::int64_t version = 0;
};

/// Kind of the next request to the table service.
enum class lease_step
{
    none,
    read,
    write,
};

/// The next request. A write must be conditional on the expected version of the
/// row; version zero means that the row must not exist.
struct lease_action
{
    lease_step step = lease_step::none;
    std::int64_t expected_version = 0;
};

/// State of the lease of one pool on one node. Expiry is measured with the
/// local clock: the holder counts from the time at which it sent its last
/// write, and an observer counts from the time at which it first read the
/// version of the row, which is later.
class order_lease
{
public:
    /// `self` identifies the process, not only the VM: it must change with each
    /// restart.
    order_lease(lease_settings initial, std::string self);

    /// Returns the next request, if one is due. Only a candidate claims and
    /// renews the lease. No other request is returned until the outcome of this
    /// one has been recorded.
    lease_action next_action(time_point now, bool candidate);

    /// Records the response to a read; `found` has no value when the row is
    /// missing.
    void on_row(time_point now, const std::optional<lease_row>& found);

    /// Records that a write sent at `sent` has committed with this row version.
    void on_committed(time_point now, time_point sent, std::int64_t version);
    /// Records that a write failed because the row has another version, and
    /// drops the lease.
    void on_conflict();

    /// Records that the response to a write was lost. The next read determines
    /// its outcome.
    void on_unknown(time_point sent);

    /// Records a failed read, or a write that certainly had no effect.
    void on_failed();

    /// Drops the lease because an engine has seen a higher fencing number.
    void on_higher_number();

    /// Returns whether this node holds the lease and the lease has not expired.
    bool is_held(time_point now) const;

    /// Returns whether an order may be sent now. `engines_check` states whether
    /// the engines check fencing numbers.
    bool may_order(time_point now, bool engines_check) const;

    /// Returns the fencing number of the last lease held.
    std::int64_t fencing_number() const;

private:
    void drop();

    lease_settings settings;
    std::string holder_name;
    bool in_flight = false;
    std::optional<time_point> unknown_write;
    std::optional<time_point> last_read;
    std::optional<lease_row> observed;
    time_point observed_since;
    bool held = false;
    std::int64_t held_number = 0;
    time_point held_from;
    time_point orders_allowed_from;
};

} // namespace chicory::orders

#endif
