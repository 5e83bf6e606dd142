#include "servers/gate/runner_owner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;

namespace
{

/// Time for which a complete response is stored, so that it can be sent again.
constexpr std::chrono::seconds response_retention(10);

online::queued_run to_queued_run(const owned_run& source, time_point now)
{
    online::queued_run queued;
    queued.id = source.id;
    queued.kind = source.request.kind == wire::work_class::online
                      ? online::work_class::online
                      : online::work_class::batch;
    queued.member = source.request.member;
    queued.deadline = now + duration(source.request.time_left_us);
    queued.fingerprint = source.request.fingerprint;
    queued.suspect = source.request.suspect;
    queued.not_repeatable = source.request.not_repeatable;
    return queued;
}

} // namespace

runner_owner::runner_owner(
    asio::any_io_executor context,
    dispatching::fleet_cache& cache,
    backend::backend_server& port,
    online::quarantine& known_suspects,
    metrics& initial_counters,
    std::string vm_id)
    : executor(context), fleet(cache), servers(port), suspects(known_suspects),
      counters(initial_counters), own_vm(std::move(vm_id)), timer(context)
{
}

void runner_owner::set_notice_hook(notice_hook hook)
{
    this->on_notice = std::move(hook);
}

void runner_owner::start()
{
    asio::co_spawn(this->executor, this->watch(), asio::detached);
}

void runner_owner::drain()
{
    this->draining = true;
}

void runner_owner::handle_message(
    const wire::message& value, const reply_hook& reply)
{
    if (const auto* request = std::get_if<wire::dispatch>(&value))
    {
        this->accept(*request, reply);
    }
    if (const auto* request = std::get_if<wire::cancel_attempt>(&value))
    {
        this->cancel(*request);
    }
    if (const auto* request = std::get_if<wire::resume_response>(&value))
    {
        this->resume(*request, reply);
    }
    if (const auto* probe = std::get_if<wire::probe>(&value))
    {
        this->reply_to_probe(*probe, reply);
    }
}

std::size_t runner_owner::in_progress() const
{
    return this->runs.size();
}

bool runner_owner::owns(const membership::vm& runner) const
{
    const membership::vm* owner = choose_owner(this->fleet, runner);
    return owner != nullptr && owner->id == this->own_vm;
}

std::optional<reason>
runner_owner::find_refusal_reason(const wire::dispatch& request) const
{
    const membership::vm* runner = this->fleet.find_vm(request.runner);
    if (runner == nullptr || this->fleet.find_pool(request.pool) == nullptr)
    {
        return reason::no_runner;
    }
    // With no other gate in service, the requests in progress on this gate have
    // no other owner for their attempts.
    if (this->draining && !this->fleet.list_entry_vms().empty())
    {
        return reason::draining;
    }
    if (runner->state == membership::vm_state::leaving)
    {
        return reason::runner_leaving;
    }
    // A leaving gate owns no runner in its own view, but still accepts attempts
    // from gates that have not received its leaving notice yet.
    const membership::vm* own = this->fleet.find_vm(this->own_vm);
    const bool is_staying =
        own == nullptr || own->state == membership::vm_state::alive;
    if (is_staying && !this->owns(*runner))
    {
        return reason::owner_unreachable;
    }
    if (this->is_unreachable(request.runner))
    {
        return reason::runner_unreachable;
    }
    const online::quarantine_decision decision =
        this->suspects.judge(request.fingerprint, read_monotonic_clock());
    if (decision == online::quarantine_decision::quarantined)
    {
        return reason::quarantined;
    }
    return std::nullopt;
}

bool runner_owner::is_unreachable(const std::string& runner) const
{
    const auto found = this->runners.find(runner);
    return found != this->runners.end() && found->second.unreachable;
}

runner_owner::owned_runner& runner_owner::find_or_add_runner(
    const std::string& name, const configuration::pool& pool)
{
    const auto [found, added] = this->runners.try_emplace(
        name, pool.slots_per_runner, pool.harm_weight);
    found->second.slots = pool.slots_per_runner;
    found->second.harm_weight = pool.harm_weight;
    return found->second;
}

void runner_owner::accept(
    const wire::dispatch& request, const reply_hook& reply)
{
    const membership::vm* runner = this->fleet.find_vm(request.runner);
    const net::endpoint server =
        runner == nullptr ? net::endpoint()
                          : net::endpoint{runner->address, runner->http_port};
    const run_pointer accepted =
        std::make_shared<owned_run>(request, server, reply);
    if (const auto refusal_reason = this->find_refusal_reason(request))
    {
        accepted->send_failure(
            wire::attempt_outcome::refused_not_run, *refusal_reason);
        return;
    }
    if (this->runs.contains(accepted->id))
    {
        return;
    }
    const time_point now = read_monotonic_clock();
    // A quarantine notice may have reached this gate before the sender.
    accepted->request.suspect =
        request.suspect || this->suspects.judge(request.fingerprint, now) ==
                               online::quarantine_decision::suspect;
    this->runs[accepted->id] = accepted;
    const configuration::pool& pool = *this->fleet.find_pool(request.pool);
    owned_runner& owned = this->find_or_add_runner(request.runner, pool);
    this->apply(owned.queue.arrive(to_queued_run(*accepted, now), now));
}

void runner_owner::cancel(const wire::cancel_attempt& request)
{
    const std::string id =
        owned_run::make_id(request.request_id, request.attempt);
    const auto found = this->runs.find(id);
    if (found == this->runs.end())
    {
        return;
    }
    const run_pointer run = found->second;
    const auto owned = this->runners.find(run->request.runner);
    if (owned == this->runners.end() || !owned->second.queue.knows(id))
    {
        this->cancel_sent(id, reason::caller_gone);
        return;
    }
    this->apply(owned->second.queue.cancel(id, read_monotonic_clock()));
    if (!owned->second.queue.knows(id))
    {
        this->runs.erase(id);
    }
}

void runner_owner::resume(
    const wire::resume_response& request, const reply_hook& reply)
{
    const std::string id =
        owned_run::make_id(request.request_id, request.attempt);
    log_event(
        event::answer_resumed,
        {{"request", request.request_id}, {"offset", request.offset}});
    if (const auto found = this->runs.find(id); found != this->runs.end())
    {
        found->second->resume(request.offset, reply);
        return;
    }
    const auto completed = std::ranges::find_if(
        this->completed_runs,
        [&id](const completed_run& candidate)
        {
            return candidate.run->id == id;
        });
    if (completed != this->completed_runs.end())
    {
        completed->run->resume(request.offset, reply);
        return;
    }
    wire::dispatch source;
    source.request_id = request.request_id;
    source.attempt = request.attempt;
    source.runner = request.runner;
    const membership::vm* runner = this->fleet.find_vm(request.runner);
    if (runner == nullptr)
    {
        owned_run unknown(source, {}, reply);
        unknown.send_failure(wire::attempt_outcome::unknown, reason::no_runner);
        return;
    }
    const net::endpoint server = {runner->address, runner->http_port};
    const run_pointer fetched =
        std::make_shared<owned_run>(source, server, reply);
    fetched->set_first_offset(request.offset);
    this->runs[id] = fetched;
    asio::co_spawn(this->executor, this->fetch(fetched), asio::detached);
}

void runner_owner::reply_to_probe(
    const wire::probe& probe, const reply_hook& reply)
{
    wire::probe_reply response;
    response.probe_id = probe.probe_id;
    response.pool = probe.pool;
    const configuration::pool* pool = this->fleet.find_pool(probe.pool);
    const time_point now = read_monotonic_clock();
    for (const auto& [name, owned] : this->runners)
    {
        const membership::vm* runner = this->fleet.find_vm(name);
        if (pool == nullptr || runner == nullptr || owned.dead ||
            owned.unreachable || runner->service != pool->service ||
            !this->owns(*runner))
        {
            continue;
        }
        const online::runner_summary summary = owned.queue.summary(now);
        wire::runner_state state;
        state.runner = name;
        state.online_in_progress = summary.online_in_progress;
        state.online_queued = summary.online_queued;
        state.batch_in_progress = summary.batch_in_progress;
        state.limit = summary.limit;
        state.idle_batch_slots = this->draining ? 0 : summary.idle_batch_slots;
        state.latency_us = summary.latency.count();
        response.runners.push_back(std::move(state));
    }
    reply(std::move(response));
}

void runner_owner::apply(const online::queue_actions& actions)
{
    for (const online::queue_action& action : actions)
    {
        if (const auto* to_send = std::get_if<online::send_run>(&action))
        {
            this->send(to_send->id);
        }
        if (const auto* to_cancel = std::get_if<online::cancel_run>(&action))
        {
            this->cancel_sent(to_cancel->id, to_cancel->why);
        }
        if (const auto* refusal = std::get_if<online::refuse_run>(&action))
        {
            this->refuse(*refusal);
        }
        if (const auto* loss = std::get_if<online::lost_run>(&action))
        {
            this->fail_lost_run(loss->id);
        }
    }
}

void runner_owner::send(const std::string& id)
{
    const run_pointer started = this->runs.at(id);
    asio::co_spawn(this->executor, this->execute(started), asio::detached);
}

void runner_owner::cancel_sent(const std::string& id, reason why)
{
    const run_pointer run = this->runs.at(id);
    if (run->cancelled)
    {
        return;
    }
    run->cancelled = true;
    run->cancel_reason = why;
    if (why == reason::yielded_to_online)
    {
        log_event(event::batch_yielded, {{"request", run->request.request_id}});
        this->counters.add("batch_yields_total");
    }
    asio::co_spawn(this->executor, this->cancel_on_runner(run), asio::detached);
}

void runner_owner::refuse(const online::refuse_run& refusal)
{
    const run_pointer refused = this->runs.at(refusal.id);
    this->runs.erase(refusal.id);
    refused->send_failure(
        wire::attempt_outcome::refused_not_run,
        refusal.why,
        refusal.retry_after);
}

void runner_owner::fail_lost_run(const std::string& id)
{
    const run_pointer run = this->runs.at(id);
    this->runs.erase(id);
    run->runner_lost = true;
    run->send_failure(wire::attempt_outcome::unknown, reason::runner_crashed);
    if (run->stream != nullptr)
    {
        run->stream->close();
    }
}

void runner_owner::finish(const run_pointer& ended, online::run_result result)
{
    if (ended->runner_lost)
    {
        return;
    }
    const time_point now = read_monotonic_clock();
    this->runs.erase(ended->id);
    if (result == online::run_result::completed)
    {
        this->completed_runs.push_back({ended, now + response_retention});
        if (ended->request.suspect)
        {
            this->broadcast(this->suspects.lone_run_completed(
                ended->request.fingerprint, now));
        }
    }
    const auto owned = this->runners.find(ended->request.runner);
    if (owned != this->runners.end())
    {
        this->apply(owned->second.queue.finished(ended->id, result, now));
    }
}

void runner_owner::on_runner_died(const std::string& name, bool crashed)
{
    const auto found = this->runners.find(name);
    if (found == this->runners.end() || found->second.dead)
    {
        return;
    }
    owned_runner& owned = found->second;
    owned.dead = true;
    log_event(event::runner_died, {{"runner", name}});
    const online::queue_actions actions = owned.queue.died();
    std::vector<std::uint64_t> fingerprints;
    for (const online::queue_action& action : actions)
    {
        if (const auto* loss = std::get_if<online::lost_run>(&action))
        {
            fingerprints.push_back(loss->fingerprint);
        }
    }
    // Only a crash makes requests suspect; an unreachable runner does not. The
    // notices are sent before the failures, so that each gate knows of a
    // suspect request before it retries it.
    if (crashed)
    {
        this->broadcast(this->suspects.runner_died(
            name, owned.incarnation, fingerprints, read_monotonic_clock()));
    }
    this->apply(actions);
}

void runner_owner::announce_leaving(const std::string& name)
{
    const membership::vm* runner = this->fleet.find_vm(name);
    if (runner == nullptr)
    {
        return;
    }
    const wire::leaving_notice notice = {name, runner->incarnation};
    if (this->fleet.mark_leaving(notice.vm_id, notice.incarnation))
    {
        log_event(event::runner_leaving_noticed, {{"runner", name}});
    }
    if (this->on_notice)
    {
        this->on_notice(notice);
    }
}

void runner_owner::broadcast(const std::vector<online::crash_notice>& notices)
{
    for (const online::crash_notice& crash : notices)
    {
        wire::quarantine_notice notice;
        notice.fingerprint = crash.fingerprint;
        notice.time_to_live_ms = crash.time_to_live.count() / 1000;
        notice.runner = crash.runner;
        notice.incarnation = crash.incarnation;
        notice.cleared = crash.cleared;
        const online::quarantine_decision decision =
            this->suspects.judge(crash.fingerprint, read_monotonic_clock());
        if (decision == online::quarantine_decision::quarantined)
        {
            log_event(
                event::request_quarantined,
                {{"fingerprint", crash.fingerprint}});
            this->counters.add("requests_quarantined_total");
        }
        if (this->on_notice)
        {
            this->on_notice(notice);
        }
    }
}

} // namespace chicory::gate
