#include "policy/serving/slot_scheduler.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace chicory::serving
{

namespace
{

/// Weight of a new run in the mean duration of runs.
constexpr double mean_weight = 0.05;

void update_mean(double& mean, double value)
{
    mean = mean == 0.0 ? value : mean + mean_weight * (value - mean);
}

/// Sorts by rank, then time, then id. The id makes the order independent of
/// addresses.
std::vector<const slot_id*>
sort_ids(std::vector<std::tuple<int, time_point, const slot_id*>> order)
{
    std::sort(
        order.begin(),
        order.end(),
        [](const auto& left, const auto& right)
        {
            const auto& [left_rank, left_time, left_id] = left;
            const auto& [right_rank, right_time, right_id] = right;
            return std::tie(left_rank, left_time, *left_id) <
                   std::tie(right_rank, right_time, *right_id);
        });
    std::vector<const slot_id*> ids;
    ids.reserve(order.size());
    for (const auto& [rank, time, id] : order)
    {
        ids.push_back(id);
    }
    return ids;
}

} // namespace

slot_scheduler::slot_scheduler(slot_scheduler_settings initial)
    : settings(initial), runners(initial.runners), crashes(initial.crashes),
      overflow(initial.overflow),
      mean_online_us(static_cast<double>(initial.initial_online_run.count()))
{
}

std::vector<slot_decision> slot_scheduler::set_runners(
    time_point now, const std::vector<slot_runner>& usable)
{
    this->runners.set_usable(usable);
    decisions out;
    this->dispatch(out, now);
    return out;
}

void slot_scheduler::on_node_message(
    time_point now, const std::string& node, std::uint64_t incarnation)
{
    node_state& state = this->nodes[node];
    if (state.incarnation < incarnation)
    {
        this->drop_older_processes(node, incarnation);
        state.incarnation = incarnation;
    }
    state.last_message_at = now;
}

void slot_scheduler::drop_ended_work(
    const std::string& node,
    const std::function<bool(const slot_id&, time_point)>& has_ended)
{
    const slot_id first = {node, 0, 0};
    std::vector<slot_id> ended;
    for (auto run = this->running.lower_bound(first);
         run != this->running.end() && run->first.node == node;
         ++run)
    {
        if (has_ended(run->first, run->second.since))
        {
            ended.push_back(run->first);
        }
    }
    for (const slot_id& id : ended)
    {
        this->remove_running(id);
    }
    for (auto waiting = this->queue.lower_bound(first);
         waiting != this->queue.end() && waiting->first.node == node;)
    {
        waiting = has_ended(waiting->first, waiting->second.arrived)
                      ? this->queue.erase(waiting)
                      : std::next(waiting);
    }
}

void slot_scheduler::drop_older_processes(
    const std::string& node, std::uint64_t before)
{
    this->drop_ended_work(
        node,
        [before](const slot_id& id, time_point)
        {
            return id.incarnation < before;
        });
}

void slot_scheduler::add_running(
    const slot_id& id,
    work_kind kind,
    const std::string& runner,
    time_point since)
{
    this->remove_running(id);
    running_slot run;
    run.kind = kind;
    run.runner = runner;
    run.since = since;
    this->running[id] = run;
    if (kind == work_kind::batch)
    {
        this->batch_runs.insert(id);
    }
    this->runners.begin_run(runner);
}

void slot_scheduler::remove_running(const slot_id& id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
    {
        return;
    }
    if (!found->second.preempted)
    {
        this->runners.end_run(found->second.runner);
    }
    this->batch_runs.erase(id);
    this->crashes.on_end(id);
    this->running.erase(found);
}

void slot_scheduler::add_waiting(time_point now, const slot_request& request)
{
    waiting_request added;
    added.request = request;
    added.traits = make_traits(request.request_digest, request.parts);
    added.arrived = now;
    added.target_deadline = now + request.target_time_left;
    added.deadline = now + request.time_left;
    added.is_retry = request.request_digest != 0 &&
                     this->refused.contains(request.request_digest);
    this->queue[request.id] = std::move(added);
    if (request.kind == work_kind::online)
    {
        this->online_queue.insert(request.id);
        this->arrivals.push_back(now);
    }
}

bool slot_scheduler::admit_request(
    decisions& out, time_point now, const slot_request& request)
{
    if (const auto run = this->running.find(request.id);
        run != this->running.end())
    {
        out.push_back(
            {request.id,
             slot_decision_kind::granted,
             run->second.runner,
             duration::zero(),
             {},
             run->second.report_first_event});
        return false;
    }
    if (const std::optional<duration> left = this->crashes.quarantine_left(
            now, make_traits(request.request_digest, request.parts)))
    {
        out.push_back(
            {request.id, slot_decision_kind::quarantined, "", *left, {}});
        return false;
    }
    if (this->queue.contains(request.id))
    {
        return false;
    }
    this->add_waiting(now, request);
    return true;
}

std::vector<slot_decision>
slot_scheduler::on_request(time_point now, const slot_request& request)
{
    decisions out;
    this->on_node_message(now, request.id.node, request.id.incarnation);
    if (this->admit_request(out, now, request))
    {
        this->dispatch(out, now);
        this->refuse_late(out, now);
    }
    if (this->queue.contains(request.id))
    {
        out.push_back({request.id, slot_decision_kind::queued, "", {}, {}});
    }
    return out;
}

void slot_scheduler::record_outcome(
    time_point now, const running_slot& run, slot_outcome outcome)
{
    this->runners.on_outcome(now, run.runner, outcome);
    if (outcome != slot_outcome::completed)
    {
        return;
    }
    this->crashes.on_good_traits(now, run.traits);
    if (run.kind == work_kind::online)
    {
        update_mean(
            this->mean_online_us,
            static_cast<double>((now - run.since).count()));
    }
}

std::vector<slot_decision> slot_scheduler::on_release(
    time_point now,
    const slot_id& id,
    slot_outcome outcome,
    const request_traits& traits)
{
    decisions out;
    this->on_node_message(now, id.node, id.incarnation);
    if (const auto run = this->running.find(id); run != this->running.end())
    {
        if (run->second.traits.empty())
        {
            run->second.traits = traits;
        }
        this->record_outcome(now, run->second, outcome);
        this->remove_running(id);
    }
    else if (outcome == slot_outcome::completed && !traits.empty())
    {
        this->crashes.on_good_traits(now, traits);
    }
    this->queue.erase(id);
    this->dispatch(out, now);
    return out;
}

std::vector<slot_decision>
slot_scheduler::on_crash(time_point now, const crashed_run& run)
{
    decisions out;
    if (this->crashes.on_crash(now, run))
    {
        this->quarantine_waiting(out, now);
    }
    return out;
}

std::vector<slot_decision> slot_scheduler::on_first_event(
    time_point now, const slot_id& id, const request_traits& traits)
{
    decisions out;
    this->crashes.on_good_run(now, id);
    if (!traits.empty())
    {
        this->crashes.on_good_traits(now, traits);
    }
    this->dispatch(out, now);
    return out;
}

void slot_scheduler::on_runner_leaving(const std::string& runner)
{
    this->crashes.on_leaving(runner);
}

std::set<std::string> slot_scheduler::crashed_runners() const
{
    return this->crashes.crashed_runners();
}

std::vector<slot_decision> slot_scheduler::on_quarantine_change(
    time_point now, const quarantine_change& change)
{
    decisions out;
    if (change.quarantine)
    {
        this->crashes.on_quarantine(now, *change.quarantine);
    }
    else
    {
        this->crashes.lift(change.trait);
    }
    this->quarantine_waiting(out, now);
    return out;
}

std::vector<quarantine_change>
slot_scheduler::take_quarantine_changes(time_point now)
{
    return this->crashes.take_changes(now);
}

void slot_scheduler::quarantine_waiting(decisions& out, time_point now)
{
    for (const slot_id& id : this->online_queue)
    {
        const auto found = this->queue.find(id);
        if (found == this->queue.end())
        {
            continue;
        }
        if (const std::optional<duration> left =
                this->crashes.quarantine_left(now, found->second.traits))
        {
            out.push_back({id, slot_decision_kind::quarantined, "", *left, {}});
            this->queue.erase(found);
        }
    }
}

std::vector<slot_decision> slot_scheduler::on_report(
    time_point now,
    const std::string& node,
    std::uint64_t incarnation,
    const std::vector<held_slot>& held,
    const std::vector<slot_request>& waiting)
{
    decisions out;
    this->on_node_message(now, node, incarnation);
    std::set<slot_id> reported;
    for (const held_slot& slot : held)
    {
        reported.insert(slot.id);
        if (!this->running.contains(slot.id))
        {
            this->queue.erase(slot.id);
            this->add_running(slot.id, slot.kind, slot.runner, now - slot.age);
        }
        this->crashes.on_progress(
            slot.runner, this->running[slot.id].since, now - slot.silence);
        if (this->running[slot.id].preempted)
        {
            // The preempt decision may have been dropped, so it is sent again.
            out.push_back(
                {slot.id, slot_decision_kind::preempt, slot.runner, {}, {}});
        }
    }
    for (const slot_request& request : waiting)
    {
        reported.insert(request.id);
        this->admit_request(out, now, request);
    }
    this->runners.record_silence(now, held);
    this->drop_ended_work(
        node,
        [&](const slot_id& id, time_point begun)
        {
            return !reported.contains(id) &&
                   now - begun > this->settings.report_tolerance;
        });
    this->dispatch(out, now);
    return out;
}

std::optional<slot_id> slot_scheduler::choose_run_to_preempt(
    time_point now, const slot_request& request, bool only_deferred) const
{
    std::optional<slot_id> best;
    // Deferred items are preempted first, then runs in the caller's zone, then
    // those with the latest due time, then the youngest.
    std::tuple<bool, bool, time_point, time_point> best_rank;
    for (const slot_id& id : this->batch_runs)
    {
        const running_slot& run = this->running.at(id);
        const bool is_deferred = this->deferred.contains(id);
        if (only_deferred && !is_deferred)
        {
            continue;
        }
        if (!this->runners.may_preempt(now, run.runner, request))
        {
            continue;
        }
        const std::tuple<bool, bool, time_point, time_point> rank(
            is_deferred,
            this->runners.is_in_zone(run.runner, request.zone),
            run.due,
            run.since);
        if (!best || rank > best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

std::optional<std::string> slot_scheduler::preempt_batch_run(
    decisions& out,
    time_point now,
    const slot_request& request,
    bool only_deferred)
{
    const std::optional<slot_id> preempted_id =
        this->choose_run_to_preempt(now, request, only_deferred);
    if (!preempted_id)
    {
        return std::nullopt;
    }
    running_slot& run = this->running.at(*preempted_id);
    run.preempted = true;
    this->batch_runs.erase(*preempted_id);
    this->runners.end_run(run.runner);
    out.push_back(
        {*preempted_id, slot_decision_kind::preempt, run.runner, {}, {}});
    return run.runner;
}

bool slot_scheduler::update_item_plan(time_point now)
{
    if (now - this->planned_at < this->settings.plan_interval)
    {
        return false;
    }
    const double passed = static_cast<double>((now - this->planned_at).count());
    const double window =
        static_cast<double>(this->settings.batch_slots_window.count());
    const double slots_left_to_batch = static_cast<double>(
        this->total_slots() -
        static_cast<std::int64_t>(this->slots_in_use(work_kind::online)));
    const double weight = std::min(1.0, passed / window);
    this->batch_slots += weight * (slots_left_to_batch - this->batch_slots);
    this->planned_at = now;
    std::vector<planned_item> items;
    for (const auto& [id, waiting] : this->queue)
    {
        if (waiting.request.kind == work_kind::batch)
        {
            items.push_back(
                {id, waiting.target_deadline, waiting.request.expected_work});
        }
    }
    for (const auto& [id, run] : this->running)
    {
        if (run.kind == work_kind::batch && run.due != time_point())
        {
            items.push_back(
                {id, run.due, std::max(duration::zero(), run.done_at - now)});
        }
    }
    this->deferred = choose_deferred(now, std::move(items), this->batch_slots);
    return true;
}

void slot_scheduler::grant(
    decisions& out, time_point now, slot_id id, const std::string& runner)
{
    const auto found = this->queue.find(id);
    const work_kind kind = found->second.request.kind;
    const time_point due = found->second.target_deadline;
    const duration work = found->second.request.expected_work;
    request_traits traits = std::move(found->second.traits);
    this->refused.erase(found->second.request.request_digest);
    this->queue.erase(found);
    this->add_running(id, kind, runner, now);
    const bool report_first_event =
        this->crashes.needs_first_event(now, traits);
    this->crashes.on_begin(now, id, traits);
    this->running.at(id).traits = std::move(traits);
    this->running.at(id).report_first_event = report_first_event;
    if (kind == work_kind::batch)
    {
        this->running.at(id).due = due;
        this->running.at(id).done_at = now + work;
    }
    out.push_back(
        {id, slot_decision_kind::granted, runner, {}, {}, report_first_event});
}

std::vector<const slot_id*> slot_scheduler::order_online(time_point now)
{
    std::vector<std::tuple<int, time_point, const slot_id*>> order;
    for (auto entry = this->online_queue.begin();
         entry != this->online_queue.end();)
    {
        const auto found = this->queue.find(*entry);
        if (found == this->queue.end())
        {
            entry = this->online_queue.erase(entry);
            continue;
        }
        const waiting_request& waiting = found->second;
        const bool late =
            waiting.target_deadline < now + this->settings.first_piece_delay;
        const int rank = waiting.is_retry ? 0 : (late ? 2 : 1);
        order.emplace_back(rank, waiting.arrived, &found->first);
        ++entry;
    }
    return sort_ids(std::move(order));
}

std::vector<const slot_id*> slot_scheduler::order_batch() const
{
    std::vector<std::tuple<int, time_point, const slot_id*>> order;
    for (const auto& [id, waiting] : this->queue)
    {
        if (waiting.request.kind == work_kind::batch)
        {
            order.emplace_back(
                this->deferred.contains(id) ? 1 : 0,
                waiting.target_deadline,
                &id);
        }
    }
    return sort_ids(std::move(order));
}

void slot_scheduler::dispatch_online(decisions& out, time_point now)
{
    // A slot that is available to any request is also available to a repeatable
    // request that excludes no runner. If such a request finds no slot, no
    // other request finds one, and if a request that is not repeatable finds
    // none, no other of that kind does. The remaining requests are skipped, so
    // that only a few requests of a queue without slots are examined.
    bool may_place_repeatable = true;
    bool may_place_others = true;
    for (const slot_id* id : this->order_online(now))
    {
        if (this->redirect_trial(out, now, *id))
        {
            continue;
        }
        const waiting_request& waiting = this->queue.at(*id);
        const slot_request& request = waiting.request;
        if (!this->crashes.may_begin(now, waiting.traits))
        {
            continue;
        }
        if (!(request.repeatable ? may_place_repeatable : may_place_others))
        {
            continue;
        }
        std::optional<std::string> free =
            this->runners.choose_idle_runner(now, request);
        if (!free)
        {
            free = this->preempt_batch_run(out, now, request, false);
        }
        if (free)
        {
            this->grant(out, now, *id, *free);
        }
        else if (request.excluded.empty())
        {
            may_place_others = false;
            may_place_repeatable = may_place_repeatable && !request.repeatable;
        }
    }
}

std::int64_t slot_scheduler::reserved_slots(time_point now)
{
    while (!this->arrivals.empty() &&
           now - this->arrivals.front() > this->settings.rate_window)
    {
        this->arrivals.pop_front();
    }
    return static_cast<std::int64_t>(this->arrivals.size()) *
           this->settings.reserve_window.count() /
           this->settings.rate_window.count();
}

void slot_scheduler::dispatch_batch(
    decisions& out, time_point now, bool may_preempt)
{
    may_preempt = may_preempt && !this->deferred.empty();
    std::int64_t idle = this->runners.idle_slots() - this->reserved_slots(now);
    if (!may_preempt && idle <= 0)
    {
        return;
    }
    for (const slot_id* id : this->order_batch())
    {
        const slot_request& request = this->queue.at(*id).request;
        std::optional<std::string> free;
        if (idle > 0)
        {
            free = this->runners.choose_idle_runner(now, request);
            idle -= free ? 1 : 0;
        }
        if (!free && may_preempt && !this->deferred.contains(*id))
        {
            free = this->preempt_batch_run(out, now, request, true);
        }
        if (free)
        {
            this->grant(out, now, *id, *free);
        }
        else if (request.excluded.empty())
        {
            // Without a slot for this item there is none for the items after
            // it.
            return;
        }
    }
}

void slot_scheduler::dispatch(decisions& out, time_point now)
{
    const bool planned = this->update_item_plan(now);
    if (!this->online_queue.empty())
    {
        this->dispatch_online(out, now);
    }
    this->dispatch_batch(out, now, planned);
    this->redirect_waiting(out, now);
}

bool slot_scheduler::redirect_trial(
    decisions& out, time_point now, const slot_id& id)
{
    const waiting_request& waiting = this->queue.at(id);
    const std::optional<std::uint64_t> trait =
        this->crashes.find_trial_trait(now, waiting.traits);
    if (!trait || waiting.request.redirected)
    {
        return false;
    }
    const runner_group group =
        this->overflow.choose_trial_group(now, waiting.request.group, *trait);
    if (group == waiting.request.group)
    {
        return false;
    }
    slot_decision decision;
    decision.id = id;
    decision.kind = slot_decision_kind::redirected;
    decision.redirect_target = group;
    out.push_back(std::move(decision));
    // This must come last, because the id may be the key of the erased entry.
    this->queue.erase(id);
    return true;
}

bool slot_scheduler::redirect(
    decisions& out, time_point now, const slot_id& id, work_kind kind)
{
    const std::optional<runner_group> group =
        this->overflow.reserve_capacity(now, kind, id);
    if (!group)
    {
        return false;
    }
    slot_decision decision;
    decision.id = id;
    decision.kind = slot_decision_kind::redirected;
    decision.redirect_target = *group;
    out.push_back(std::move(decision));
    // This must come last, because the id may be the key of the erased entry.
    this->queue.erase(id);
    return true;
}

void slot_scheduler::redirect_waiting(decisions& out, time_point now)
{
    if (this->queue.empty())
    {
        return;
    }
    bool has_capacity = this->overflow.has_capacity(now, work_kind::online);
    // The queue is sorted only if there is a group to redirect to: this
    // function runs for each packet, and a service with a single group has no
    // peer groups.
    const std::vector<const slot_id*> order =
        has_capacity ? this->order_online(now) : std::vector<const slot_id*>();
    for (const slot_id* id : order)
    {
        const waiting_request& waiting = this->queue.at(*id);
        if (has_capacity && !waiting.request.redirected &&
            !this->crashes.is_suspect(waiting.traits) &&
            this->crashes.may_begin(now, waiting.traits))
        {
            has_capacity = this->redirect(out, now, *id, work_kind::online);
        }
    }
    // Peer groups report batch capacity only for idle slots that their own work
    // does not need.
    if (!this->overflow.has_capacity(now, work_kind::batch))
    {
        return;
    }
    for (const slot_id* id : this->order_batch())
    {
        if (!this->queue.at(*id).request.redirected &&
            !this->redirect(out, now, *id, work_kind::batch))
        {
            return;
        }
    }
}

std::vector<slot_decision>
slot_scheduler::on_group_status(time_point now, const group_status& status)
{
    decisions out;
    this->overflow.on_group_status(now, status);
    for (const crashed_run& run : status.crashed)
    {
        const decisions crash_decisions = this->on_crash(now, run);
        out.insert(out.end(), crash_decisions.begin(), crash_decisions.end());
    }
    this->redirect_waiting(out, now);
    return out;
}

group_status slot_scheduler::make_group_status(time_point now)
{
    group_status status;
    status.nodes = static_cast<std::int64_t>(this->nodes.size());
    const std::int64_t idle = this->runners.idle_slots();
    const std::int64_t reserved = this->reserved_slots(now);
    const auto waiting_online =
        static_cast<std::int64_t>(this->waiting(work_kind::online));
    const auto waiting_batch =
        static_cast<std::int64_t>(this->waiting(work_kind::batch));
    status.online_capacity =
        idle + static_cast<std::int64_t>(this->batch_runs.size()) - reserved -
        waiting_online;
    status.batch_capacity = idle - reserved - waiting_online - waiting_batch;
    status.crashed = this->crashes.recent_crashes(now);
    return status;
}

bool slot_scheduler::is_in_use() const
{
    return !this->nodes.empty();
}

void slot_scheduler::return_redirected_items(decisions& out, time_point now)
{
    for (auto entry = this->queue.begin(); entry != this->queue.end();)
    {
        const waiting_request& waiting = entry->second;
        if (waiting.request.kind != work_kind::batch ||
            !waiting.request.redirected ||
            now - waiting.arrived < this->settings.redirected_item_wait)
        {
            ++entry;
            continue;
        }
        out.push_back({entry->first, slot_decision_kind::refused, "", {}, {}});
        entry = this->queue.erase(entry);
    }
}

wait_estimate slot_scheduler::estimate_waits(time_point now) const
{
    std::vector<time_point> starts;
    for (const auto& [id, run] : this->running)
    {
        if (run.kind == work_kind::online)
        {
            starts.push_back(run.since);
        }
    }
    return wait_estimate(
        now, starts, duration(static_cast<std::int64_t>(this->mean_online_us)));
}

duration slot_scheduler::choose_retry_after(
    time_point now, const waiting_request& refusal, duration wait)
{
    const std::int64_t slots = std::max<std::int64_t>(1, this->total_slots());
    const duration step(static_cast<std::int64_t>(
        this->mean_online_us / static_cast<double>(slots)));
    this->next_retry_at = std::max(this->next_retry_at + step, now + wait);
    const duration left = refusal.deadline - now;
    const duration max_retry_after = std::chrono::duration_cast<duration>(
        left * this->settings.max_retry_after_share);
    return std::min(this->next_retry_at - now, max_retry_after);
}

void slot_scheduler::refuse_late(decisions& out, time_point now)
{
    if (this->online_queue.empty())
    {
        return;
    }
    const std::vector<const slot_id*> order = this->order_online(now);
    const wait_estimate waits = this->estimate_waits(now);
    std::size_t position = 0;
    std::size_t still_waiting = order.size();
    for (const slot_id* id : order)
    {
        const auto found = this->queue.find(*id);
        const waiting_request& waiting = found->second;
        if (!this->crashes.may_begin(now, waiting.traits))
        {
            // It waits for the outcome of other runs, not for a slot.
            continue;
        }
        const time_point expected_start =
            now + waits.wait_of(position) + this->settings.first_piece_delay;
        // A request that has waited longer than this is served late rather than
        // refused, because a retry would be late as well.
        const time_point decision_deadline =
            waiting.arrived + (waiting.target_deadline - waiting.arrived) /
                                  this->settings.decision_divisor;
        const time_point limit = waiting.is_retry || now > decision_deadline
                                     ? waiting.deadline
                                     : waiting.target_deadline;
        if (expected_start <= limit)
        {
            ++position;
            continue;
        }
        const duration retry_after = this->choose_retry_after(
            now, waiting, waits.wait_of(still_waiting));
        --still_waiting;
        if (waiting.request.request_digest != 0)
        {
            this->refused[waiting.request.request_digest] =
                now + this->settings.refusal_lifetime;
        }
        out.push_back({*id, slot_decision_kind::refused, "", retry_after, {}});
        this->queue.erase(found);
    }
}

std::vector<slot_decision> slot_scheduler::on_tick(time_point now)
{
    decisions out;
    std::vector<std::string> silent;
    for (const auto& [node, state] : this->nodes)
    {
        if (now - state.last_message_at > this->settings.node_timeout)
        {
            silent.push_back(node);
        }
    }
    for (const std::string& node : silent)
    {
        this->drop_older_processes(node, this->nodes.at(node).incarnation + 1);
        this->nodes.erase(node);
    }
    std::erase_if(
        this->refused,
        [now](const auto& item)
        {
            return item.second < now;
        });
    this->crashes.on_tick(now);
    this->dispatch(out, now);
    this->refuse_late(out, now);
    this->return_redirected_items(out, now);
    return out;
}

std::size_t slot_scheduler::slots_in_use(work_kind kind) const
{
    return static_cast<std::size_t>(std::count_if(
        this->running.begin(),
        this->running.end(),
        [kind](const auto& item)
        {
            return item.second.kind == kind && !item.second.preempted;
        }));
}

std::size_t slot_scheduler::waiting(work_kind kind) const
{
    return static_cast<std::size_t>(std::count_if(
        this->queue.begin(),
        this->queue.end(),
        [kind](const auto& item)
        {
            return item.second.request.kind == kind;
        }));
}

std::int64_t slot_scheduler::total_slots() const
{
    return this->runners.total_slots();
}

} // namespace chicory::serving
