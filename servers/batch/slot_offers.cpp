#include "servers/batch/slot_offers.hpp"

#include <algorithm>
#include <utility>

namespace chicory::batch
{

namespace
{

/// Time for which the list of owners is reused. Owners rarely change, and
/// finding them computes a hash for each pair of runner and entry VM.
constexpr std::chrono::milliseconds owner_list_lifetime(250);
constexpr std::chrono::milliseconds offer_lifetime(500);
constexpr std::chrono::milliseconds initial_backoff(200);
constexpr std::uint32_t max_backoff_doublings = 6;

} // namespace

slot_offers::slot_offers(
    dispatching::fleet_cache& initial_fleet,
    dispatching::dispatcher& initial_owners,
    std::string initial_own_vm)
    : fleet(initial_fleet), owners(initial_owners),
      own_vm(std::move(initial_own_vm)), schedule({}, hash_bytes(this->own_vm))
{
}

void slot_offers::probe(const std::set<std::string>& pools, time_point now)
{
    this->update_pool_owners(pools, now);
    std::vector<probe_target> targets;
    for (const pool_owner& entry : this->pool_owners)
    {
        targets.push_back(entry.target);
    }
    for (const std::size_t position : this->schedule.choose(targets, now))
    {
        this->send_probe(this->pool_owners[position]);
    }
}

void slot_offers::update_pool_owners(
    const std::set<std::string>& pools, time_point now)
{
    const bool is_fresh =
        this->listed_at && now - *this->listed_at < owner_list_lifetime;
    if (is_fresh && pools == this->listed_pools)
    {
        return;
    }
    this->pool_owners.clear();
    this->listed_pools = pools;
    this->listed_at = now;
    for (const std::string& name : pools)
    {
        if (const configuration::pool* pool = this->fleet.find_pool(name))
        {
            this->add_pool_owners(*pool);
        }
    }
}

void slot_offers::add_pool_owners(const configuration::pool& pool)
{
    const membership::vm* own = this->fleet.find_vm(this->own_vm);
    std::map<std::string, pool_owner> by_owner;
    for (const membership::vm* runner : this->fleet.list_runners(pool))
    {
        const membership::vm* owner =
            dispatching::choose_owner(this->fleet, *runner);
        if (owner == nullptr)
        {
            continue;
        }
        pool_owner& entry = by_owner[owner->id];
        entry.target.owner = owner->id;
        entry.target.pool = pool.name;
        entry.target.is_near = own != nullptr && own->zone == owner->zone;
        entry.runners.insert(runner->id);
    }
    for (auto& [owner, entry] : by_owner)
    {
        this->pool_owners.push_back(std::move(entry));
    }
}

void slot_offers::send_probe(const pool_owner& entry)
{
    for (const std::string& runner : entry.runners)
    {
        this->offers[runner].sent_since_probe = 0;
    }
    const probe_target& target = entry.target;
    pending_probe& pending = this->probes[{target.owner, target.pool}];
    pending.id = ++this->last_probe_id;
    pending.runners = entry.runners;
    this->owners.send(target.owner, wire::probe{pending.id, target.pool});
}

void slot_offers::receive(
    const std::string& owner, const wire::probe_reply& reply, time_point now)
{
    const auto found = this->probes.find({owner, reply.pool});
    if (found == this->probes.end() || found->second.id != reply.probe_id)
    {
        return;
    }
    std::map<std::string, std::int64_t> idle;
    for (const std::string& runner : found->second.runners)
    {
        // An owner does not list a runner that it has not contacted yet or
        // one that is dead. One item is offered, because it makes the owner
        // contact the runner.
        idle[runner] = now >= this->offers[runner].avoided_until ? 1 : 0;
    }
    found->second.id = 0;
    for (const wire::runner_state& state : reply.runners)
    {
        if (idle.contains(state.runner))
        {
            idle[state.runner] = state.idle_batch_slots;
        }
    }
    bool has_slots = false;
    for (const auto& [runner, slots] : idle)
    {
        has_slots = has_slots || slots > 0;
        offer& runner_offer = this->offers[runner];
        const auto sent =
            static_cast<std::int64_t>(runner_offer.sent_since_probe);
        runner_offer.pool = reply.pool;
        runner_offer.updated_at = now;
        runner_offer.slots =
            static_cast<std::size_t>(std::max<std::int64_t>(0, slots - sent));
    }
    this->schedule.on_reply(owner, reply.pool, has_slots, now);
}

std::vector<idle_runner> slot_offers::list(time_point now)
{
    std::vector<idle_runner> idle;
    for (const auto& [runner, runner_offer] : this->offers)
    {
        if (runner_offer.slots == 0 ||
            now - runner_offer.updated_at > offer_lifetime)
        {
            continue;
        }
        const std::size_t slots = this->window.limit(
            runner, runner_offer.slots, runner_offer.running);
        if (slots > 0)
        {
            idle.push_back({runner, runner_offer.pool, slots});
        }
    }
    return idle;
}

void slot_offers::on_sent(const std::string& runner)
{
    offer& runner_offer = this->offers[runner];
    runner_offer.slots -= std::min<std::size_t>(runner_offer.slots, 1);
    ++runner_offer.running;
    ++runner_offer.sent_since_probe;
}

void slot_offers::on_completed(const std::string& runner, time_point now)
{
    offer& runner_offer = this->offers[runner];
    runner_offer.running -= std::min<std::size_t>(runner_offer.running, 1);
    ++runner_offer.slots;
    runner_offer.refusals = 0;
    runner_offer.updated_at = now;
    this->window.on_ran(runner);
}

void slot_offers::on_refused(const std::string& runner, time_point now)
{
    offer& runner_offer = this->offers[runner];
    runner_offer.running -= std::min<std::size_t>(runner_offer.running, 1);
    runner_offer.slots = 0;
    runner_offer.avoided_until =
        now + initial_backoff *
                  (std::int64_t{1}
                   << std::min(runner_offer.refusals, max_backoff_doublings));
    ++runner_offer.refusals;
    this->window.on_refused(runner);
}

void slot_offers::on_preempted(const std::string& runner)
{
    // An online request uses the slot now. The owner reports when a slot is
    // idle again.
    offer& runner_offer = this->offers[runner];
    runner_offer.running -= std::min<std::size_t>(runner_offer.running, 1);
    runner_offer.slots = 0;
}

std::size_t slot_offers::total_slots() const
{
    std::size_t slots = 0;
    for (const auto& [runner, runner_offer] : this->offers)
    {
        slots += runner_offer.slots + runner_offer.running;
    }
    return slots;
}

} // namespace chicory::batch
