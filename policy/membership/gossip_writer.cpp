#include "policy/membership/gossip_writer.hpp"

#include <algorithm>
#include <utility>

namespace chicory::membership
{

namespace
{

/// Bytes of a message without its updates and wanted VMs: kind, sequence,
/// revision, four lengths.
constexpr std::size_t fixed_bytes = 1 + 4 + 8 + 4;

std::size_t size_without_rumors(const gossip_message& message)
{
    std::size_t size =
        fixed_bytes + message.sender.size() + message.target.size();
    for (const std::string& id : message.wanted)
    {
        size += 1 + id.size();
    }
    return size;
}

} // namespace

gossip_writer::gossip_writer(
    const gossip_settings& initial,
    std::string self,
    member_table& table,
    time_point now)
    : settings(initial), self_id(std::move(self)), members(table),
      budget(initial.sent_bytes_per_second, now)
{
}

void gossip_writer::send(
    std::vector<outgoing_gossip>& out,
    const std::string& receiver,
    gossip_message message,
    time_point now)
{
    const member_record* record = this->members.find(receiver);
    if (record == nullptr || record->details.gossip_port == 0)
    {
        return;
    }
    message.sender = this->self_id;
    message.revision = this->own_revision;
    this->fill(message, record->details, now);
    std::size_t size =
        this->settings.header_bytes + size_without_rumors(message);
    for (const member_update& told : message.updates)
    {
        size += encoded_size(told);
    }
    this->budget.spend(size);
    out.push_back(
        {record->details.address,
         record->details.gossip_port,
         std::move(message)});
}

std::size_t gossip_writer::available(time_point now)
{
    return this->budget.available(now);
}

void gossip_writer::set_revision(std::int64_t revision)
{
    this->own_revision = revision;
}

std::size_t gossip_writer::tell_limit() const
{
    std::size_t decades = 1;
    for (std::size_t reach = 10; reach <= this->members.live_entries();
         reach *= 10)
    {
        ++decades;
    }
    return this->settings.tells_per_decade * decades;
}

bool gossip_writer::has_fresh_news() const
{
    return this->members.has_news(this->tell_limit() / 2);
}

void gossip_writer::fill(
    gossip_message& message, const vm& receiver, time_point now)
{
    std::size_t used = size_without_rumors(message);
    for (const member_update& told : message.updates)
    {
        used += encoded_size(told);
    }
    // The receiver can contradict only what it hears, and can answer only a
    // sender whose address it knows.
    if (receiver.state != vm_state::alive)
    {
        message.updates.push_back(
            this->members.make_update(receiver.id, false));
        used += encoded_size(message.updates.back());
    }
    if (receiver.incarnation == 0)
    {
        message.updates.push_back(
            this->members.make_update(this->self_id, true));
        used += encoded_size(message.updates.back());
    }
    const std::size_t most =
        std::min(this->settings.max_message_bytes, this->budget.available(now));
    std::size_t room = most - std::min(used, most);
    if (receiver.state != vm_state::dead)
    {
        this->members.take_news(message.updates, room, this->tell_limit());
    }
    // A VM believed dead gets no news, so that it always gets its turn.
    if (receiver.state == vm_state::dead || !this->has_fresh_news())
    {
        this->members.take_turn(
            message.updates, room, this->settings.turn_count);
    }
}

} // namespace chicory::membership
