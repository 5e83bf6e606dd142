#include "policy/membership/gossip.hpp"

#include <utility>

namespace chicory::membership
{

gossip::gossip(
    gossip_settings initial_settings,
    vm self,
    std::uint64_t seed,
    time_point now)
    : settings(initial_settings), self_id(self.id), generator(seed),
      members(seed),
      writer(initial_settings, this->self_id, this->members, now),
      probes(
          initial_settings,
          this->self_id,
          this->members,
          this->writer,
          this->generator),
      suspects(initial_settings.refutation_time),
      partition(initial_settings, this->members), last_tick(now),
      next_period(now), next_reconnect(now),
      next_cleanup(now + initial_settings.tombstone_time)
{
    const member_status initial_status{self.incarnation, 0, vm_state::alive};
    this->members.apply({this->self_id, initial_status, std::move(self)}, now);
    // A random offset keeps members that start together from probing at the
    // same time.
    std::uniform_int_distribution<duration::rep> offset(
        0, this->settings.period.count());
    this->next_period += duration(offset(this->generator));
}

std::vector<outgoing_gossip> gossip::on_tick(time_point now)
{
    datagrams out;
    this->handle_pause(now);
    this->last_tick = now;
    for (const std::string& id : this->probes.check(out, now))
    {
        this->suspect(id, now);
    }
    if (now >= this->next_period)
    {
        this->next_period = now + this->settings.period;
        this->check_suspects(out, now);
        this->probes.probe_next(out, now);
        this->send_updates(out, now);
    }
    if (now >= this->next_reconnect)
    {
        this->next_reconnect = now + this->settings.reconnect_interval;
        this->probes.reconnect(out, now);
    }
    if (now >= this->next_cleanup)
    {
        this->next_cleanup = now + this->settings.tombstone_time / 24;
        this->members.remove_dead(now - this->settings.tombstone_time);
    }
    return out;
}

std::vector<outgoing_gossip>
gossip::on_message(time_point now, const gossip_message& message)
{
    datagrams out;
    if (message.sender == this->self_id)
    {
        return out;
    }
    for (const member_update& update : message.updates)
    {
        this->apply_update(update, now, update_source::member);
    }
    this->record_contact(message.sender, now);
    this->revisions.on_member_revision(message.sender, message.revision);
    switch (message.kind)
    {
    case gossip_kind::ping:
        this->probes.on_ping(out, message, now);
        break;
    case gossip_kind::ack:
        if (this->probes.on_ack(out, message, now))
        {
            this->on_direct_ack(message.sender);
        }
        break;
    case gossip_kind::ping_request:
        this->probes.on_ping_request(out, message, now);
        break;
    case gossip_kind::updates:
        break;
    }
    return out;
}

void gossip::on_update(
    time_point now, const member_update& update, update_source source)
{
    this->apply_update(update, now, source);
}

void gossip::set_revision(std::int64_t revision)
{
    if (this->revisions.set_own(revision, this->writer.transmit_limit()))
    {
        this->writer.set_revision(revision);
    }
}

std::int64_t gossip::highest_revision() const
{
    return this->revisions.highest();
}

const std::string& gossip::holder_of_highest() const
{
    return this->revisions.holder();
}

void gossip::leave(time_point now)
{
    this->announce_state(this->self_id, vm_state::leaving, now);
}

void gossip::stay(time_point now)
{
    const member_record& self = *this->members.find(this->self_id);
    member_status refuted = self.status;
    ++refuted.refutation;
    refuted.state = vm_state::alive;
    this->members.apply({this->self_id, refuted, std::nullopt}, now);
}

void gossip::update_own_details(time_point now, const vm& listed)
{
    const member_record& self = *this->members.find(this->self_id);
    vm own_details = listed;
    own_details.incarnation = self.details.incarnation;
    own_details.state = self.details.state;
    if (own_details == self.details)
    {
        return;
    }
    member_status refuted = self.status;
    ++refuted.refutation;
    this->members.apply({this->self_id, refuted, own_details}, now);
}

const std::string& gossip::self() const
{
    return this->self_id;
}

std::uint64_t gossip::version() const
{
    return this->members.version();
}

fleet_view gossip::view() const
{
    fleet_view live_view;
    live_view.version = this->members.version();
    for (const auto& [id, record] : this->members.records())
    {
        if (record.status.state != vm_state::dead)
        {
            live_view.vms.push_back(record.details);
        }
    }
    return live_view;
}

const member_table& gossip::table() const
{
    return this->members;
}

void gossip::handle_pause(time_point now)
{
    const duration gap = now - this->last_tick;
    if (gap >= this->settings.pause_threshold)
    {
        this->probes.discard_probes();
        this->suspects.extend(gap);
    }
}

void gossip::suspect(const std::string& id, time_point now)
{
    const member_record* record = this->members.find(id);
    if (record == nullptr || record->status.state == vm_state::dead)
    {
        return;
    }
    this->suspects.add(id, now);
    if (record->status.state == vm_state::alive)
    {
        this->announce_state(id, vm_state::suspect, now);
    }
}

void gossip::check_suspects(datagrams& out, time_point now)
{
    for (const std::string& id :
         this->suspects.remove_expired(this->members, now))
    {
        this->announce_state(id, vm_state::dead, now);
    }
    if (this->writer.available(now) == 0)
    {
        return;
    }
    // Only one suspect is pinged in each period: when a zone is isolated there
    // are many suspects, and each of them is pinged by many members.
    const std::string receiver = this->suspects.choose(this->generator);
    if (!receiver.empty())
    {
        this->probes.ping(out, receiver, now);
    }
}

void gossip::send_updates(datagrams& out, time_point now)
{
    if (!this->writer.has_fresh_updates() &&
        !this->revisions.has_transmissions_left())
    {
        return;
    }
    if (this->writer.available(now) < this->settings.max_message_bytes)
    {
        return;
    }
    this->revisions.record_transmission();
    const std::vector<std::string> receivers = choose_members(
        this->members,
        this->settings.fanout,
        this->self_id,
        {},
        this->generator);
    for (const std::string& id : receivers)
    {
        gossip_message message;
        message.kind = gossip_kind::updates;
        this->writer.send(out, id, std::move(message), now);
    }
}

void gossip::apply_update(
    const member_update& update, time_point now, update_source source)
{
    if (update.id == this->self_id)
    {
        this->refute(update, now);
        return;
    }
    if (this->members.apply(
            {update.id,
             this->partition.downgrade_sudden_death(update),
             update.details},
            now,
            source))
    {
        this->partition.evaluate(now);
        this->probes.cancel_details_request(update.id);
        const member_record& record = *this->members.find(update.id);
        if (record.status.state == vm_state::suspect)
        {
            this->suspects.add(update.id, now);
        }
        else
        {
            this->suspects.remove(update.id);
        }
        return;
    }
    const bool unknown = this->members.find(update.id) == nullptr &&
                         update.status.state != vm_state::dead;
    if (unknown)
    {
        this->probes.request_details(update.id);
    }
}

void gossip::record_contact(const std::string& sender, time_point now)
{
    const contact_effect effect = this->partition.on_contact(sender, now);
    if (effect == contact_effect::sender_alive)
    {
        this->suspects.remove(sender);
    }
    if (effect == contact_effect::partition_healed)
    {
        this->suspects.clear();
    }
}

void gossip::on_direct_ack(const std::string& sender)
{
    const member_record* record = this->members.find(sender);
    if (record != nullptr && record->status.state == vm_state::leaving)
    {
        this->suspects.remove(sender);
    }
}

void gossip::refute(const member_update& update, time_point now)
{
    const member_record& self = *this->members.find(this->self_id);
    if (update.status <= self.status)
    {
        return;
    }
    if (update.status.incarnation > self.status.incarnation)
    {
        // An earlier process of this VM had a clock that was ahead. Updates
        // about that process do not apply to this one.
        member_status restarted = self.status;
        restarted.incarnation = update.status.incarnation + 1;
        restarted.refutation = 0;
        this->members.apply({this->self_id, restarted, self.details}, now);
        return;
    }
    const vm_state announced_state = update.status.state == vm_state::leaving
                                         ? vm_state::leaving
                                         : vm_state::alive;
    member_status refuted = update.status;
    ++refuted.refutation;
    refuted.state = self.status.state == vm_state::leaving ? vm_state::leaving
                                                           : announced_state;
    this->members.apply({this->self_id, refuted, self.details}, now);
}

void gossip::announce_state(
    const std::string& id, vm_state state, time_point now)
{
    member_status status = this->members.find(id)->status;
    status.state = state;
    this->members.apply({id, status, std::nullopt}, now);
    this->partition.evaluate(now);
}

} // namespace chicory::membership
