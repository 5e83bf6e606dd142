#include "servers/node/job_runner.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds tick_interval(150);
constexpr std::chrono::milliseconds failure_pause(150);
/// Maximum number of items started in one tick that may prove to be impossible
/// for the runners. Bounds the cost of their refusals on a small VM that starts
/// or takes over thousands of them.
constexpr int max_uncertain_starts = 16;
/// Minimum time between two log lines about held items.
constexpr std::chrono::seconds hold_report_interval(1);
/// A job with less time left counts as late when items are chosen.
constexpr std::chrono::seconds min_item_time(2);

} // namespace

job_runner::job_runner(
    asio::io_context& io,
    run_services shared_services,
    job_store& initial_store,
    std::string vm_id,
    incarnation_hook get_incarnation,
    nodes_hook get_live_nodes)
    : context(io), timer(io), services(shared_services), store(initial_store),
      self(std::move(vm_id)), own_incarnation(std::move(get_incarnation)),
      live_nodes(std::move(get_live_nodes)), ownership({this->self, 0})
{
}

void job_runner::start()
{
    this->store.set_change_hook(
        [this]
        {
            this->schedule_reconcile();
        });
    this->tick();
}

void job_runner::tick()
{
    this->uncertain_starts_left = max_uncertain_starts;
    this->reconcile(read_monotonic_clock());
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](boost::system::error_code code)
        {
            if (code != asio::error::operation_aborted)
            {
                this->tick();
            }
        });
}

void job_runner::schedule_reconcile()
{
    if (this->reconcile_scheduled)
    {
        return;
    }
    this->reconcile_scheduled = true;
    asio::post(
        this->context,
        [this]
        {
            this->reconcile_scheduled = false;
            this->reconcile(read_monotonic_clock());
        });
}

void job_runner::leave()
{
    this->leaving = true;
    const std::vector<serving::live_node> live = this->live_nodes();
    for (const auto& [id, job] : this->active)
    {
        // Stopped runs remove themselves from the job one by one, so their
        // pieces are collected first.
        unsaved_pieces pieces = collect_unsaved(*job);
        this->stop(*job);
        if (const std::optional<serving::live_node> successor =
                serving::choose_owner(id, live))
        {
            net::spawn_guarded(
                this->context.get_executor(),
                "handing a job over",
                this->hand_over(job, std::move(pieces), *successor));
        }
    }
    this->active.clear();
}

void job_runner::on_accepted(
    const std::string& job, std::vector<platform::job_item> items)
{
    this->accepted_items[job] = std::move(items);
    this->schedule_reconcile();
}

const std::vector<platform::job_item>*
job_runner::find_items(const std::string& job) const
{
    const auto found = this->active.find(job);
    return found == this->active.end() ? nullptr : &found->second->items;
}

void job_runner::reconcile(time_point now)
{
    if (this->leaving)
    {
        return;
    }
    this->ownership.set_incarnation(this->own_incarnation());
    const std::vector<serving::live_node> live = this->live_nodes();
    for (const serving::job_record* job : this->store.all())
    {
        if (!serving::is_open(*job))
        {
            this->ownership.forget(job->id);
            continue;
        }
        if (this->ownership.owns(*job))
        {
            this->load_if_inactive(*job);
        }
        else if (
            !this->in_transition.contains(job->id) &&
            this->ownership.should_take_over(now, *job, live))
        {
            this->in_transition.insert(job->id);
            net::spawn_guarded(
                this->context.get_executor(),
                "taking over a job",
                this->take_over(job->id));
        }
    }
    for (auto entry = this->active.begin(); entry != this->active.end();)
    {
        const serving::job_record* job = this->store.find(entry->first);
        if (job != nullptr && serving::is_open(*job) &&
            this->ownership.owns(*job))
        {
            this->fail_expired_items(*entry->second, *job);
            this->request_save(now, entry->second);
            if (!entry->second->finished.empty())
            {
                this->request_commit(entry->second);
            }
            ++entry;
            continue;
        }
        this->stop(*entry->second);
        entry = this->active.erase(entry);
    }
    this->update_holds(now);
    this->release_items(now);
    this->start_items();
    this->report_holds(now);
}

void job_runner::load_if_inactive(const serving::job_record& job)
{
    if (this->active.contains(job.id) || this->in_transition.contains(job.id))
    {
        return;
    }
    this->in_transition.insert(job.id);
    net::spawn_guarded(
        this->context.get_executor(), "loading a job", this->load(job.id));
}

void job_runner::stop(active_job& job)
{
    job.stopped = true;
    for (const auto& [item, execution] : job.executions)
    {
        execution->stop();
        this->holds.remove(
            read_monotonic_clock(), execution->requirement(), {job.id, item});
    }
    while (!job.held.empty())
    {
        this->forget_hold(job, job.held.begin()->first);
    }
}

asio::awaitable<void> job_runner::take_over(std::string id)
{
    const std::string previous = this->store.find(id) == nullptr
                                     ? std::string()
                                     : this->store.find(id)->owner;
    // The lambda is not created within the co_await expression, because GCC 12
    // would destroy it twice.
    job_store::change_function claim =
        [this, previous](
            const serving::job_record& record) -> std::optional<job_change>
    {
        if (this->ownership.owns(record) || record.owner != previous ||
            !serving::is_open(record))
        {
            return std::nullopt;
        }
        job_change change{record, {}};
        change.record.owner = this->self;
        change.record.owner_incarnation = this->own_incarnation();
        return change;
    };
    const result<serving::job_record> changed =
        co_await this->store.change(id, std::move(claim), commit_limit);
    this->in_transition.erase(id);
    if (changed && this->ownership.owns(changed.value()))
    {
        log_event(event::job_taken_over, {{"job", id}, {"previous", previous}});
        this->services.counters.add("jobs_taken_over_total");
    }
    this->schedule_reconcile();
}

asio::awaitable<void> job_runner::load(std::string id)
{
    std::vector<platform::job_item> items;
    job_store::pieces_by_item saved;
    if (const auto accepted = this->accepted_items.find(id);
        accepted != this->accepted_items.end())
    {
        items = std::move(accepted->second);
        this->accepted_items.erase(accepted);
    }
    else
    {
        result<std::vector<platform::job_item>> read =
            co_await this->store.read_items(id);
        result<job_store::pieces_by_item> pieces =
            co_await this->store.read_pieces(id);
        if (!read || !pieces)
        {
            log_event(
                event::commit_deferred,
                {{"job", id},
                 {"error", read ? pieces.error().text : read.error().text}});
            asio::steady_timer pause(this->context);
            pause.expires_after(load_retry);
            co_await pause.async_wait(as_result);
            this->in_transition.erase(id);
            co_return;
        }
        items = std::move(read.value());
        saved = std::move(pieces.value());
    }
    this->in_transition.erase(id);
    const serving::job_record* record = this->store.find(id);
    if (record == nullptr || !this->ownership.owns(*record) || this->leaving)
    {
        co_return;
    }
    const auto job = std::make_shared<active_job>();
    job->id = id;
    job->organisation = record->organisation;
    job->items = std::move(items);
    job->failures = record->failures;
    job->saved = std::move(saved);
    for (const std::int64_t item : serving::unlisted_items(*record))
    {
        job->unstarted.insert(item);
    }
    if (const auto route = this->find_route(record))
    {
        job->services = route->services;
    }
    job->next_save = read_monotonic_clock() + duration(save_interval);
    this->active[id] = job;
    this->schedule_reconcile();
}

void job_runner::fail_expired_items(
    active_job& job, const serving::job_record& record)
{
    const auto configuration = this->services.fleet.configuration();
    if (configuration == nullptr)
    {
        return;
    }
    const serving::serving_route* route =
        serving::find_route_by_name(*configuration, record.route);
    const duration age = this->store.age_of(record);
    const bool is_expired = route == nullptr || age > route->retention;
    if (!is_expired)
    {
        return;
    }
    for (const std::int64_t item : serving::unlisted_items(record))
    {
        const auto execution = job.executions.find(item);
        if (execution != job.executions.end())
        {
            execution->second->stop();
        }
        if (job.held.contains(item) || job.unstarted.contains(item) ||
            job.uncertain.contains(item))
        {
            // It does not run, so that no run ends and removes it.
            this->forget_hold(job, item);
            job.executions.erase(item);
            job.suspended.erase(item);
            job.unstarted.erase(item);
            job.uncertain.erase(item);
        }
        if (!this->is_finished(job, item))
        {
            job.finished.push_back(
                {item, serving::item_state::errored, "", {}});
        }
    }
}

std::shared_ptr<const serving::serving_route>
job_runner::find_route(const serving::job_record* job) const
{
    return job == nullptr ? nullptr
                          : this->services.fleet.find_route(job->route);
}

serving::item_admission job_runner::count_waiting() const
{
    serving::item_admission admission;
    for (const auto& [id, job] : this->active)
    {
        for (const auto& [item, execution] : job->executions)
        {
            if (execution->is_waiting())
            {
                const serving::item_requirement& needed =
                    execution->requirement();
                admission.add(
                    needed.service,
                    execution->is_uncertain() ||
                        this->holds.is_uncertain(needed));
            }
        }
    }
    return admission;
}

bool job_runner::is_finished(const active_job& job, std::int64_t item)
{
    return std::any_of(
        job.finished.begin(),
        job.finished.end(),
        [item](const finished_item& entry)
        {
            return entry.item == item;
        });
}

serving::item_requirement job_runner::make_requirement(
    const active_job& job,
    std::int64_t item,
    const serving::serving_route& route) const
{
    const platform::job_item& found =
        job.items.at(static_cast<std::size_t>(item));
    return {
        serving::choose_service(route, hash_bytes(found.id)),
        platform::parse_expected_weights(found.headers),
        found.tokens};
}

void job_runner::hold_item(
    active_job& job,
    std::int64_t item,
    const serving::item_requirement& needed,
    serving::hold_reason reason,
    bool is_new)
{
    this->holds.hold(read_monotonic_clock(), needed, {job.id, item}, reason);
    job.held[item] = needed;
    job.trials.erase(item);
    if (is_new)
    {
        log_event(
            event::item_held,
            {{"job", job.id},
             {"item", job.items.at(static_cast<std::size_t>(item)).id},
             {"service", needed.service},
             {"reason",
              std::string(find_name(serving::hold_reason_names, reason))},
             {"tokens", needed.tokens},
             {"weights", needed.weights}});
    }
}

item_execution*
job_runner::find_suspended(const active_job& job, std::int64_t item)
{
    if (const auto found = job.suspended.find(item);
        found != job.suspended.end())
    {
        return found->second.get();
    }
    const auto found = job.executions.find(item);
    return found == job.executions.end() ? nullptr : found->second.get();
}

void job_runner::forget_hold(active_job& job, std::int64_t item)
{
    const auto found = job.held.find(item);
    if (found != job.held.end())
    {
        this->holds.remove(
            read_monotonic_clock(), found->second, {job.id, item});
        job.held.erase(found);
        job.trials.erase(item);
    }
}

void job_runner::release_items(time_point now)
{
    for (const serving::item_holds::released_item& released :
         this->holds.release(now))
    {
        const auto found = this->active.find(released.key.job);
        if (found == this->active.end() ||
            !found->second->held.contains(released.key.item))
        {
            continue;
        }
        active_job& job = *found->second;
        if (released.is_trial)
        {
            job.trials.insert(released.key.item);
            job.uncertain.insert(released.key.item);
            continue;
        }
        job.held.erase(released.key.item);
        job.unstarted.insert(released.key.item);
        if (item_execution* const execution =
                find_suspended(job, released.key.item))
        {
            execution->forget_refusals();
        }
    }
}

void job_runner::update_holds(time_point now)
{
    const auto configuration = this->services.fleet.configuration();
    if (configuration == nullptr)
    {
        return;
    }
    if (configuration->version != this->seen_configuration)
    {
        this->seen_configuration = configuration->version;
        this->holds.set_capacities(configuration->service_tokens);
        this->examine_moved_items();
    }
    const serving::runner_directory& runners = this->services.fleet.runners();
    if (this->holds.empty() || runners.version() == this->seen_runners_version)
    {
        return;
    }
    this->seen_runners_version = runners.version();
    for (const auto& [service, digest] : runners.digests())
    {
        const auto [seen, added] =
            this->seen_runners.try_emplace(service, digest);
        if (!added && std::exchange(seen->second, digest) != digest)
        {
            this->holds.on_runners_changed(now, service);
        }
    }
}

void job_runner::examine_moved_items()
{
    for (const auto& [id, job] : this->active)
    {
        const auto route = this->find_route(this->store.find(id));
        if (route == nullptr || job->services == route->services)
        {
            continue;
        }
        job->services = route->services;
        while (!job->held.empty())
        {
            const std::int64_t item = job->held.begin()->first;
            this->forget_hold(*job, item);
            job->unstarted.insert(item);
        }
        job->unstarted.merge(std::exchange(job->uncertain, {}));
    }
}

void job_runner::report_holds(time_point now)
{
    if (now < this->next_hold_report)
    {
        return;
    }
    this->next_hold_report = now + duration(hold_report_interval);
    std::map<std::string, serving::hold_counts> counts = this->holds.count();
    serving::hold_counts all;
    std::set<std::string> names;
    for (const auto& [service, found] : counts)
    {
        all.exceeds_memory += found.exceeds_memory;
        all.other_weights += found.other_weights;
        all.refused += found.refused;
        names.insert(service);
    }
    for (const auto& [service, found] : this->reported_holds)
    {
        names.insert(service);
    }
    for (const std::string& service : names)
    {
        const serving::hold_counts found = counts[service];
        if (found != this->reported_holds[service])
        {
            log_event(
                event::held_items_changed,
                {{"service", service},
                 {"exceeds_memory",
                  static_cast<std::int64_t>(found.exceeds_memory)},
                 {"other_weights",
                  static_cast<std::int64_t>(found.other_weights)},
                 {"refused", static_cast<std::int64_t>(found.refused)}});
        }
        if (found == serving::hold_counts())
        {
            counts.erase(service);
        }
    }
    this->reported_holds = std::move(counts);
    metrics& counters = this->services.counters;
    counters.set(
        "held_items_exceeding_memory",
        static_cast<std::int64_t>(all.exceeds_memory));
    counters.set(
        "held_items_for_other_weights",
        static_cast<std::int64_t>(all.other_weights));
    counters.set("held_items_refused", static_cast<std::int64_t>(all.refused));
}

std::vector<job_runner::startable_job> job_runner::find_startable_jobs() const
{
    std::vector<startable_job> jobs;
    for (const auto& [id, job] : this->active)
    {
        if (job->unstarted.empty() && job->uncertain.empty())
        {
            continue;
        }
        const serving::job_record* record = this->store.find(id);
        if (const auto route = this->find_route(record))
        {
            const duration time_left =
                route->completion_target - this->store.age_of(*record);
            jobs.push_back({time_left < min_item_time, time_left, job, route});
        }
    }
    std::stable_sort(
        jobs.begin(),
        jobs.end(),
        [](const startable_job& first, const startable_job& second)
        {
            return std::tie(first.late, first.time_left) <
                   std::tie(second.late, second.time_left);
        });
    return jobs;
}

/// Starts items in the order of their jobs' due times. Items that can complete
/// in time come before the late ones.
void job_runner::start_items()
{
    const std::vector<startable_job> jobs = this->find_startable_jobs();
    if (jobs.empty())
    {
        return;
    }
    serving::item_admission admission = this->count_waiting();
    for (const startable_job& next : jobs)
    {
        this->start_items_of(next, false, admission);
    }
    for (const startable_job& next : jobs)
    {
        this->start_items_of(next, true, admission);
    }
}

void job_runner::start_items_of(
    const startable_job& next,
    bool uncertain,
    serving::item_admission& admission)
{
    active_job& job = *next.job;
    std::set<std::int64_t>& items = uncertain ? job.uncertain : job.unstarted;
    std::set<std::int64_t>& others = uncertain ? job.unstarted : job.uncertain;
    for (auto entry = items.begin(); entry != items.end();)
    {
        // Most jobs wait for services without free places; their items are not
        // examined.
        const bool may_start_any = std::any_of(
            next.route->services.begin(),
            next.route->services.end(),
            [&](const serving::service_share& share)
            {
                return admission.may_start(share.service, uncertain);
            });
        if (!may_start_any || (uncertain && this->uncertain_starts_left <= 0))
        {
            return;
        }
        const std::int64_t item = *entry;
        const bool is_trial = job.trials.contains(item);
        const serving::item_requirement needed =
            this->make_requirement(job, item, *next.route);
        const item_execution* const execution = find_suspended(job, item);
        if (const std::optional<serving::hold_reason> reason =
                this->holds.find_reason(needed, is_trial))
        {
            entry = items.erase(entry);
            this->hold_item(job, item, needed, *reason, !is_trial);
            continue;
        }
        const bool is_uncertain =
            is_trial || this->holds.is_uncertain(needed) ||
            (execution != nullptr && execution->is_uncertain());
        if (is_uncertain != uncertain)
        {
            others.insert(item);
            entry = items.erase(entry);
            continue;
        }
        if (!admission.may_start(needed.service, uncertain))
        {
            ++entry;
            continue;
        }
        entry = items.erase(entry);
        admission.add(needed.service, uncertain);
        this->uncertain_starts_left -= uncertain ? 1 : 0;
        this->start_item(next, item, needed);
    }
}

void job_runner::start_item(
    const startable_job& next,
    std::int64_t item,
    const serving::item_requirement& needed)
{
    const std::shared_ptr<active_job>& job = next.job;
    const time_point accepted_at =
        read_monotonic_clock() + next.time_left - next.route->completion_target;
    std::shared_ptr<item_execution>& execution = job->executions[item];
    if (auto suspended = job->suspended.extract(item))
    {
        execution = std::move(suspended.mapped());
    }
    if (execution == nullptr)
    {
        execution = std::make_shared<item_execution>(
            this->context,
            this->services,
            job->items.at(static_cast<std::size_t>(item)),
            job->id,
            next.route->name,
            job->organisation,
            needed.service,
            accepted_at,
            job->saved[item],
            this->holds,
            serving::item_key{job->id, item},
            [this](const std::string& service)
            {
                return !this->count_waiting().has_too_many_uncertain(service);
            });
    }
    if (const auto held = job->held.find(item); held != job->held.end())
    {
        execution->begin_trial(held->second);
        job->held.erase(held);
        job->trials.erase(item);
    }
    net::spawn_guarded(
        this->context.get_executor(),
        "running an item",
        this->run_item(job, item));
}

asio::awaitable<void>
job_runner::run_item(std::shared_ptr<active_job> job, std::int64_t item)
{
    const std::shared_ptr<item_execution> execution = job->executions.at(item);
    while (true)
    {
        const item_outcome outcome = co_await execution->execute();
        if (outcome == item_outcome::stopped || job->stopped)
        {
            break;
        }
        if (outcome == item_outcome::held)
        {
            this->hold_item(
                *job,
                item,
                execution->requirement(),
                execution->held_for(),
                !execution->was_on_trial());
            if (!execution->unsaved())
            {
                job->suspended[item] = execution;
                job->executions.erase(item);
            }
            this->schedule_reconcile();
            co_return;
        }
        if (outcome == item_outcome::completed)
        {
            job->finished.push_back(
                {item,
                 serving::item_state::completed,
                 execution->progress().text(),
                 list_pieces_to_remove(*job, execution->progress())});
            break;
        }
        serving::item_failures& counts = job->failures[item];
        (outcome == item_outcome::failed ? counts.failed : counts.impossible) +=
            1;
        job->failures_changed = true;
        const auto route = this->find_route(this->store.find(job->id));
        const std::int64_t max_attempts =
            route == nullptr ? 1 : route->max_attempts;
        if (route != nullptr && serving::judge_failures(counts, max_attempts) ==
                                    serving::failure_decision::give_up)
        {
            log_event(
                event::item_failed,
                {{"job", job->id},
                 {"item", job->items.at(static_cast<std::size_t>(item)).id},
                 {"failed", counts.failed},
                 {"impossible", counts.impossible}});
            job->finished.push_back(
                {item,
                 serving::item_state::errored,
                 "",
                 list_pieces_to_remove(*job, execution->progress())});
            break;
        }
        this->request_commit(job);
        asio::steady_timer pause(this->context);
        pause.expires_after(failure_pause);
        co_await pause.async_wait(as_result);
    }
    job->executions.erase(item);
    this->holds.remove(
        read_monotonic_clock(), execution->requirement(), {job->id, item});
    if (!job->stopped)
    {
        log_event(
            event::item_finished,
            {{"job", job->id},
             {"item", job->items.at(static_cast<std::size_t>(item)).id},
             {"events", execution->progress().events()}});
        this->request_commit(job);
        this->schedule_reconcile();
    }
}

} // namespace chicory::node
