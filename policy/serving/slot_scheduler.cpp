#include "policy/serving/slot_scheduler.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace chicory::serving
{

namespace
{

/// Weight of a new run in the mean duration of runs.
constexpr double mean_weight = 0.05;

/// The numbers of requests made and served are multiplied by this factor in
/// this interval, so that half of the weight is on the last 3.4 s.
constexpr double service_fade = 0.9;
constexpr std::chrono::milliseconds service_fade_interval(500);
constexpr double min_asked = 0.01;
/// An organisation that is served less than this share as often as all goes
/// first. The required share is a quarter; the margin covers the time until its
/// requests get slots.
constexpr double min_service_share = 0.5;

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

void slot_scheduler::set_quota(organisation_quota* quotas)
{
    this->quota = quotas;
}

std::vector<slot_decision> slot_scheduler::set_runners(
    time_point now, const std::vector<slot_runner>& usable)
{
    const std::int64_t memory_before = this->runners.largest_memory();
    this->runners.set_usable(usable);
    decisions out;
    if (this->runners.largest_memory() < memory_before)
    {
        this->refuse_too_large(out, now);
    }
    this->dispatch(out, now);
    return out;
}

void slot_scheduler::refuse_too_large(decisions& out, time_point now)
{
    for (const slot_id& id : this->online_queue)
    {
        const auto found = this->queue.find(id);
        if (found != this->queue.end() &&
            this->runners.exceeds_every_memory(found->second.request))
        {
            out.push_back({id, slot_decision_kind::refused, "", {}, {}});
            this->remove_unserved(now, found);
        }
    }
}

void slot_scheduler::on_node_message(
    time_point now, const std::string& node, std::uint64_t incarnation)
{
    node_state& state = this->nodes[node];
    if (state.incarnation < incarnation)
    {
        this->drop_older_processes(now, node, incarnation);
        state.incarnation = incarnation;
    }
    state.last_message_at = now;
}

std::map<slot_id, slot_scheduler::waiting_request>::iterator
slot_scheduler::remove_unserved(
    time_point now, std::map<slot_id, waiting_request>::iterator entry)
{
    const waiting_request& waiting = entry->second;
    if (waiting.charged_at && this->quota != nullptr)
    {
        this->quota->refund(
            now, waiting.request.organisation, *waiting.charged_at);
    }
    return this->queue.erase(entry);
}

void slot_scheduler::drop_ended_work(
    time_point now,
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
                      ? this->remove_unserved(now, waiting)
                      : std::next(waiting);
    }
}

void slot_scheduler::drop_older_processes(
    time_point now, const std::string& node, std::uint64_t before)
{
    this->drop_ended_work(
        now,
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
    time_point since,
    std::int64_t tokens)
{
    this->remove_running(id);
    running_slot run;
    run.kind = kind;
    run.runner = runner;
    run.since = since;
    run.tokens = tokens;
    this->running[id] = run;
    if (kind == work_kind::batch)
    {
        this->batch_runs.insert(id);
    }
    this->runners.begin_run(runner, tokens);
}

void slot_scheduler::record_load(
    time_point now, running_slot& run, const load_sample& load)
{
    if (load.load.slots > 0 && !std::exchange(run.has_load, true))
    {
        this->runners.on_load(now, run.runner, load);
    }
}

void slot_scheduler::remove_running(const slot_id& id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end())
    {
        return;
    }
    const running_slot& run = found->second;
    this->runners.end_run(run.runner, run.tokens, run.preempted);
    if (const auto slots = this->organisation_slots.find(run.organisation);
        slots != this->organisation_slots.end() && --slots->second <= 0)
    {
        this->organisation_slots.erase(slots);
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
    if (const auto known = this->refused.find(request.request_digest);
        request.request_digest != 0 && known != this->refused.end())
    {
        added.is_retry = true;
        added.refused_at = known->second.refused_at;
    }
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
    // An item may be given up only when its retention ends, so it waits.
    if (request.kind == work_kind::online &&
        this->runners.exceeds_every_memory(request))
    {
        out.push_back({request.id, slot_decision_kind::refused, "", {}, {}});
        return false;
    }
    this->add_waiting(now, request);
    if (request.kind == work_kind::batch || request.organisation.empty())
    {
        return true;
    }
    const auto added = this->queue.find(request.id);
    if (this->charge(out, now, added->second))
    {
        this->organisation_service[request.organisation].asked +=
            added->second.is_retry ? 0.0 : 1.0;
        return true;
    }
    this->queue.erase(added);
    return false;
}

bool slot_scheduler::charge(
    decisions& out, time_point now, waiting_request& waiting)
{
    const slot_request& request = waiting.request;
    waiting.awaits_quota = false;
    if (this->quota == nullptr || request.charged)
    {
        return true;
    }
    if (request.redirected)
    {
        // The other coordinator admitted it and took back its own charge.
        this->quota->charge_admitted(now, request.organisation);
        waiting.charged_at = now;
        return true;
    }
    const quota_decision decision =
        this->quota->charge(now, request.organisation);
    if (decision.kind == quota_decision_kind::refused)
    {
        out.push_back(
            {request.id,
             slot_decision_kind::over_quota,
             "",
             decision.retry_after,
             {}});
        return false;
    }
    waiting.awaits_quota = decision.kind == quota_decision_kind::undecided;
    if (!waiting.awaits_quota)
    {
        waiting.charged_at = now;
    }
    return true;
}

void slot_scheduler::fade_service(time_point now)
{
    if (now - this->service_faded_at < service_fade_interval)
    {
        return;
    }
    this->service_faded_at = now;
    std::erase_if(
        this->organisation_service,
        [](const auto& item)
        {
            return item.second.asked < min_asked;
        });
    for (auto& [organisation, service] : this->organisation_service)
    {
        service.asked *= service_fade;
        service.served *= service_fade;
    }
}

std::set<std::string_view> slot_scheduler::find_underserved() const
{
    service_ratio all;
    for (const auto& [organisation, service] : this->organisation_service)
    {
        all.asked += service.asked;
        all.served += service.served;
    }
    std::set<std::string_view> found;
    for (const auto& [organisation, service] : this->organisation_service)
    {
        if (service.served * all.asked <
            service.asked * all.served * min_service_share)
        {
            found.insert(organisation);
        }
    }
    return found;
}

void slot_scheduler::charge_undecided(decisions& out, time_point now)
{
    if (this->quota == nullptr)
    {
        return;
    }
    for (const slot_id& id : this->online_queue)
    {
        const auto found = this->queue.find(id);
        if (found != this->queue.end() && found->second.awaits_quota &&
            !this->charge(out, now, found->second))
        {
            this->queue.erase(found);
        }
    }
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
            static_cast<double>((now - run.since).count()) /
                this->runners.work_time(now, run.runner));
    }
}

std::vector<slot_decision> slot_scheduler::on_release(
    time_point now,
    const slot_id& id,
    slot_outcome outcome,
    const load_sample& load,
    const request_traits& traits)
{
    decisions out;
    this->on_node_message(now, id.node, id.incarnation);
    if (const auto run = this->running.find(id); run != this->running.end())
    {
        this->record_load(now, run->second, load);
        if (run->second.traits.empty())
        {
            run->second.traits = traits;
        }
        this->record_outcome(now, run->second, outcome);
        const bool has_run = outcome != slot_outcome::unused &&
                             outcome != slot_outcome::refused &&
                             outcome != slot_outcome::unsuitable &&
                             outcome != slot_outcome::unreachable;
        if (!has_run && run->second.charged_at && this->quota != nullptr)
        {
            this->quota->refund(
                now, run->second.organisation, *run->second.charged_at);
        }
        this->remove_running(id);
    }
    else if (outcome == slot_outcome::completed && !traits.empty())
    {
        this->crashes.on_good_traits(now, traits);
    }
    if (const auto waiting = this->queue.find(id); waiting != this->queue.end())
    {
        this->remove_unserved(now, waiting);
    }
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
            this->remove_unserved(now, found);
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
            this->add_running(
                slot.id, slot.kind, slot.runner, now - slot.age, slot.tokens);
        }
        this->record_load(now, this->running[slot.id], slot.load);
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
        now,
        node,
        [&](const slot_id& id, time_point begun)
        {
            return !reported.contains(id) &&
                   now - begun > this->settings.report_tolerance;
        });
    this->dispatch(out, now);
    return out;
}

std::map<std::string, std::int64_t> slot_scheduler::batch_tokens() const
{
    std::map<std::string, std::int64_t> tokens;
    for (const slot_id& id : this->batch_runs)
    {
        const running_slot& run = this->running.at(id);
        tokens[run.runner] += run.tokens;
    }
    return tokens;
}

std::optional<slot_id> slot_scheduler::choose_run_to_preempt(
    time_point now, const slot_request& request, bool only_deferred) const
{
    const bool is_limited = this->runners.has_token_limit();
    std::map<std::string, std::int64_t> freed =
        is_limited ? this->batch_tokens()
                   : std::map<std::string, std::int64_t>();
    const std::map<std::string, std::int64_t> costs =
        this->batch_runs.empty() ? std::map<std::string, std::int64_t>()
                                 : this->runners.preemption_costs(now, request);
    std::optional<slot_id> best;
    // Deferred items are preempted first, then runs at the runner that is best
    // for the request, then those with the latest due time, then the youngest.
    std::tuple<bool, std::int64_t, time_point, time_point> best_rank;
    for (const slot_id& id : this->batch_runs)
    {
        const running_slot& run = this->running.at(id);
        const bool is_deferred = this->deferred.contains(id);
        if (only_deferred && !is_deferred)
        {
            continue;
        }
        if (!this->runners.may_preempt(now, run.runner, request) ||
            (is_limited && !this->runners.may_hold_tokens(
                               run.runner, request, freed[run.runner])))
        {
            continue;
        }
        const std::tuple<bool, std::int64_t, time_point, time_point> rank(
            is_deferred, -costs.at(run.runner), run.due, run.since);
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
    while (!this->runners.has_memory_soon(now, request))
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
        this->runners.preempt_run(run.runner, run.tokens);
        out.push_back(
            {*preempted_id, slot_decision_kind::preempt, run.runner, {}, {}});
        if (this->runners.holds_tokens(run.runner, request))
        {
            return run.runner;
        }
    }
    return std::nullopt;
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
    const std::int64_t tokens = found->second.request.tokens;
    request_traits traits = std::move(found->second.traits);
    const std::string organisation = found->second.request.organisation;
    const std::optional<time_point> charged_at = found->second.charged_at;
    this->refused.erase(found->second.request.request_digest);
    this->queue.erase(found);
    this->add_running(id, kind, runner, now, tokens);
    const bool report_first_event =
        this->crashes.needs_first_event(now, traits);
    this->crashes.on_begin(now, id, traits);
    this->running.at(id).traits = std::move(traits);
    this->running.at(id).report_first_event = report_first_event;
    if (!organisation.empty())
    {
        this->running.at(id).organisation = organisation;
        ++this->organisation_slots[organisation];
        this->organisation_service[organisation].served += 1.0;
    }
    if (charged_at && this->quota != nullptr)
    {
        this->quota->on_run(now, organisation, *charged_at);
        this->running.at(id).charged_at = now;
    }
    if (kind == work_kind::batch)
    {
        this->running.at(id).due = due;
        this->running.at(id).done_at =
            now + duration(static_cast<std::int64_t>(
                      static_cast<double>(work.count()) *
                      this->runners.work_time(now, runner)));
    }
    out.push_back(
        {id, slot_decision_kind::granted, runner, {}, {}, report_first_event});
}

std::vector<const slot_id*> slot_scheduler::order_online(time_point now)
{
    bool has_organisations = false;
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
        has_organisations =
            has_organisations || !waiting.request.organisation.empty();
        order.emplace_back(
            this->rank_of(now, waiting), waiting.arrived, &found->first);
        ++entry;
    }
    std::vector<const slot_id*> ids = sort_ids(std::move(order));
    return has_organisations ? this->order_by_organisation(now, std::move(ids))
                             : ids;
}

int slot_scheduler::rank_of(
    time_point now, const waiting_request& waiting) const
{
    const bool late =
        waiting.target_deadline < now + this->settings.first_piece_delay;
    return waiting.is_retry ? 0 : (late ? 2 : 1);
}

std::vector<const slot_id*> slot_scheduler::order_by_organisation(
    time_point now, std::vector<const slot_id*> ids) const
{
    std::set<std::string_view> active;
    for (const auto& [organisation, slots] : this->organisation_slots)
    {
        active.insert(organisation);
    }
    // Within an organisation, retried requests go first in the order of their
    // refusals, then the others in the order of arrival.
    using entry = std::map<slot_id, waiting_request>::value_type;
    std::vector<const entry*> order;
    for (const slot_id* id : ids)
    {
        order.push_back(&*this->queue.find(*id));
        active.insert(order.back()->second.request.organisation);
    }
    std::sort(
        order.begin(),
        order.end(),
        [](const entry* left, const entry* right)
        {
            const auto key_of = [](const waiting_request& waiting)
            {
                return std::pair(
                    !waiting.is_retry,
                    waiting.is_retry ? waiting.refused_at : waiting.arrived);
            };
            const auto left_key = key_of(left->second);
            const auto right_key = key_of(right->second);
            return left_key != right_key ? left_key < right_key
                                         : left->first < right->first;
        });
    const std::int64_t share = std::max<std::int64_t>(
        1,
        this->runners.total_slots() /
            static_cast<std::int64_t>(std::max<std::size_t>(1, active.size())));
    const std::set<std::string_view> underserved = this->find_underserved();
    std::map<std::string_view, std::int64_t> turns;
    for (const auto& [organisation, slots] : this->organisation_slots)
    {
        turns[organisation] = slots;
    }
    std::vector<std::tuple<int, std::int64_t, std::int64_t, std::size_t>> keys;
    for (const entry* found : order)
    {
        const waiting_request* const waiting = &found->second;
        const std::string& organisation = waiting->request.organisation;
        const std::int64_t turn = turns[organisation]++;
        int rank = this->rank_of(now, *waiting);
        if (rank == 0 && turn >= share)
        {
            rank = 1;
        }
        if (underserved.contains(organisation))
        {
            keys.emplace_back(rank, 0, 0, keys.size());
            continue;
        }
        const std::int64_t priority =
            this->quota == nullptr ? 0 : this->quota->priority_of(organisation);
        keys.emplace_back(rank, priority, turn, keys.size());
    }
    std::sort(keys.begin(), keys.end());
    ids.clear();
    for (const auto& [rank, priority, turn, index] : keys)
    {
        ids.push_back(&order[index]->first);
    }
    return ids;
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

std::int64_t slot_scheduler::overtaking_limit(
    time_point now, const waiting_request& waiting) const
{
    return this->runners.has_token_limit() &&
                   now - waiting.arrived < this->settings.max_overtaking
               ? waiting.request.tokens
               : 0;
}

void slot_scheduler::dispatch_online(decisions& out, time_point now)
{
    // A slot that is available to any request is also available to a repeatable
    // request that excludes no runner. If such a request finds no slot, no
    // other request finds one, and if a request that is not repeatable finds
    // none, no other of that kind does. The remaining requests are skipped, so
    // that only a few requests of a queue without slots are examined. Where the
    // memory of runners is limited, smaller requests may find a slot
    // nevertheless.
    std::int64_t repeatable_limit = std::numeric_limits<std::int64_t>::max();
    std::int64_t others_limit = repeatable_limit;
    for (const slot_id* id : this->order_online(now))
    {
        if (this->redirect_trial(out, now, *id))
        {
            continue;
        }
        const waiting_request& waiting = this->queue.at(*id);
        const slot_request& request = waiting.request;
        if (waiting.awaits_quota ||
            !this->crashes.may_begin(now, waiting.traits))
        {
            continue;
        }
        if (request.tokens >=
            (request.repeatable ? repeatable_limit : others_limit))
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
            const std::int64_t limit = this->overtaking_limit(now, waiting);
            others_limit = std::min(others_limit, limit);
            repeatable_limit = request.repeatable
                                   ? std::min(repeatable_limit, limit)
                                   : repeatable_limit;
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
    std::int64_t limit = std::numeric_limits<std::int64_t>::max();
    for (const slot_id* id : this->order_batch())
    {
        const slot_request& request = this->queue.at(*id).request;
        if (request.tokens >= limit)
        {
            continue;
        }
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
            // it, unless they need less memory.
            limit = this->runners.has_token_limit() ? request.tokens : 0;
            if (limit == 0)
            {
                return;
            }
        }
    }
}

void slot_scheduler::dispatch(decisions& out, time_point now)
{
    this->runners.on_time(now);
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
    this->remove_unserved(now, this->queue.find(id));
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
    this->remove_unserved(now, this->queue.find(id));
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
            !waiting.awaits_quota &&
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
    const double mean_time = this->runners.mean_work_time(now);
    std::vector<time_point> starts;
    for (const auto& [id, run] : this->running)
    {
        if (run.kind == work_kind::online)
        {
            // A run at a slow runner ends later, as if it had begun later.
            const double longer =
                this->mean_online_us *
                (this->runners.work_time(now, run.runner) - mean_time);
            starts.push_back(
                run.since + duration(static_cast<std::int64_t>(longer)));
        }
    }
    return wait_estimate(
        now,
        starts,
        duration(static_cast<std::int64_t>(this->mean_online_us * mean_time)));
}

duration slot_scheduler::choose_retry_after(
    time_point now, const waiting_request& refusal, duration wait)
{
    const std::int64_t slots = std::max<std::int64_t>(1, this->total_slots());
    const duration step(static_cast<std::int64_t>(
        this->mean_online_us * this->runners.mean_work_time(now) /
        static_cast<double>(slots)));
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
        if (waiting.awaits_quota ||
            !this->crashes.may_begin(now, waiting.traits))
        {
            // It waits for statuses or the outcome of other runs, not for a
            // slot.
            continue;
        }
        if (this->runners.has_memory_soon(now, waiting.request))
        {
            // It waits for preempted runs that are about to leave.
            ++position;
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
            const refused_request known = {
                waiting.is_retry ? waiting.refused_at : now,
                now + this->settings.refusal_lifetime};
            this->refused[waiting.request.request_digest] = known;
        }
        out.push_back({*id, slot_decision_kind::refused, "", retry_after, {}});
        this->remove_unserved(now, found);
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
        this->drop_older_processes(
            now, node, this->nodes.at(node).incarnation + 1);
        this->nodes.erase(node);
    }
    std::erase_if(
        this->refused,
        [now](const auto& item)
        {
            return item.second.until < now;
        });
    this->crashes.on_tick(now);
    this->charge_undecided(out, now);
    this->fade_service(now);
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

runner_speeds slot_scheduler::speeds(time_point now) const
{
    return this->runners.speeds(now);
}

} // namespace chicory::serving
