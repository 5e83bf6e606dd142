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
    this->start_items();
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
                admission.add(execution->service());
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

/// Starts items in the order of their jobs' due times. Items that can complete
/// in time come before the late ones.
void job_runner::start_items()
{
    struct candidate
    {
        bool late = false;
        duration time_left = duration::zero();
        std::shared_ptr<active_job> job;
        const serving::job_record* record = nullptr;
        std::shared_ptr<const serving::serving_route> route;
    };
    std::vector<candidate> jobs;
    for (const auto& [id, job] : this->active)
    {
        const serving::job_record* record = this->store.find(id);
        const auto route = this->find_route(record);
        if (route != nullptr)
        {
            const duration time_left =
                route->completion_target - this->store.age_of(*record);
            jobs.push_back(
                {time_left < min_item_time, time_left, job, record, route});
        }
    }
    std::stable_sort(
        jobs.begin(),
        jobs.end(),
        [](const candidate& first, const candidate& second)
        {
            return std::tie(first.late, first.time_left) <
                   std::tie(second.late, second.time_left);
        });
    serving::item_admission admission = this->count_waiting();
    for (const candidate& next : jobs)
    {
        const auto may_start_any = [&]
        {
            return std::any_of(
                next.route->services.begin(),
                next.route->services.end(),
                [&admission](const serving::service_share& share)
                {
                    return admission.may_start(share.service);
                });
        };
        // Most jobs wait for services without free places; their items are not
        // examined.
        if (!may_start_any())
        {
            continue;
        }
        for (const std::int64_t item : serving::unlisted_items(*next.record))
        {
            if (next.job->executions.contains(item) ||
                this->is_finished(*next.job, item))
            {
                continue;
            }
            const std::string& service = serving::choose_service(
                *next.route,
                hash_bytes(
                    next.job->items.at(static_cast<std::size_t>(item)).id));
            if (admission.may_start(service))
            {
                this->start_item(
                    next.job, item, *next.route, service, next.time_left);
                admission.add(service);
            }
            else if (!may_start_any())
            {
                break;
            }
        }
    }
}

void job_runner::start_item(
    const std::shared_ptr<active_job>& job,
    std::int64_t item,
    const serving::serving_route& route,
    const std::string& service,
    duration time_left)
{
    const time_point accepted_at =
        read_monotonic_clock() + time_left - route.completion_target;
    job->executions[item] = std::make_shared<item_execution>(
        this->context,
        this->services,
        job->items.at(static_cast<std::size_t>(item)),
        job->id,
        route.name,
        job->organisation,
        service,
        accepted_at,
        job->saved[item]);
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
