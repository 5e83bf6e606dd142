#include "policy/online/link_health.hpp"

namespace chicory::online
{

link_health::link_health(time_point now)
    : last_received(now), last_heartbeat(now)
{
}

void link_health::received(time_point now)
{
    if (this->current_state == link_state::dead || now <= this->last_received)
    {
        return;
    }
    this->last_received = now;
    this->current_state = link_state::healthy;
}

link_action link_health::fresh_connection(bool has_response, time_point now)
{
    this->is_testing_fresh = false;
    const bool is_silent = now - this->last_received >= suspect_after;
    if (this->current_state != link_state::suspect || !is_silent ||
        !has_response)
    {
        return link_action::none;
    }
    this->current_state = link_state::dead;
    return link_action::close;
}

link_action link_health::tick(time_point now)
{
    if (this->current_state == link_state::dead)
    {
        return link_action::none;
    }
    const duration silence = now - this->last_received;
    if (silence >= dead_after)
    {
        this->current_state = link_state::dead;
        return link_action::close;
    }
    if (silence >= suspect_after)
    {
        this->current_state = link_state::suspect;
    }
    if (this->current_state == link_state::suspect && !this->is_testing_fresh)
    {
        this->is_testing_fresh = true;
        return link_action::try_fresh_connection;
    }
    if (now - this->last_heartbeat >= heartbeat_interval)
    {
        this->last_heartbeat = now;
        return link_action::send_heartbeat;
    }
    return link_action::none;
}

link_state link_health::state() const
{
    return this->current_state;
}

} // namespace chicory::online
