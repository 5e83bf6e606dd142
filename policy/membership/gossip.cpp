#include "policy/membership/gossip.hpp"

#include <utility>

namespace chicory::membership
{

gossip::gossip(
    gossip_settings initial, vm self, std::uint64_t seed, time_point now)
    : settings(initial), self_id(self.id), generator(seed), members(seed),
      writer(initial, this->self_id, this->members, now),
      probes(
          initial, this->self_id, this->members, this->writer, this->generator),
      suspects(initial.suspicion), partition(initial, this->members),
      last_tick(now), next_period(now), next_reconnect(now),
      next_forget(now + initial.tombstone_time)
{
    const member_status first{self.incarnation, 0, vm_state::alive};
    this->members.apply({this->self_id, first, std::move(self)}, now);
    // Members that start together must not probe in step.
    std::uniform_int_distribution<duration::rep> offset(
        0, this->settings.period.count());
    this->next_period += duration(offset(this->generator));
}

std::vector<outgoing_gossip> gossip::on_tick(time_point now)
{
    datagrams out;
    this->forgive_pause(now);
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
        this->spread_news(out, now);
    }
    if (now >= this->next_reconnect)
    {
        this->next_reconnect = now + this->settings.reconnect_interval;
        this->probes.reconnect(out, now);
    }
    if (now >= this->next_forget)
    {
        this->next_forget = now + this->settings.tombstone_time / 24;
        this->members.forget_dead(now - this->settings.tombstone_time);
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
    for (const member_update& heard : message.updates)
    {
        this->take(heard, now, update_source::member);
    }
    this->take_return(message.sender, now);
    this->revisions.hear(message.sender, message.revision);
    switch (message.kind)
    {
    case gossip_kind::ping:
        this->probes.on_ping(out, message, now);
        break;
    case gossip_kind::ack:
        if (this->probes.on_ack(out, message, now))
        {
            this->take_answer(message.sender);
        }
        break;
    case gossip_kind::ping_request:
        this->probes.on_ping_request(out, message, now);
        break;
    case gossip_kind::news:
        break;
    }
    return out;
}

void gossip::on_update(
    time_point now, const member_update& heard, update_source source)
{
    this->take(heard, now, source);
}

void gossip::set_revision(std::int64_t revision)
{
    if (this->revisions.set_own(revision, this->writer.tell_limit()))
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
    this->say(this->self_id, vm_state::leaving, now);
}

void gossip::stay(time_point now)
{
    const member_record& self = *this->members.find(this->self_id);
    member_status back = self.status;
    ++back.refutation;
    back.state = vm_state::alive;
    this->members.apply({this->self_id, back, std::nullopt}, now);
}

void gossip::set_place(time_point now, const vm& listed)
{
    const member_record& self = *this->members.find(this->self_id);
    vm placed = listed;
    placed.incarnation = self.details.incarnation;
    placed.state = self.details.state;
    if (placed == self.details)
    {
        return;
    }
    member_status moved = self.status;
    ++moved.refutation;
    this->members.apply({this->self_id, moved, placed}, now);
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
    fleet_view seen;
    seen.version = this->members.version();
    for (const auto& [id, record] : this->members.records())
    {
        if (record.status.state != vm_state::dead)
        {
            seen.vms.push_back(record.details);
        }
    }
    return seen;
}

const member_table& gossip::table() const
{
    return this->members;
}

void gossip::forgive_pause(time_point now)
{
    const duration gap = now - this->last_tick;
    if (gap >= this->settings.pause_limit)
    {
        this->probes.forget_probes();
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
        this->say(id, vm_state::suspect, now);
    }
}

void gossip::check_suspects(datagrams& out, time_point now)
{
    for (const std::string& id :
         this->suspects.take_expired(this->members, now))
    {
        this->say(id, vm_state::dead, now);
    }
    if (this->writer.available(now) == 0)
    {
        return;
    }
    // One suspect in each period: when a zone is cut off there are many, and
    // each of them hears from many members.
    const std::string told = this->suspects.choose(this->generator);
    if (!told.empty())
    {
        this->probes.ping(out, told, now);
    }
}

void gossip::spread_news(datagrams& out, time_point now)
{
    if (!this->writer.has_fresh_news() && !this->revisions.is_news())
    {
        return;
    }
    if (this->writer.available(now) < this->settings.max_message_bytes)
    {
        return;
    }
    this->revisions.count_tell();
    const std::vector<std::string> receivers = choose_members(
        this->members,
        this->settings.fanout,
        this->self_id,
        {},
        this->generator);
    for (const std::string& id : receivers)
    {
        gossip_message message;
        message.kind = gossip_kind::news;
        this->writer.send(out, id, std::move(message), now);
    }
}

void gossip::take(
    const member_update& heard, time_point now, update_source source)
{
    if (heard.id == this->self_id)
    {
        this->contradict(heard, now);
        return;
    }
    if (this->members.apply(
            {heard.id, this->partition.soften(heard), heard.details},
            now,
            source))
    {
        this->partition.judge(now);
        this->probes.want_no_more(heard.id);
        const member_record& record = *this->members.find(heard.id);
        if (record.status.state == vm_state::suspect)
        {
            this->suspects.add(heard.id, now);
        }
        else
        {
            this->suspects.remove(heard.id);
        }
        return;
    }
    const bool unknown = this->members.find(heard.id) == nullptr &&
                         heard.status.state != vm_state::dead;
    if (unknown)
    {
        this->probes.want(heard.id);
    }
}

void gossip::take_return(const std::string& sender, time_point now)
{
    const return_effect effect = this->partition.notice_return(sender, now);
    if (effect == return_effect::sender_alive)
    {
        this->suspects.remove(sender);
    }
    if (effect == return_effect::cut_over)
    {
        this->suspects.clear();
    }
}

void gossip::take_answer(const std::string& sender)
{
    const member_record* record = this->members.find(sender);
    if (record != nullptr && record->status.state == vm_state::leaving)
    {
        this->suspects.remove(sender);
    }
}

void gossip::contradict(const member_update& heard, time_point now)
{
    const member_record& self = *this->members.find(this->self_id);
    if (heard.status <= self.status)
    {
        return;
    }
    if (heard.status.incarnation > self.status.incarnation)
    {
        // An earlier process of this VM had a clock that was ahead. What was
        // said of that process does not hold for this one.
        member_status later = self.status;
        later.incarnation = heard.status.incarnation + 1;
        later.refutation = 0;
        this->members.apply({this->self_id, later, self.details}, now);
        return;
    }
    const vm_state worst = heard.status.state == vm_state::leaving
                               ? vm_state::leaving
                               : vm_state::alive;
    member_status answer = heard.status;
    ++answer.refutation;
    answer.state =
        self.status.state == vm_state::leaving ? vm_state::leaving : worst;
    this->members.apply({this->self_id, answer, self.details}, now);
}

void gossip::say(const std::string& id, vm_state state, time_point now)
{
    member_status said = this->members.find(id)->status;
    said.state = state;
    this->members.apply({id, said, std::nullopt}, now);
    this->partition.judge(now);
}

} // namespace chicory::membership
