#include "servers/gate/gate_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <set>
#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

/// Longest wait for the replies of the probed owners before a runner is chosen.
constexpr std::chrono::milliseconds max_probe_wait(10);

} // namespace

gate_state::probe_wait::probe_wait(const asio::any_io_executor& context)
    : timer(context)
{
}

gate_state::gate_state(
    asio::any_io_executor context,
    const vm_settings& source,
    dispatching::fleet_cache& cache,
    dispatching::dispatcher& dispatcher,
    online::quarantine& known_suspects,
    metrics& initial_counters)
    : executor(std::move(context)), settings(source), fleet(cache),
      owners(dispatcher), suspects(known_suspects), counters(initial_counters),
      chooser(source.region, source.zone, std::random_device()())
{
}

online::retry_budget& gate_state::budget_of(const configuration::route& route)
{
    const auto [found, added] =
        this->budgets.try_emplace(route.name, route.retry_budget_percent);
    found->second.set_percent(route.retry_budget_percent);
    return found->second;
}

asio::awaitable<std::string> gate_state::choose_runner(
    const configuration::pool& pool, online::runner_requirements requirements)
{
    std::vector<std::string> to_probe = this->chooser.probes_due(
        requirements, this->list_candidates(pool), read_monotonic_clock());
    co_await this->probe(pool, std::move(to_probe));
    // The list of runners may have changed during the wait.
    const std::vector<online::placed_vm> candidates =
        this->list_candidates(pool);
    const time_point now = read_monotonic_clock();
    std::string chosen = this->chooser.choose(requirements, candidates, now);
    if (chosen.empty() && !requirements.avoid.empty())
    {
        // A runner that failed before is used when there is no other one.
        requirements.avoid.clear();
        chosen = this->chooser.choose(requirements, candidates, now);
    }
    co_return chosen;
}

std::vector<online::placed_vm>
gate_state::list_candidates(const configuration::pool& pool) const
{
    std::vector<online::placed_vm> candidates;
    for (const membership::vm* runner : this->fleet.list_runners(pool))
    {
        candidates.push_back(dispatching::to_placed_vm(*runner));
    }
    return candidates;
}

asio::awaitable<void> gate_state::probe(
    const configuration::pool& pool, std::vector<std::string> runners)
{
    std::set<std::string> probed_owners;
    for (const std::string& name : runners)
    {
        const membership::vm* runner = this->fleet.find_vm(name);
        const membership::vm* owner =
            runner == nullptr ? nullptr : choose_owner(this->fleet, *runner);
        if (owner != nullptr)
        {
            probed_owners.insert(owner->id);
        }
    }
    const std::shared_ptr<probe_wait> wait =
        std::make_shared<probe_wait>(this->executor);
    std::map<std::uint64_t, std::string> sent;
    for (const std::string& owner : probed_owners)
    {
        this->last_probe_id += 1;
        sent[this->last_probe_id] = owner;
        wait->unanswered.insert(this->last_probe_id);
        this->probes[this->last_probe_id] = wait;
    }
    for (const auto& [id, owner] : sent)
    {
        this->owners.send(owner, wire::probe{id, pool.name});
    }
    if (!wait->unanswered.empty())
    {
        wait->timer.expires_after(max_probe_wait);
        co_await wait->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    for (const auto& [id, owner] : sent)
    {
        this->probes.erase(id);
    }
}

void gate_state::handle_probe_reply(const wire::probe_reply& reply)
{
    const time_point now = read_monotonic_clock();
    for (const wire::runner_state& reported : reply.runners)
    {
        online::runner_summary summary;
        summary.online_in_progress = reported.online_in_progress;
        summary.online_queued = reported.online_queued;
        summary.batch_in_progress = reported.batch_in_progress;
        summary.limit = reported.limit;
        summary.idle_batch_slots = reported.idle_batch_slots;
        summary.latency = duration(reported.latency_us);
        this->chooser.probed(reported.runner, summary, now);
    }
    const auto found = this->probes.find(reply.probe_id);
    if (found == this->probes.end())
    {
        return;
    }
    const std::shared_ptr<probe_wait> wait = found->second;
    wait->unanswered.erase(reply.probe_id);
    if (wait->unanswered.empty())
    {
        wait->timer.cancel();
    }
}

bool gate_state::begin_request(const configuration::route& route)
{
    std::int64_t& count = this->in_progress[route.name];
    if (count >= route.max_in_progress)
    {
        return false;
    }
    count += 1;
    return true;
}

void gate_state::end_request(const std::string& route)
{
    const auto found = this->in_progress.find(route);
    found->second -= 1;
    if (found->second == 0)
    {
        this->in_progress.erase(found);
    }
}

} // namespace chicory::gate
