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
    std::vector<std::string> candidates;
    for (const auto& [id, record] : members.records())
    {
        const bool is_eligible = record.details.role == vm_role::entry &&
                                 record.status.state == vm_state::alive &&
                                 id != self && id != except;
        if (is_eligible)
        {
            candidates.push_back(id);
        }
    }
    std::vector<std::string> chosen;
    std::sample(
        candidates.begin(),
        candidates.end(),
        std::back_inserter(chosen),
        count,
        generator);
    return chosen;
}

prober::prober(
    const gossip_settings& initial_settings,
    std::string self,
    member_table& table,
    gossip_writer& message_writer,
    std::mt19937_64& random_generator)
    : settings(initial_settings), self_id(std::move(self)), members(table),
      writer(message_writer), generator(random_generator),
      probes(initial_settings.direct_timeout, initial_settings.probe_timeout)
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
    for (const std::string& missing : this->detail_requests)
    {
        if (message.detail_requests.size() ==
            this->settings.max_detail_requests)
        {
            break;
        }
        message.detail_requests.push_back(missing);
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
        this->request_indirect_probes(out, unanswered, now);
    }
    return std::move(due.timed_out);
}

void prober::request_indirect_probes(
    std::vector<outgoing_gossip>& out,
    const open_probe& unanswered,
    time_point now)
{
    gossip_message repeated_ping;
    repeated_ping.kind = gossip_kind::ping;
    repeated_ping.sequence = unanswered.sequence;
    this->writer.send(out, unanswered.target, std::move(repeated_ping), now);
    for (const std::string& indirect_prober : choose_members(
             this->members,
             this->settings.indirect_probers,
             this->self_id,
             unanswered.target,
             this->generator))
    {
        gossip_message request;
        request.kind = gossip_kind::ping_request;
        request.sequence = unanswered.sequence;
        request.target = unanswered.target;
        this->writer.send(out, indirect_prober, std::move(request), now);
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
        const bool is_dead = record.details.role == vm_role::entry &&
                             record.status.state == vm_state::dead &&
                             id != this->self_id;
        if (is_dead)
        {
            dead.push_back(id);
        }
    }
    if (dead.empty())
    {
        return;
    }
    std::uniform_int_distribution<std::size_t> index_distribution(
        0, dead.size() - 1);
    this->ping(out, dead[index_distribution(this->generator)], now);
}

void prober::on_ping(
    std::vector<outgoing_gossip>& out,
    const gossip_message& message,
    time_point now)
{
    gossip_message ack;
    ack.kind = gossip_kind::ack;
    ack.sequence = message.sequence;
    const bool is_within_budget = this->writer.available(now) > 0;
    for (const std::string& id : message.detail_requests)
    {
        if (is_within_budget && this->members.find(id) != nullptr)
        {
            ack.updates.push_back(this->members.make_update(id, true));
        }
    }
    if (this->members.find(message.sender) == nullptr)
    {
        this->detail_requests.insert(message.sender);
    }
    this->writer.send(out, message.sender, std::move(ack), now);
}

bool prober::on_ack(
    std::vector<outgoing_gossip>& out,
    const gossip_message& message,
    time_point now)
{
    if (const std::optional<relayed_probe> relayed =
            this->probes.take_relay(message.sequence))
    {
        gossip_message ack;
        ack.kind = gossip_kind::ack;
        ack.sequence = relayed->sequence;
        this->writer.send(out, relayed->origin, std::move(ack), now);
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
    gossip_message relayed;
    relayed.kind = gossip_kind::ping;
    relayed.sequence = ++this->last_sequence;
    this->probes.add_relay(
        relayed.sequence, {message.sender, message.sequence, now});
    this->writer.send(out, message.target, std::move(relayed), now);
}

void prober::request_details(const std::string& id)
{
    this->detail_requests.insert(id);
}

void prober::cancel_details_request(const std::string& id)
{
    this->detail_requests.erase(id);
}

void prober::discard_probes()
{
    this->probes.close_all();
}

} // namespace chicory::membership
