#ifndef CHICORY_POLICY_ORDERS_ORDER_LEASE_HPP
#define CHICORY_POLICY_ORDERS_ORDER_LEASE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chicory::orders
{

/// Times of the lease under which one node gives orders to a pool.
struct lease_settings
{
    /// An observer may take a lease that did not change for this long.
    duration lease_time = std::chrono::seconds(15);
    /// Time between two renewals.
    duration renew_interval = std::chrono::seconds(4);
    /// Time between two looks at a lease that another node holds.
    duration read_interval = std::chrono::seconds(2);
    /// No order is sent in this last part of the lease.
    duration margin = std::chrono::seconds(5);
    /// Longest time that a holder may be paused between its last check and
    /// the arrival of an order, for engines that ignore fencing numbers.
    duration max_pause = std::chrono::seconds(20);
};

/// The lease's row as it was read. The row's version is the fencing number.
struct lease_row
{
    std::string holder;
    std::int64_t version = 0;
};

/// What the lease needs next.
enum class lease_step
{
    none,
    read,
    write,
};

/// The next step; a write is held back unless the row has the version.
struct lease_action
{
    lease_step step = lease_step::none;
    std::int64_t expected_version = 0;
};

/// Lease of one pool as one node sees it. Expiry is judged on the node's own
/// clock: a holder counts from when it sent its last write, an observer from
/// when it first saw the row's version, which is later.
class order_lease
{
public:
    /// `self` names the process, not only the VM: it must differ after a
    /// restart.
    order_lease(lease_settings initial, std::string self);

    /// Returns what to do now. Only a candidate takes and renews the lease.
    lease_action next_action(time_point now, bool candidate);

    /// Takes the answer of a read; nothing when the row is missing.
    void on_row(time_point now, const std::optional<lease_row>& found);

    /// Takes the answer of a write that was sent at `sent`.
    void on_committed(time_point now, time_point sent, std::int64_t version);
    void on_conflict();

    /// A write whose answer was lost is settled by the next read.
    void on_unknown(time_point sent);

    /// A read or a write that certainly had no effect.
    void on_failed();

    /// An engine knows of a higher number.
    void on_higher_number();

    bool is_held(time_point now) const;

    /// Returns whether an order may be sent now, to engines that check the
    /// fencing number or to those that ignore it.
    bool may_order(time_point now, bool engines_check) const;

    /// Fencing number of the lease held.
    std::int64_t fencing_number() const;

private:
    void lose();

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
    time_point orders_from;
};

} // namespace chicory::orders

#endif
