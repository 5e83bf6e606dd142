#include "policy/membership/gossip_writer.hpp"

#include <algorithm>
#include <utility>

namespace chicory::membership
{

namespace
{

/// Bytes of a message without its updates and detail requests: kind, sequence,
/// revision, four lengths.
constexpr std::size_t fixed_bytes = 1 + 4 + 8 + 4;

std::size_t size_without_updates(const gossip_message& message)
{
    std::size_t size =
        fixed_bytes + message.sender.size() + message.target.size();
    for (const std::string& id : message.detail_requests)
    {
        size += 1 + id.size();
    }
    return size;
}

} // namespace

gossip_writer::gossip_writer(
    const gossip_settings& initial_settings,
    std::string self,
    member_table& table,
    time_point now)
    : settings(initial_settings), self_id(std::move(self)), members(table),
      budget(initial_settings.sent_bytes_per_second, now)
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
        this->settings.header_bytes + size_without_updates(message);
    for (const member_update& update : message.updates)
    {
        size += encoded_size(update);
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

std::size_t gossip_writer::transmit_limit() const
{
    std::size_t decades = 1;
    for (std::size_t power_of_ten = 10;
         power_of_ten <= this->members.live_entries();
         power_of_ten *= 10)
    {
        ++decades;
    }
    return this->settings.transmits_per_decade * decades;
}

bool gossip_writer::has_fresh_updates() const
{
    return this->members.has_pending_updates(this->transmit_limit() / 2);
}

void gossip_writer::fill(
    gossip_message& message, const vm& receiver, time_point now)
{
    std::size_t used = size_without_updates(message);
    for (const member_update& update : message.updates)
    {
        used += encoded_size(update);
    }
    // The receiver can refute only a status that it receives, and can respond
    // only to a sender whose address it knows.
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
    const std::size_t max_bytes =
        std::min(this->settings.max_message_bytes, this->budget.available(now));
    std::size_t remaining_bytes = max_bytes - std::min(used, max_bytes);
    if (receiver.state != vm_state::dead)
    {
        this->members.take_updates(
            message.updates, remaining_bytes, this->transmit_limit());
    }
    // A VM that is believed dead receives no pending updates, so that these
    // never displace its round-robin entries.
    if (receiver.state == vm_state::dead || !this->has_fresh_updates())
    {
        this->members.take_round_robin(
            message.updates, remaining_bytes, this->settings.round_robin_count);
    }
}

} // namespace chicory::membership
