#include "policy/membership/probe_schedule.hpp"

#include <algorithm>

namespace chicory::membership
{

namespace
{

bool is_probed(const member_record& record, const std::string& self)
{
    return record.details.role == vm_role::entry &&
           record.status.state != vm_state::dead && record.details.id != self;
}

} // namespace

probe_schedule::probe_schedule(
    duration initial_direct_timeout, duration initial_probe_timeout)
    : direct_timeout(initial_direct_timeout),
      probe_timeout(initial_probe_timeout)
{
}

std::string probe_schedule::next_target(
    const member_table& members,
    const std::string& self,
    std::mt19937_64& generator)
{
    while (!this->round.empty())
    {
        const std::string id = this->round.back();
        this->round.pop_back();
        const member_record* record = members.find(id);
        if (record != nullptr && is_probed(*record, self))
        {
            return id;
        }
    }
    for (const auto& [id, record] : members.records())
    {
        if (is_probed(record, self))
        {
            this->round.push_back(id);
        }
    }
    if (this->round.empty())
    {
        return {};
    }
    std::shuffle(this->round.begin(), this->round.end(), generator);
    const std::string id = this->round.back();
    this->round.pop_back();
    return id;
}

void probe_schedule::open(
    std::uint32_t sequence, std::string target, time_point now)
{
    this->probes[sequence] = {std::move(target), now, false};
}

void probe_schedule::close(std::uint32_t sequence)
{
    this->probes.erase(sequence);
}

void probe_schedule::close_all()
{
    this->probes.clear();
}

due_probes probe_schedule::check(time_point now)
{
    due_probes due;
    for (auto entry = this->probes.begin(); entry != this->probes.end();)
    {
        probe& open = entry->second;
        const duration age = now - open.sent;
        if (age >= this->probe_timeout)
        {
            due.timed_out.push_back(open.target);
            entry = this->probes.erase(entry);
            continue;
        }
        if (!open.indirect_requested && age >= this->direct_timeout)
        {
            open.indirect_requested = true;
            due.unanswered.push_back({entry->first, open.target});
        }
        ++entry;
    }
    std::erase_if(
        this->relays,
        [&](const auto& entry)
        {
            return now - entry.second.sent >= this->probe_timeout;
        });
    return due;
}

void probe_schedule::add_relay(std::uint32_t sequence, relayed_probe relayed)
{
    this->relays[sequence] = std::move(relayed);
}

std::optional<relayed_probe> probe_schedule::take_relay(std::uint32_t sequence)
{
    const auto found = this->relays.find(sequence);
    if (found == this->relays.end())
    {
        return std::nullopt;
    }
    relayed_probe relayed = std::move(found->second);
    this->relays.erase(found);
    return relayed;
}

} // namespace chicory::membership
