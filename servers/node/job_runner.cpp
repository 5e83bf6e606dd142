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
/// A job that is due sooner is counted as late when items are chosen.
constexpr std::chrono::seconds shortest_item_time(2);
/// Items of one node that wait for slots at once; all nodes together ask for
/// as many as there are slots, and no coordinator orders thousands.
constexpr std::size_t most_waiting_items = 12;

} // namespace

job_runner::job_runner(
    asio::io_context& io,
    run_services shared_services,
    job_store& its_ledger,
    std::string vm_id,
    incarnation_hook its_incarnation,
    nodes_hook live)
    : context(io), timer(io), services(shared_services), ledger(its_ledger),
      self(std::move(vm_id)), own_incarnation(std::move(its_incarnation)),
      live_nodes(std::move(live)), ownership({this->self, 0})
{
}

void job_runner::start()
{
    this->ledger.set_change_hook(
        [this]
        {
            this->schedule();
        });
    this->tick();
}

void job_runner::tick()
{
    this->review(read_monotonic_clock());
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

void job_runner::schedule()
{
    if (this->scheduled)
    {
        return;
    }
    this->scheduled = true;
    asio::post(
        this->context,
        [this]
        {
            this->scheduled = false;
            this->review(read_monotonic_clock());
        });
}

void job_runner::leave()
{
    this->leaving = true;
    const std::vector<serving::live_node> live = this->live_nodes();
    for (const auto& [id, job] : this->active)
    {
        // Runs that are stopped leave the job one by one.
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
    this->schedule();
}

const std::vector<platform::job_item>*
job_runner::find_items(const std::string& job) const
{
    const auto found = this->active.find(job);
    return found == this->active.end() ? nullptr : &found->second->items;
}

void job_runner::review(time_point now)
{
    if (this->leaving)
    {
        return;
    }
    this->ownership.set_incarnation(this->own_incarnation());
    const std::vector<serving::live_node> live = this->live_nodes();
    for (const serving::job_record* job : this->ledger.all())
    {
        if (!serving::is_open(*job))
        {
            this->ownership.forget(job->id);
            continue;
        }
        if (this->ownership.owns(*job))
        {
            this->review_owned(*job);
        }
        else if (
            !this->busy.contains(job->id) &&
            this->ownership.should_take_over(now, *job, live))
        {
            this->busy.insert(job->id);
            net::spawn_guarded(
                this->context.get_executor(),
                "taking over a job",
                this->take_over(job->id));
        }
    }
    for (auto entry = this->active.begin(); entry != this->active.end();)
    {
        const serving::job_record* job = this->ledger.find(entry->first);
        if (job != nullptr && serving::is_open(*job) &&
            this->ownership.owns(*job))
        {
            this->give_up_old(*entry->second, *job);
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
    this->launch();
}

void job_runner::review_owned(const serving::job_record& job)
{
    if (this->active.contains(job.id) || this->busy.contains(job.id))
    {
        return;
    }
    this->busy.insert(job.id);
    net::spawn_guarded(
        this->context.get_executor(), "loading a job", this->load(job.id));
}

void job_runner::stop(active_job& job)
{
    job.stopped = true;
    for (const auto& [item, run] : job.runs)
    {
        run->stop();
    }
}

asio::awaitable<void> job_runner::take_over(std::string id)
{
    const std::string previous = this->ledger.find(id) == nullptr
                                     ? std::string()
                                     : this->ledger.find(id)->owner;
    // GCC 12 destroys a lambda twice that is made within a co_await.
    job_store::change_function take =
        [this, previous](
            const serving::job_record& record) -> std::optional<job_change>
    {
        if (this->ownership.owns(record) || record.owner != previous ||
            !serving::is_open(record))
        {
            return std::nullopt;
        }
        job_change wanted{record, {}};
        wanted.record.owner = this->self;
        wanted.record.owner_incarnation = this->own_incarnation();
        return wanted;
    };
    const result<serving::job_record> changed =
        co_await this->ledger.change(id, std::move(take), commit_limit);
    this->busy.erase(id);
    if (changed && this->ownership.owns(changed.value()))
    {
        log_event(event::job_taken_over, {{"job", id}, {"previous", previous}});
        this->services.numbers.add("jobs_taken_over_total");
    }
    this->schedule();
}

asio::awaitable<void> job_runner::load(std::string id)
{
    std::vector<platform::job_item> items;
    job_store::pieces_by_item saved;
    if (const auto kept = this->accepted_items.find(id);
        kept != this->accepted_items.end())
    {
        items = std::move(kept->second);
        this->accepted_items.erase(kept);
    }
    else
    {
        result<std::vector<platform::job_item>> read =
            co_await this->ledger.read_items(id);
        result<job_store::pieces_by_item> pieces =
            co_await this->ledger.read_pieces(id);
        if (!read || !pieces)
        {
            log_event(
                event::commit_deferred,
                {{"job", id},
                 {"error", read ? pieces.error().text : read.error().text}});
            asio::steady_timer pause(this->context);
            pause.expires_after(load_retry);
            co_await pause.async_wait(as_result);
            this->busy.erase(id);
            co_return;
        }
        items = std::move(read.value());
        saved = std::move(pieces.value());
    }
    this->busy.erase(id);
    const serving::job_record* record = this->ledger.find(id);
    if (record == nullptr || !this->ownership.owns(*record) || this->leaving)
    {
        co_return;
    }
    const auto job = std::make_shared<active_job>();
    job->id = id;
    job->items = std::move(items);
    job->failures = record->failures;
    job->saved = std::move(saved);
    job->next_save = read_monotonic_clock() + duration(save_interval);
    this->active[id] = job;
    this->schedule();
}

void job_runner::give_up_old(active_job& job, const serving::job_record& record)
{
    const auto configuration = this->services.fleet.configuration();
    if (configuration == nullptr)
    {
        return;
    }
    const serving::serving_route* route =
        serving::find_route_by_name(*configuration, record.route);
    const duration age = this->ledger.age_of(record);
    const bool over = route == nullptr || age > route->retention;
    if (!over)
    {
        return;
    }
    for (const std::int64_t item : serving::unlisted_items(record))
    {
        const auto run = job.runs.find(item);
        if (run != job.runs.end())
        {
            run->second->stop();
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

std::size_t job_runner::count_waiting() const
{
    std::size_t waiting = 0;
    for (const auto& [id, job] : this->active)
    {
        for (const auto& [item, run] : job->runs)
        {
            waiting += run->is_waiting() ? 1 : 0;
        }
    }
    return waiting;
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

/// Starts items by the due times of their jobs, those that can be in time
/// before the others.
void job_runner::launch()
{
    struct candidate
    {
        bool late = false;
        duration left = duration::zero();
        std::shared_ptr<active_job> job;
        const serving::job_record* record = nullptr;
        std::shared_ptr<const serving::serving_route> route;
    };
    std::vector<candidate> jobs;
    for (const auto& [id, job] : this->active)
    {
        const serving::job_record* record = this->ledger.find(id);
        const auto route = this->find_route(record);
        if (route != nullptr)
        {
            const duration left =
                route->completion_target - this->ledger.age_of(*record);
            jobs.push_back(
                {left < shortest_item_time, left, job, record, route});
        }
    }
    std::stable_sort(
        jobs.begin(),
        jobs.end(),
        [](const candidate& first, const candidate& second)
        {
            return std::tie(first.late, first.left) <
                   std::tie(second.late, second.left);
        });
    std::size_t waiting = this->count_waiting();
    for (const candidate& next : jobs)
    {
        for (const std::int64_t item : serving::unlisted_items(*next.record))
        {
            if (waiting >= most_waiting_items)
            {
                return;
            }
            if (!next.job->runs.contains(item) &&
                !this->is_finished(*next.job, item))
            {
                this->launch_item(next.job, item, *next.route, next.left);
                ++waiting;
            }
        }
    }
}

void job_runner::launch_item(
    const std::shared_ptr<active_job>& job,
    std::int64_t item,
    const serving::serving_route& route,
    duration left)
{
    const time_point due = read_monotonic_clock() + left;
    job->runs[item] = std::make_shared<item_execution>(
        this->context,
        this->services,
        job->items.at(static_cast<std::size_t>(item)),
        job->id,
        route.name,
        due,
        due - route.completion_target + route.retention,
        job->saved[item]);
    net::spawn_guarded(
        this->context.get_executor(),
        "running an item",
        this->run_item(job, item));
}

asio::awaitable<void>
job_runner::run_item(std::shared_ptr<active_job> job, std::int64_t item)
{
    const std::shared_ptr<item_execution> run = job->runs.at(item);
    while (true)
    {
        const item_end end = co_await run->work();
        if (end == item_end::stopped || job->stopped)
        {
            break;
        }
        if (end == item_end::completed)
        {
            job->finished.push_back(
                {item,
                 serving::item_state::completed,
                 run->progress().text(),
                 list_pieces(*job, run->progress())});
            break;
        }
        serving::item_failures& counts = job->failures[item];
        (end == item_end::failed ? counts.failed : counts.impossible) += 1;
        job->failures_changed = true;
        const auto route = this->find_route(this->ledger.find(job->id));
        const std::int64_t most = route == nullptr ? 1 : route->max_attempts;
        if (route != nullptr && serving::judge_failures(counts, most) ==
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
                 list_pieces(*job, run->progress())});
            break;
        }
        this->request_commit(job);
        asio::steady_timer pause(this->context);
        pause.expires_after(failure_pause);
        co_await pause.async_wait(as_result);
    }
    job->runs.erase(item);
    if (!job->stopped)
    {
        log_event(
            event::item_finished,
            {{"job", job->id},
             {"item", job->items.at(static_cast<std::size_t>(item)).id},
             {"events", run->progress().events()}});
        this->request_commit(job);
        this->schedule();
    }
}

} // namespace chicory::node
