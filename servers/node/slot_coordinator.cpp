#include "servers/node/slot_coordinator.hpp"

#include <boost/asio/error.hpp>

#include <chrono>
#include <type_traits>
#include <utility>

namespace chicory::node
{

namespace
{

constexpr std::chrono::milliseconds tick_interval(25);
/// Time between two looks at runners that are avoided for a time.
constexpr std::chrono::milliseconds refresh_interval(100);
/// Time between two words to the coordinators of other groups.
constexpr std::chrono::milliseconds news_interval(150);
/// Time for which the sender of a group's news is taken for its coordinator.
constexpr std::chrono::milliseconds news_lifetime(500);

} // namespace

slot_coordinator::slot_coordinator(
    boost::asio::io_context& io,
    fleet_state& known,
    slot_topology& its_topology,
    std::string vm_id,
    send_hook hook)
    : timer(io), fleet(known), topology(its_topology), self(std::move(vm_id)),
      send(std::move(hook))
{
}

void slot_coordinator::start()
{
    this->tick();
}

void slot_coordinator::tick()
{
    const time_point now = read_monotonic_clock();
    this->refresh_runners(now, false);
    for (auto& [group, scheduler] : this->groups)
    {
        this->answer(group, "", scheduler.on_tick(now));
    }
    if (now >= this->next_news)
    {
        this->next_news = now + duration(news_interval);
        this->send_group_status(now);
    }
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](boost::system::error_code code)
        {
            if (code != boost::asio::error::operation_aborted)
            {
                this->tick();
            }
        });
}

void slot_coordinator::refresh_runners(time_point now, bool always)
{
    this->fleet.runners().on_tick(now);
    const std::uint64_t version = this->fleet.runners().version();
    if (!always && version == this->seen_runners && now < this->next_refresh)
    {
        return;
    }
    this->seen_runners = version;
    this->next_refresh = now + duration(refresh_interval);
    for (auto& [group, scheduler] : this->groups)
    {
        this->answer(
            group,
            "",
            scheduler.set_runners(
                now, this->topology.usable_runners(now, group)));
    }
}

serving::slot_scheduler& slot_coordinator::scheduler_of(
    time_point now, const serving::runner_group& group)
{
    const auto [entry, added] = this->groups.try_emplace(group);
    if (added)
    {
        entry->second.set_runners(
            now, this->topology.usable_runners(now, group));
    }
    return entry->second;
}

void slot_coordinator::answer(
    const serving::runner_group& group,
    const std::string& asking,
    const std::vector<serving::slot_decision>& verdicts)
{
    std::map<std::string, wire::slot_decisions> by_node;
    if (!asking.empty())
    {
        by_node[asking];
    }
    for (const serving::slot_decision& verdict : verdicts)
    {
        if (verdict.kind == serving::slot_decision_kind::refused)
        {
            this->log_refusal(group, verdict);
        }
        by_node[verdict.id.node].decisions.push_back(verdict);
    }
    for (auto& [node, packet] : by_node)
    {
        packet.group = group;
        this->send(node, packet);
    }
}

void slot_coordinator::log_refusal(
    const serving::runner_group& group,
    const serving::slot_decision& verdict) const
{
    const serving::slot_scheduler& scheduler = this->groups.at(group);
    log_event(
        event::slot_refused,
        {{"group", to_text(group)},
         {"node", verdict.id.node},
         {"slot", verdict.id.number},
         {"online", scheduler.slots_in_use(serving::work_kind::online)},
         {"batch", scheduler.slots_in_use(serving::work_kind::batch)},
         {"waiting", scheduler.waiting(serving::work_kind::online)},
         {"slots", scheduler.total_slots()},
         {"retry_after_ms", verdict.retry_after.count() / 1000}});
}

void slot_coordinator::on_packet(
    const std::string& sender, const wire::slot_packet& packet)
{
    const time_point now = read_monotonic_clock();
    this->refresh_runners(now, false);
    if (const auto* request = std::get_if<serving::slot_request>(&packet))
    {
        this->take(now, *request);
    }
    else if (const auto* release = std::get_if<wire::slot_release>(&packet))
    {
        this->take(now, *release);
    }
    else if (const auto* report = std::get_if<wire::slot_report>(&packet))
    {
        this->take(now, *report);
    }
    else if (const auto* news = std::get_if<wire::group_status_packet>(&packet))
    {
        this->take(now, sender, *news);
    }
}

void slot_coordinator::take(
    time_point now, const serving::slot_request& request)
{
    this->answer(
        request.group,
        request.id.node,
        this->scheduler_of(now, request.group).on_request(now, request));
}

void slot_coordinator::take(time_point now, const wire::slot_release& release)
{
    serving::slot_scheduler& scheduler = this->scheduler_of(now, release.group);
    if (release.outcome == serving::slot_outcome::crashed)
    {
        this->answer(
            release.group,
            "",
            scheduler.on_crash(now, {release.request_digest, release.id}));
    }
    this->answer(
        release.group,
        "",
        scheduler.on_release(now, release.id, release.outcome));
}

void slot_coordinator::take(time_point now, const wire::slot_report& report)
{
    for (const serving::leaving_runner& runner : report.leaving)
    {
        this->fleet.runners().on_leaving(runner.id, runner.started_ms);
    }
    this->refresh_runners(now, false);
    serving::slot_scheduler& scheduler = this->scheduler_of(now, report.group);
    for (const serving::crashed_run& run : report.crashed)
    {
        this->answer(report.group, "", scheduler.on_crash(now, run));
    }
    this->answer(
        report.group,
        report.node,
        scheduler.on_report(
            now, report.node, report.incarnation, report.held, report.waiting));
}

void slot_coordinator::take(
    time_point now,
    const std::string& sender,
    const wire::group_status_packet& news)
{
    if (!this->topology.division(news.status.group.service)
             .has(news.status.group))
    {
        return;
    }
    this->coordinators[news.status.group] = {sender, now};
    // A group that no node uses here has another coordinator.
    if (const auto found = this->groups.find(news.receiver);
        found != this->groups.end())
    {
        this->answer(
            news.receiver, "", found->second.on_group_status(now, news.status));
    }
}

std::string slot_coordinator::choose_receiver(
    time_point now, const serving::runner_group& group)
{
    const auto known = this->coordinators.find(group);
    if (known != this->coordinators.end() &&
        now - known->second.heard <= duration(news_lifetime))
    {
        return known->second.node;
    }
    const std::vector<std::string>& order = this->topology.coordinators(group);
    return order.empty() ? std::string() : order.front();
}

bool slot_coordinator::is_first(const serving::runner_group& group)
{
    const std::vector<std::string>& order = this->topology.coordinators(group);
    return !order.empty() && order.front() == this->self;
}

void slot_coordinator::add_own_groups(time_point now)
{
    for (const std::string& service : this->fleet.runners().services())
    {
        for (const serving::runner_group& group :
             this->topology.division(service).groups())
        {
            if (this->is_first(group))
            {
                this->scheduler_of(now, group);
            }
        }
    }
}

void slot_coordinator::send_group_status(time_point now)
{
    this->add_own_groups(now);
    for (auto& [group, scheduler] : this->groups)
    {
        const bool is_current =
            this->topology.division(group.service).has(group);
        if (!is_current || (!scheduler.is_in_use() && !this->is_first(group)))
        {
            continue;
        }
        wire::group_status_packet news;
        news.status = scheduler.make_group_status(now);
        news.status.group = group;
        for (const serving::runner_group& other :
             this->topology.division(group.service).groups())
        {
            const std::string node = this->choose_receiver(now, other);
            if (other != group && !node.empty())
            {
                news.receiver = other;
                this->send(node, news);
            }
        }
    }
}

const std::map<serving::runner_group, serving::slot_scheduler>&
slot_coordinator::schedulers() const
{
    return this->groups;
}

} // namespace chicory::node
