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
/// Items wait longer than requests, and are many.
constexpr std::chrono::milliseconds batch_tick_interval(400);
/// Time after which a request that was not answered is sent again.
constexpr std::chrono::milliseconds repeat_interval(40);
/// Runs that crashed a runner that a report names; a report is one datagram.
constexpr std::size_t most_crashed = 16;
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
    fleet_state& known,
    slot_topology& groups,
    std::string vm_id,
    std::string zone,
    std::uint64_t started,
    send_hook hook)
    : context(io), ticker(io), fleet(known), self(std::move(vm_id)),
      own_zone(std::move(zone)), incarnation(started), send(std::move(hook)),
      topology(groups)
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
    if (this->topology.nodes_version() != this->seen_nodes)
    {
        this->seen_nodes = this->topology.nodes_version();
        this->contact.set_nodes(this->topology.live_nodes());
    }
    for (const std::string& node : order)
    {
        if (node == this->self || this->contact.is_responding(now, node))
        {
            return node;
        }
    }
    return std::nullopt;
}

void slot_client::ask(time_point now, pending_request& pending)
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
    this->contact.on_sent(now, *coordinator);
    const serving::slot_request request = pending.request;
    this->send(*coordinator, request);
}

void slot_client::settle(pending_request& pending, slot_result answer)
{
    pending.answered = true;
    pending.answer = std::move(answer);
    if (pending.timer != nullptr)
    {
        pending.timer->cancel();
    }
}

void slot_client::choose_directly(time_point now, pending_request& pending)
{
    std::map<std::string, std::int64_t> own;
    for (const auto& [number, slot] : this->used)
    {
        ++own[slot.runner];
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
            own[entry->id],
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
    slot_result answer;
    answer.id = pending.request.id;
    answer.direct = true;
    answer.kind = best == nullptr ? slot_result::result_kind::refused
                                  : slot_result::result_kind::granted;
    answer.runner = best == nullptr ? "" : best->id;
    answer.retry_after = report_interval;
    this->settle(pending, std::move(answer));
}

asio::awaitable<slot_result>
slot_client::acquire(slot_requirements wish, slot_cancellation& wait)
{
    const std::uint64_t number = this->next_number++;
    const auto pending = std::make_shared<pending_request>();
    pending->requirements = std::move(wish);
    serving::slot_request& request = pending->request;
    request.id = {this->self, this->incarnation, number};
    request.kind = pending->requirements.kind;
    request.group = this->topology.home_of(pending->requirements.service);
    request.zone = this->own_zone;
    request.expected_work = pending->requirements.expected_work;
    request.request_digest = pending->requirements.request_digest;
    request.repeatable = pending->requirements.repeatable;
    request.excluded = pending->requirements.excluded;
    asio::steady_timer timer(this->context);
    pending->timer = &timer;
    this->wishes[number] = pending;
    wait.wake = [&timer]
    {
        timer.cancel();
    };
    if (!wait.cancelled)
    {
        this->ask(read_monotonic_clock(), *pending);
    }
    while (!pending->answered && !wait.cancelled)
    {
        const time_point now = read_monotonic_clock();
        this->follow_division(*pending);
        const bool online =
            pending->requirements.kind == serving::work_kind::online;
        if (online && now >= pending->requirements.deadline)
        {
            break;
        }
        if (now - pending->last_sent >= duration(repeat_interval) &&
            (pending->coordinator.empty() ||
             !this->contact.is_responding(now, pending->coordinator) ||
             this->contact.is_awaiting_response(pending->coordinator)))
        {
            if (online && !this->find_coordinator(now, request.group))
            {
                this->choose_directly(now, *pending);
                break;
            }
            this->ask(now, *pending);
            if (pending->answered)
            {
                break;
            }
        }
        timer.expires_after(
            online ? duration(tick_interval) : duration(batch_tick_interval));
        co_await timer.async_wait(as_result);
    }
    wait.wake = {};
    pending->timer = nullptr;
    this->wishes.erase(number);
    if (pending->answered &&
        pending->answer.kind == slot_result::result_kind::granted)
    {
        this->used[number] = {
            pending->requirements.kind,
            request.group,
            pending->answer.runner,
            read_monotonic_clock(),
            read_monotonic_clock(),
            {},
            false};
    }
    if (pending->answered)
    {
        co_return pending->answer;
    }
    this->send(
        pending->coordinator,
        wire::slot_release{
            request.group, request.id, serving::slot_outcome::unused});
    slot_result cancelled;
    cancelled.id = request.id;
    co_return cancelled;
}

void slot_client::release(
    const serving::slot_id& id,
    serving::slot_outcome outcome,
    std::uint64_t request_digest)
{
    const auto found = this->used.find(id.number);
    if (found == this->used.end())
    {
        return;
    }
    const serving::runner_group group = found->second.group;
    this->used.erase(found);
    if (outcome == serving::slot_outcome::crashed && request_digest != 0)
    {
        std::deque<serving::crashed_run>& known = this->crashed[group.service];
        known.push_back({request_digest, id});
        if (known.size() > most_crashed)
        {
            known.pop_front();
        }
    }
    this->send_release({group, id, outcome, request_digest});
}

void slot_client::send_release(const wire::slot_release& packet)
{
    if (const std::optional<std::string> coordinator =
            this->find_coordinator(read_monotonic_clock(), packet.group))
    {
        this->send(*coordinator, packet);
    }
}

void slot_client::follow_division(pending_request& pending)
{
    serving::slot_request& request = pending.request;
    if (!this->topology.division(pending.requirements.service)
             .has(request.group))
    {
        request.group = this->topology.home_of(pending.requirements.service);
        request.redirected = false;
        this->ask(read_monotonic_clock(), pending);
    }
}

void slot_client::follow_division(used_slot& slot)
{
    const serving::runner_grouping& groups =
        this->topology.division(slot.group.service);
    const serving::runner_entry* runner =
        this->fleet.runners().find(slot.runner);
    if (runner != nullptr && !groups.has(slot.group))
    {
        slot.group = groups.group_of(runner->id, runner->zone);
    }
}

void slot_client::note_progress(const serving::slot_id& id)
{
    if (const auto found = this->used.find(id.number);
        found != this->used.end())
    {
        found->second.last_progress = read_monotonic_clock();
    }
}

void slot_client::set_preempt_hook(
    const serving::slot_id& id, std::function<void()> hook)
{
    const auto found = this->used.find(id.number);
    if (found == this->used.end())
    {
        return;
    }
    found->second.yield = std::move(hook);
    if (found->second.must_yield && found->second.yield)
    {
        found->second.yield();
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
    this->ask(read_monotonic_clock(), *pending);
}

void slot_client::take(
    const serving::runner_group& group, const serving::slot_decision& verdict)
{
    const auto slot = this->used.find(verdict.id.number);
    if (verdict.kind == serving::slot_decision_kind::preempt)
    {
        if (slot != this->used.end())
        {
            slot->second.must_yield = true;
            if (const std::function<void()> hook =
                    std::exchange(slot->second.yield, {}))
            {
                hook();
            }
        }
        return;
    }
    const auto found = this->wishes.find(verdict.id.number);
    const bool granted = verdict.kind == serving::slot_decision_kind::granted;
    if (found == this->wishes.end() || found->second->answered)
    {
        if (granted && found == this->wishes.end() && slot == this->used.end())
        {
            this->send_release(
                {group, verdict.id, serving::slot_outcome::unused});
        }
        return;
    }
    if (verdict.kind == serving::slot_decision_kind::queued)
    {
        return;
    }
    if (verdict.kind == serving::slot_decision_kind::redirected)
    {
        // A verdict that came twice is from the group before.
        if (found->second->request.group == group)
        {
            this->redirect(found->second, verdict.redirect_target);
        }
        return;
    }
    if (granted)
    {
        // The group that granted the slot takes it back.
        found->second->request.group = group;
    }
    slot_result answer;
    answer.id = verdict.id;
    answer.kind = granted ? slot_result::result_kind::granted
                          : slot_result::result_kind::refused;
    if (verdict.kind == serving::slot_decision_kind::quarantined)
    {
        answer.kind = slot_result::result_kind::quarantined;
    }
    answer.runner = verdict.runner;
    answer.retry_after = verdict.retry_after;
    answer.coordinator = found->second->coordinator;
    this->settle(*found->second, std::move(answer));
}

void slot_client::on_decisions(
    const std::string& sender, const wire::slot_decisions& packet)
{
    this->contact.on_response(read_monotonic_clock(), sender);
    for (const serving::slot_decision& verdict : packet.decisions)
    {
        if (verdict.id.node == this->self &&
            verdict.id.incarnation == this->incarnation)
        {
            this->take(packet.group, verdict);
        }
    }
}

void slot_client::report(time_point now, const serving::runner_group& group)
{
    const std::optional<std::string> coordinator =
        this->find_coordinator(now, group);
    if (!coordinator)
    {
        return;
    }
    this->told[group] = *coordinator;
    wire::slot_report all;
    all.group = group;
    all.node = this->self;
    all.incarnation = this->incarnation;
    if (const auto known = this->crashed.find(group.service);
        known != this->crashed.end())
    {
        all.crashed.assign(known->second.begin(), known->second.end());
    }
    all.leaving = this->fleet.runners().leaving(group.service);
    for (const auto& [number, slot] : this->used)
    {
        if (slot.group == group)
        {
            all.held.push_back(
                {{this->self, this->incarnation, number},
                 slot.kind,
                 group,
                 slot.runner,
                 now - slot.since,
                 now - slot.last_progress});
        }
    }
    for (const auto& [number, pending] : this->wishes)
    {
        if (pending->request.group == group && !pending->answered)
        {
            pending->coordinator = *coordinator;
            pending->request.target_time_left =
                pending->requirements.target_deadline - now;
            pending->request.time_left = pending->requirements.deadline - now;
            all.waiting.push_back(pending->request);
        }
    }
    this->contact.on_sent(now, *coordinator);
    if (!all.held.empty() || !all.waiting.empty() || !all.leaving.empty())
    {
        this->reported.insert(group);
    }
    this->send(*coordinator, all);
}

void slot_client::report_leaving(const serving::runner_entry& runner)
{
    this->report(
        read_monotonic_clock(),
        this->topology.division(runner.service)
            .group_of(runner.id, runner.zone));
}

std::set<serving::runner_group> slot_client::groups_in_use()
{
    std::set<serving::runner_group> groups;
    for (auto& [number, slot] : this->used)
    {
        this->follow_division(slot);
        groups.insert(slot.group);
    }
    for (const auto& [number, pending] : this->wishes)
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
        // A coordinator that was told of slots hears also of their end.
        std::set<serving::runner_group> due = std::exchange(this->reported, {});
        due.insert(groups.begin(), groups.end());
        for (const serving::runner_group& group : due)
        {
            this->report(now, group);
        }
    }
    for (const serving::runner_group& group : groups)
    {
        // A coordinator that takes over knows nothing of the slots in use.
        if (const std::optional<std::string> coordinator =
                this->find_coordinator(now, group);
            coordinator && this->told[group] != *coordinator)
        {
            this->report(now, group);
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
    return this->used.size();
}

} // namespace chicory::node
