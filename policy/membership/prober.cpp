#include "policy/membership/prober.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace chicory::membership
{

std::vector<std::string> choose_members(
    const member_table& members,
    std::size_t count,
    const std::string& self,
    const std::string& except,
    std::mt19937_64& generator)
{
    std::vector<std::string> able;
    for (const auto& [id, record] : members.records())
    {
        const bool fit = record.details.role == vm_role::entry &&
                         record.status.state == vm_state::alive && id != self &&
                         id != except;
        if (fit)
        {
            able.push_back(id);
        }
    }
    std::vector<std::string> chosen;
    std::sample(
        able.begin(), able.end(), std::back_inserter(chosen), count, generator);
    return chosen;
}

prober::prober(
    const gossip_settings& initial,
    std::string self,
    member_table& table,
    gossip_writer& sender,
    std::mt19937_64& random)
    : settings(initial), self_id(std::move(self)), members(table),
      writer(sender), generator(random),
      probes(initial.direct_limit, initial.probe_limit)
{
}

void prober::probe_next(std::vector<outgoing_gossip>& out, time_point now)
{
    const std::string target =
        this->probes.next_target(this->members, this->self_id, this->generator);
    if (!target.empty())
    {
        this->start_probe(out, target, now);
    }
}

void prober::start_probe(
    std::vector<outgoing_gossip>& out, const std::string& id, time_point now)
{
    gossip_message message;
    message.kind = gossip_kind::ping;
    message.sequence = ++this->last_sequence;
    for (const std::string& lacking : this->wanted)
    {
        if (message.wanted.size() == this->settings.max_wanted)
        {
            break;
        }
        message.wanted.push_back(lacking);
    }
    this->probes.open(message.sequence, id, now);
    this->writer.send(out, id, std::move(message), now);
}

std::vector<std::string>
prober::check(std::vector<outgoing_gossip>& out, time_point now)
{
    due_probes due = this->probes.check(now);
    for (const open_probe& unanswered : due.unanswered)
    {
        this->ask_others(out, unanswered, now);
    }
    return std::move(due.silent);
}

void prober::ask_others(
    std::vector<outgoing_gossip>& out, const open_probe& silent, time_point now)
{
    gossip_message again;
    again.kind = gossip_kind::ping;
    again.sequence = silent.sequence;
    this->writer.send(out, silent.target, std::move(again), now);
    for (const std::string& helper : choose_members(
             this->members,
             this->settings.helpers,
             this->self_id,
             silent.target,
             this->generator))
    {
        gossip_message request;
        request.kind = gossip_kind::ping_request;
        request.sequence = silent.sequence;
        request.target = silent.target;
        this->writer.send(out, helper, std::move(request), now);
    }
}

void prober::ping(
    std::vector<outgoing_gossip>& out,
    const std::string& receiver,
    time_point now)
{
    gossip_message message;
    message.kind = gossip_kind::ping;
    message.sequence = ++this->last_sequence;
    this->writer.send(out, receiver, std::move(message), now);
}

void prober::reconnect(std::vector<outgoing_gossip>& out, time_point now)
{
    std::vector<std::string> dead;
    for (const auto& [id, record] : this->members.records())
    {
        const bool gone = record.details.role == vm_role::entry &&
                          record.status.state == vm_state::dead &&
                          id != this->self_id;
        if (gone)
        {
            dead.push_back(id);
        }
    }
    if (dead.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, dead.size() - 1);
    this->ping(out, dead[any(this->generator)], now);
}

void prober::on_ping(
    std::vector<outgoing_gossip>& out,
    const gossip_message& message,
    time_point now)
{
    gossip_message answer;
    answer.kind = gossip_kind::ack;
    answer.sequence = message.sequence;
    const bool affordable = this->writer.available(now) > 0;
    for (const std::string& id : message.wanted)
    {
        if (affordable && this->members.find(id) != nullptr)
        {
            answer.updates.push_back(this->members.make_update(id, true));
        }
    }
    if (this->members.find(message.sender) == nullptr)
    {
        this->wanted.insert(message.sender);
    }
    this->writer.send(out, message.sender, std::move(answer), now);
}

bool prober::on_ack(
    std::vector<outgoing_gossip>& out,
    const gossip_message& message,
    time_point now)
{
    if (const std::optional<relayed_probe> asked =
            this->probes.take_relay(message.sequence))
    {
        gossip_message answer;
        answer.kind = gossip_kind::ack;
        answer.sequence = asked->sequence;
        this->writer.send(out, asked->origin, std::move(answer), now);
        return false;
    }
    this->probes.close(message.sequence);
    return true;
}

void prober::on_ping_request(
    std::vector<outgoing_gossip>& out,
    const gossip_message& message,
    time_point now)
{
    gossip_message asked;
    asked.kind = gossip_kind::ping;
    asked.sequence = ++this->last_sequence;
    this->probes.add_relay(
        asked.sequence, {message.sender, message.sequence, now});
    this->writer.send(out, message.target, std::move(asked), now);
}

void prober::want(const std::string& id)
{
    this->wanted.insert(id);
}

void prober::want_no_more(const std::string& id)
{
    this->wanted.erase(id);
}

void prober::forget_probes()
{
    this->probes.close_all();
}

} // namespace chicory::membership
