#include "policy/orders/order_lease.hpp"

#include <utility>

namespace chicory::orders
{

order_lease::order_lease(lease_settings initial, std::string self)
    : settings(initial), holder_name(std::move(self))
{
}

lease_action order_lease::next_action(time_point now, bool candidate)
{
    if (this->in_flight)
    {
        return {};
    }
    if (this->unknown_write)
    {
        this->in_flight = true;
        return {lease_step::read, 0};
    }
    if (this->held && !this->is_held(now))
    {
        this->drop();
    }
    if (!candidate)
    {
        return {};
    }
    if (this->held)
    {
        if (now - this->held_from < this->settings.renew_interval)
        {
            return {};
        }
        this->in_flight = true;
        return {lease_step::write, this->held_number};
    }
    const bool stale = !this->last_read ||
                       now - *this->last_read >= this->settings.read_interval;
    if (stale)
    {
        this->in_flight = true;
        return {lease_step::read, 0};
    }
    const bool expired = !this->observed || now - this->observed_since >=
                                                this->settings.lease_time;
    if (!expired)
    {
        return {};
    }
    this->in_flight = true;
    return {lease_step::write, this->observed ? this->observed->version : 0};
}

void order_lease::on_row(time_point now, const std::optional<lease_row>& found)
{
    this->in_flight = false;
    this->last_read = now;
    const std::optional<time_point> sent =
        std::exchange(this->unknown_write, std::nullopt);
    const bool own = found && found->holder == this->holder_name;
    if (sent && own)
    {
        this->on_committed(now, *sent, found->version);
        return;
    }
    const bool changed =
        !found || !this->observed || this->observed->version != found->version;
    if (changed)
    {
        this->observed_since = now;
    }
    this->observed = found;
    if (this->held && (!found || found->version != this->held_number))
    {
        this->drop();
    }
}

void order_lease::on_committed(
    time_point now, time_point sent, std::int64_t version)
{
    this->in_flight = false;
    if (!this->held)
    {
        // The previous holder may be paused while it sends an order.
        this->orders_allowed_from = now + this->settings.max_pause;
    }
    this->held = true;
    this->held_number = version;
    this->held_from = sent;
}

void order_lease::on_conflict()
{
    this->in_flight = false;
    this->drop();
}

void order_lease::on_unknown(time_point sent)
{
    this->in_flight = false;
    this->unknown_write = sent;
}

void order_lease::on_failed()
{
    this->in_flight = false;
}

void order_lease::on_higher_number()
{
    this->drop();
}

bool order_lease::is_held(time_point now) const
{
    return this->held && now - this->held_from < this->settings.lease_time;
}

bool order_lease::may_order(time_point now, bool engines_check) const
{
    const duration usable = this->settings.lease_time - this->settings.margin;
    const bool inside = this->held && now - this->held_from < usable;
    return inside && (engines_check || now >= this->orders_allowed_from);
}

std::int64_t order_lease::fencing_number() const
{
    return this->held_number;
}

void order_lease::drop()
{
    this->held = false;
    this->observed.reset();
    this->last_read.reset();
}

} // namespace chicory::orders
