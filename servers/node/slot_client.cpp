#include "servers/node/slot_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <tuple>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds tick_interval(40);
/// Interval for batch items. It is longer because items are many and wait
/// longer than online requests.
constexpr std::chrono::milliseconds batch_tick_interval(400);
/// Time after which a slot request without a response is sent again.
constexpr std::chrono::milliseconds repeat_interval(40);
/// Time between two reports of all slots in use.
constexpr std::chrono::milliseconds report_interval(250);

} // namespace

void slot_cancellation::cancel()
{
    this->cancelled = true;
    if (this->wake)
    {
        this->wake();
    }
}

slot_client::slot_client(
    asio::io_context& io,
    fleet_state& initial_fleet,
    slot_topology& initial_topology,
    std::string vm_id,
    std::string zone,
    std::uint64_t started,
    send_hook hook)
    : context(io), ticker(io), fleet(initial_fleet), self(std::move(vm_id)),
      own_zone(std::move(zone)), incarnation(started), send(std::move(hook)),
      topology(initial_topology)
{
}

void slot_client::start()
{
    this->tick();
}

std::optional<std::string> slot_client::find_coordinator(
    time_point now, const serving::runner_group& group)
{
    const std::vector<std::string>& order = this->topology.coordinators(group);
    if (this->topology.nodes_version() != this->seen_nodes_version)
    {
        this->seen_nodes_version = this->topology.nodes_version();
        this->health.set_nodes(this->topology.live_nodes());
    }
    for (const std::string& node : order)
    {
        if (node == this->self || this->health.is_responding(now, node))
        {
            return node;
        }
    }
    return std::nullopt;
}

void slot_client::send_request(time_point now, pending_request& pending)
{
    const std::optional<std::string> coordinator =
        this->find_coordinator(now, pending.request.group);
    if (!coordinator)
    {
        return;
    }
    pending.coordinator = *coordinator;
    pending.last_sent = now;
    pending.request.target_time_left =
        pending.requirements.target_deadline - now;
    pending.request.time_left = pending.requirements.deadline - now;
    this->health.on_sent(now, *coordinator);
    const serving::slot_request request = pending.request;
    this->send(*coordinator, request);
}

void slot_client::resolve(pending_request& pending, slot_result result)
{
    pending.resolved = true;
    pending.result = std::move(result);
    if (pending.timer != nullptr)
    {
        pending.timer->cancel();
    }
}

void slot_client::choose_runner_directly(
    time_point now, pending_request& pending)
{
    slot_result result;
    result.id = pending.request.id;
    result.direct = true;
    if (const std::optional<duration> left = this->own_guard.quarantine_left(
            now,
            serving::make_traits(
                pending.request.request_digest, pending.request.parts)))
    {
        result.kind = slot_result::result_kind::quarantined;
        result.retry_after = *left;
        this->resolve(pending, std::move(result));
        return;
    }
    std::map<std::string, std::int64_t> own_requests;
    for (const auto& [number, slot] : this->used_slots)
    {
        ++own_requests[slot.runner];
    }
    const serving::runner_entry* best = nullptr;
    std::tuple<std::int64_t, bool, std::uint64_t> best_rank;
    for (const serving::runner_entry* entry :
         this->fleet.runners().usable(now, pending.requirements.service))
    {
        const std::vector<std::string>& excluded = pending.request.excluded;
        if (std::find(excluded.begin(), excluded.end(), entry->id) !=
            excluded.end())
        {
            continue;
        }
        const std::tuple<std::int64_t, bool, std::uint64_t> rank(
            own_requests[entry->id],
            entry->zone != this->own_zone,
            hash_bytes(entry->id, pending.request.id.number));
        if (best == nullptr || rank < best_rank)
        {
            best = entry;
            best_rank = rank;
        }
    }
    log_event(
        event::coordinator_silent,
        {{"service", pending.requirements.service},
         {"runner", best == nullptr ? "none" : best->id}});
    result.kind = best == nullptr ? slot_result::result_kind::refused
                                  : slot_result::result_kind::granted;
    result.runner = best == nullptr ? "" : best->id;
    result.retry_after = report_interval;
    this->resolve(pending, std::move(result));
}

std::int64_t slot_client::configuration_version() const
{
    const auto configuration = this->fleet.configuration();
    return configuration == nullptr ? 0 : configuration->version;
}

bool slot_client::is_current(pending_request& pending) const
{
    const std::int64_t version = this->configuration_version();
    if (!pending.requirements.still_hold ||
        pending.configuration_version == version)
    {
        return true;
    }
    pending.configuration_version = version;
    return pending.requirements.still_hold();
}

asio::awaitable<slot_result> slot_client::acquire(
    slot_requirements requirements, slot_cancellation& cancellation)
{
    const std::uint64_t number = this->next_number++;
    const auto pending = std::make_shared<pending_request>();
    pending->requirements = std::move(requirements);
    pending->configuration_version = this->configuration_version();
    serving::slot_request& request = pending->request;
    request.id = {this->self, this->incarnation, number};
    request.kind = pending->requirements.kind;
    request.group = this->topology.home_group(pending->requirements.service);
    request.zone = this->own_zone;
    request.expected_work = pending->requirements.expected_work;
    request.request_digest = pending->requirements.request_digest;
    request.parts = pending->requirements.parts;
    request.repeatable = pending->requirements.repeatable;
    request.excluded = pending->requirements.excluded;
    if (const std::optional<duration> left = this->fleet_guard.quarantine_left(
            read_monotonic_clock(),
            serving::make_traits(request.request_digest, request.parts)))
    {
        slot_result quarantined;
        quarantined.id = request.id;
        quarantined.kind = slot_result::result_kind::quarantined;
        quarantined.retry_after = *left;
        co_return quarantined;
    }
    asio::steady_timer timer(this->context);
    pending->timer = &timer;
    this->pending_requests[number] = pending;
    cancellation.wake = [&timer]
    {
        timer.cancel();
    };
    if (!cancellation.cancelled)
    {
        this->send_request(read_monotonic_clock(), *pending);
    }
    bool outdated = false;
    while (!pending->resolved && !cancellation.cancelled)
    {
        const time_point now = read_monotonic_clock();
        outdated = !this->is_current(*pending);
        if (outdated)
        {
            break;
        }
        this->update_group(*pending);
        const bool online =
            pending->requirements.kind == serving::work_kind::online;
        if (online && now >= pending->requirements.deadline)
        {
            break;
        }
        if (now - pending->last_sent >= duration(repeat_interval) &&
            (pending->coordinator.empty() ||
             !this->health.is_responding(now, pending->coordinator) ||
             this->health.is_awaiting_response(pending->coordinator)))
        {
            if (online && !this->find_coordinator(now, request.group))
            {
                this->choose_runner_directly(now, *pending);
                break;
            }
            this->send_request(now, *pending);
            if (pending->resolved)
            {
                break;
            }
        }
        timer.expires_after(
            online ? duration(tick_interval) : duration(batch_tick_interval));
        co_await timer.async_wait(as_result);
    }
    cancellation.wake = {};
    pending->timer = nullptr;
    this->pending_requests.erase(number);
    // The configuration may have changed since the last check.
    outdated = outdated || !this->is_current(*pending);
    if (pending->resolved && !outdated &&
        pending->result.kind == slot_result::result_kind::granted)
    {
        const time_point now = read_monotonic_clock();
        used_slot& slot = this->used_slots[number];
        slot.kind = pending->requirements.kind;
        slot.group = request.group;
        slot.runner = pending->result.runner;
        slot.granted_at = now;
        slot.last_progress = now;
        slot.request_digest = request.request_digest;
        slot.parts = request.parts;
        slot.report_first_event = pending->result.report_first_event;
    }
    if (pending->resolved && !outdated)
    {
        co_return pending->result;
    }
    if (!pending->coordinator.empty())
    {
        this->send(
            pending->coordinator,
            wire::slot_release{
                request.group, request.id, serving::slot_outcome::unused});
    }
    slot_result ended;
    ended.id = request.id;
    ended.kind = outdated && !cancellation.cancelled
                     ? slot_result::result_kind::outdated
                     : slot_result::result_kind::cancelled;
    co_return ended;
}

void slot_client::release(
    const serving::slot_id& id,
    serving::slot_outcome outcome,
    serving::crash_stage stage)
{
    const auto found = this->used_slots.find(id.number);
    if (found == this->used_slots.end())
    {
        return;
    }
    const used_slot slot = std::move(found->second);
    this->used_slots.erase(found);
    const time_point now = read_monotonic_clock();
    const duration lasted = now - slot.granted_at;
    if (outcome == serving::slot_outcome::crashed && slot.request_digest != 0)
    {
        this->own_guard.on_crash(
            now,
            {slot.request_digest,
             id,
             slot.parts,
             slot.runner,
             duration::zero(),
             lasted,
             stage});
    }
    this->send_release(
        {slot.group,
         id,
         outcome,
         slot.request_digest,
         slot.parts,
         slot.runner,
         lasted,
         stage});
}

void slot_client::note_first_event(const serving::slot_id& id)
{
    const auto found = this->used_slots.find(id.number);
    if (found == this->used_slots.end())
    {
        return;
    }
    used_slot& slot = found->second;
    const time_point now = read_monotonic_clock();
    const serving::request_traits traits =
        serving::make_traits(slot.request_digest, slot.parts);
    this->own_guard.on_good_traits(now, traits);
    // Any event ends the quarantine of a trait, also of a run that began before
    // it.
    const bool is_quarantined = this->fleet_guard.is_suspect(traits);
    if (!std::exchange(slot.report_first_event, false) && !is_quarantined)
    {
        return;
    }
    if (is_quarantined)
    {
        for (const std::uint64_t trait : traits)
        {
            this->fleet_guard.lift(trait);
        }
    }
    if (const std::optional<std::string> coordinator =
            this->find_coordinator(now, slot.group))
    {
        this->send(*coordinator, wire::first_event{slot.group, id, traits});
    }
}

void slot_client::on_quarantine_change(const serving::quarantine_change& change)
{
    if (change.quarantine)
    {
        this->fleet_guard.on_quarantine(
            read_monotonic_clock(), *change.quarantine);
        return;
    }
    this->fleet_guard.lift(change.trait);
    this->own_guard.lift(change.trait);
}

void slot_client::send_release(const wire::slot_release& packet)
{
    if (const std::optional<std::string> coordinator =
            this->find_coordinator(read_monotonic_clock(), packet.group))
    {
        this->send(*coordinator, packet);
    }
}

void slot_client::update_group(pending_request& pending)
{
    serving::slot_request& request = pending.request;
    if (!this->topology.grouping(pending.requirements.service)
             .has(request.group))
    {
        request.group = this->topology.home_group(pending.requirements.service);
        request.redirected = false;
        this->send_request(read_monotonic_clock(), pending);
    }
}

void slot_client::update_group(used_slot& slot)
{
    const serving::runner_grouping& groups =
        this->topology.grouping(slot.group.service);
    const serving::runner_entry* runner =
        this->fleet.runners().find(slot.runner);
    if (runner != nullptr && !groups.has(slot.group))
    {
        slot.group = groups.group_of(runner->id, runner->zone);
    }
}

void slot_client::note_progress(const serving::slot_id& id)
{
    if (const auto found = this->used_slots.find(id.number);
        found != this->used_slots.end())
    {
        used_slot& slot = found->second;
        slot.last_progress = read_monotonic_clock();
        this->own_guard.on_progress(
            slot.runner, slot.granted_at, slot.last_progress);
    }
}

void slot_client::set_preempt_hook(
    const serving::slot_id& id, std::function<void()> hook)
{
    const auto found = this->used_slots.find(id.number);
    if (found == this->used_slots.end())
    {
        return;
    }
    found->second.preempt_hook = std::move(hook);
    if (found->second.preempted && found->second.preempt_hook)
    {
        found->second.preempt_hook();
    }
}

void slot_client::redirect(
    const std::shared_ptr<pending_request>& pending,
    const serving::runner_group& group)
{
    log_event(
        event::slot_redirected,
        {{"slot", pending->request.id.number},
         {"from", to_text(pending->request.group)},
         {"to", to_text(group)}});
    pending->request.group = group;
    pending->request.redirected = true;
    this->send_request(read_monotonic_clock(), *pending);
}

void slot_client::apply_decision(
    const serving::runner_group& group, const serving::slot_decision& decision)
{
    const auto slot = this->used_slots.find(decision.id.number);
    if (decision.kind == serving::slot_decision_kind::preempt)
    {
        if (slot != this->used_slots.end())
        {
            slot->second.preempted = true;
            if (const std::function<void()> hook =
                    std::exchange(slot->second.preempt_hook, {}))
            {
                hook();
            }
        }
        return;
    }
    const auto found = this->pending_requests.find(decision.id.number);
    const bool granted = decision.kind == serving::slot_decision_kind::granted;
    if (found == this->pending_requests.end() || found->second->resolved)
    {
        if (granted && found == this->pending_requests.end() &&
            slot == this->used_slots.end())
        {
            this->send_release(
                {group, decision.id, serving::slot_outcome::unused});
        }
        return;
    }
    if (decision.kind == serving::slot_decision_kind::queued)
    {
        return;
    }
    if (decision.kind == serving::slot_decision_kind::redirected)
    {
        // A duplicate decision comes from the group before the redirection and
        // is ignored.
        if (found->second->request.group == group)
        {
            this->redirect(found->second, decision.redirect_target);
        }
        return;
    }
    if (granted)
    {
        // The slot is released to the group that granted it.
        found->second->request.group = group;
    }
    slot_result result;
    result.id = decision.id;
    result.kind = granted ? slot_result::result_kind::granted
                          : slot_result::result_kind::refused;
    if (decision.kind == serving::slot_decision_kind::quarantined)
    {
        result.kind = slot_result::result_kind::quarantined;
    }
    result.runner = decision.runner;
    result.retry_after = decision.retry_after;
    result.coordinator = found->second->coordinator;
    result.report_first_event = decision.report_first_event;
    this->resolve(*found->second, std::move(result));
}

void slot_client::on_decisions(
    const std::string& sender, const wire::slot_decisions& packet)
{
    this->health.on_response(read_monotonic_clock(), sender);
    for (const serving::slot_decision& decision : packet.decisions)
    {
        if (decision.id.node == this->self &&
            decision.id.incarnation == this->incarnation)
        {
            this->apply_decision(packet.group, decision);
        }
    }
}

void slot_client::send_report(
    time_point now, const serving::runner_group& group)
{
    const std::optional<std::string> coordinator =
        this->find_coordinator(now, group);
    if (!coordinator)
    {
        return;
    }
    this->report_receivers[group] = *coordinator;
    wire::slot_report report;
    report.group = group;
    report.node = this->self;
    report.incarnation = this->incarnation;
    report.crashed = this->recent_crashes(now, group.service);
    report.leaving = this->fleet.runners().leaving(group.service);
    for (const auto& [number, slot] : this->used_slots)
    {
        if (slot.group == group)
        {
            report.held.push_back(
                {{this->self, this->incarnation, number},
                 slot.kind,
                 group,
                 slot.runner,
                 now - slot.granted_at,
                 now - slot.last_progress});
        }
    }
    for (const auto& [number, pending] : this->pending_requests)
    {
        if (pending->request.group == group && !pending->resolved)
        {
            pending->coordinator = *coordinator;
            pending->request.target_time_left =
                pending->requirements.target_deadline - now;
            pending->request.time_left = pending->requirements.deadline - now;
            report.waiting.push_back(pending->request);
        }
    }
    this->health.on_sent(now, *coordinator);
    if (!report.held.empty() || !report.waiting.empty() ||
        !report.leaving.empty())
    {
        this->reported_groups.insert(group);
    }
    this->send(*coordinator, report);
}

std::vector<serving::crashed_run>
slot_client::recent_crashes(time_point now, const std::string& service) const
{
    std::vector<serving::crashed_run> crashed =
        this->own_guard.recent_crashes(now);
    std::erase_if(
        crashed,
        [this, &service](const serving::crashed_run& run)
        {
            const serving::runner_entry* runner =
                this->fleet.runners().find(run.runner);
            return runner != nullptr && runner->service != service;
        });
    return crashed;
}

void slot_client::report_leaving(const serving::runner_entry& runner)
{
    this->own_guard.on_leaving(runner.id);
    this->send_report(
        read_monotonic_clock(),
        this->topology.grouping(runner.service)
            .group_of(runner.id, runner.zone));
}

std::set<serving::runner_group> slot_client::groups_in_use()
{
    std::set<serving::runner_group> groups;
    for (auto& [number, slot] : this->used_slots)
    {
        this->update_group(slot);
        groups.insert(slot.group);
    }
    for (const auto& [number, pending] : this->pending_requests)
    {
        groups.insert(pending->request.group);
    }
    return groups;
}

void slot_client::tick()
{
    const time_point now = read_monotonic_clock();
    const std::set<serving::runner_group> groups = this->groups_in_use();
    if (now >= this->next_report)
    {
        this->next_report = now + duration(report_interval);
        // A group whose last report named a slot, a waiting request or a
        // leaving runner is reported again even when it is no longer in use, so
        // that its coordinator notices the release.
        std::set<serving::runner_group> reported =
            std::exchange(this->reported_groups, {});
        reported.insert(groups.begin(), groups.end());
        for (const serving::runner_group& group : reported)
        {
            this->send_report(now, group);
        }
    }
    for (const serving::runner_group& group : groups)
    {
        // A coordinator that takes over a group has no record of the slots in
        // use and gets a report immediately.
        if (const std::optional<std::string> coordinator =
                this->find_coordinator(now, group);
            coordinator && this->report_receivers[group] != *coordinator)
        {
            this->send_report(now, group);
        }
    }
    this->ticker.expires_after(tick_interval);
    this->ticker.async_wait(
        [this](boost::system::error_code code)
        {
            if (code != asio::error::operation_aborted)
            {
                this->tick();
            }
        });
}

std::size_t slot_client::in_use() const
{
    return this->used_slots.size();
}

} // namespace chicory::node
