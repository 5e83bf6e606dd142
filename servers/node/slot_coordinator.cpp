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
/// Time between two updates of the usable runners. Runners that are avoided for
/// some time become usable again without a new version of the directory.
constexpr std::chrono::milliseconds refresh_interval(100);
/// Time between two status packets to the coordinators of other groups.
constexpr std::chrono::milliseconds group_status_interval(150);
/// Time for which the sender of a group's status is considered the group's
/// coordinator.
constexpr std::chrono::milliseconds group_status_lifetime(500);
/// Time between two log lines about the quota of an organisation.
constexpr std::chrono::milliseconds quota_log_interval(1000);

void log_quarantine_change(
    const serving::runner_group& group,
    const serving::quarantine_change& change)
{
    if (!change.quarantine)
    {
        log_event(
            event::trait_released,
            {{"group", to_text(group)},
             {"trait", serving::to_text({change.trait})}});
        return;
    }
    const serving::trait_quarantine& quarantine = *change.quarantine;
    const serving::quarantine_grounds& grounds = quarantine.grounds;
    log_event(
        event::trait_quarantined,
        {{"group", to_text(group)},
         {"trait", serving::to_text({change.trait})},
         {"companions", serving::to_text(quarantine.companions)},
         {"count", quarantine.count},
         {"time_left_ms", quarantine.time_left.count() / 1000},
         {"crashes", quarantine.crashes},
         {"crashed_runs", serving::format_crashes(grounds.crashes)},
         {"good_runs", grounds.good_runs},
         {"share_permille", grounds.share_permille},
         {"other_runners", grounds.other_runners}});
}

} // namespace

slot_coordinator::slot_coordinator(
    boost::asio::io_context& io,
    fleet_state& initial_fleet,
    slot_topology& initial_topology,
    std::string vm_id,
    const serving::organisation_quota_settings& initial_quotas,
    send_hook hook,
    quarantine_hook initial_on_quarantine)
    : timer(io), fleet(initial_fleet), topology(initial_topology),
      self(std::move(vm_id)), send(std::move(hook)),
      on_quarantine(std::move(initial_on_quarantine)),
      quotas(
          initial_quotas,
          [this](const std::string& name)
          {
              const auto configuration = this->fleet.configuration();
              const serving::organisation* found =
                  configuration == nullptr
                      ? nullptr
                      : configuration->organisations.find_by_name(name);
              return found == nullptr
                         ? std::nullopt
                         : std::optional(
                               serving::make_organisation_limit(*found));
          }),
      contacts(this->self)
{
}

void slot_coordinator::set_leaving_nodes(leaving_hook hook)
{
    this->leaving_nodes = std::move(hook);
}

std::size_t slot_coordinator::known_nodes() const
{
    return this->contacts.known_nodes();
}

const serving::organisation_quota& slot_coordinator::quota() const
{
    return this->quotas;
}

void slot_coordinator::start()
{
    this->tick();
}

void slot_coordinator::tick()
{
    const time_point now = read_monotonic_clock();
    this->check_suspension(now);
    this->refresh_runners(now, false);
    if (this->has_organisations())
    {
        const serving::quota_contact contact = this->contacts.find_contact(now);
        this->quotas.set_contact(now, contact);
        this->quotas.on_tick(now);
        const bool in_majority = contact.in_majority || contact.undecided;
        if (in_majority != std::exchange(this->was_in_majority, in_majority))
        {
            log_event(
                event::quota_contact_changed,
                {{"in_majority", in_majority ? 1 : 0},
                 {"known_nodes", contact.known_nodes},
                 {"coordinators", contact.coordinators}});
        }
    }
    for (auto& [group, scheduler] : this->groups)
    {
        this->send_decisions(group, "", scheduler.on_tick(now));
        this->spread_quarantines(now, group);
    }
    if (now >= this->next_status)
    {
        this->next_status = now + duration(group_status_interval);
        this->send_group_status(now);
        if (this->has_organisations())
        {
            this->update_quota_contacts(now);
            this->send_quota_status(now);
            this->log_quotas(now);
        }
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
    if (!always && version == this->seen_runners_version &&
        now < this->next_refresh)
    {
        return;
    }
    this->seen_runners_version = version;
    this->next_refresh = now + duration(refresh_interval);
    this->withdraw_crashes_of_leaving_runners();
    for (auto& [group, scheduler] : this->groups)
    {
        this->send_decisions(
            group,
            "",
            scheduler.set_runners(
                now, this->topology.usable_runners(now, group)));
    }
}

void slot_coordinator::withdraw_crashes_of_leaving_runners()
{
    for (auto& [group, scheduler] : this->groups)
    {
        for (const std::string& runner : scheduler.crashed_runners())
        {
            const serving::runner_entry* entry =
                this->fleet.runners().find(runner);
            if (entry != nullptr &&
                entry->state == serving::runner_state::draining)
            {
                scheduler.on_runner_leaving(runner);
            }
        }
    }
}

serving::slot_scheduler& slot_coordinator::find_or_add_scheduler(
    time_point now, const serving::runner_group& group)
{
    const auto [entry, added] = this->groups.try_emplace(group);
    if (added)
    {
        entry->second.set_quota(&this->quotas);
        if (this->has_organisations())
        {
            this->update_quota_contacts(now);
            this->quotas.on_takeover(now);
            this->contacts.on_takeover(now);
            this->send_quota_status(now);
            this->quotas.set_contact(now, this->contacts.find_contact(now));
        }
        entry->second.set_runners(
            now, this->topology.usable_runners(now, group));
        for (const auto& [trait, known] : this->quarantines)
        {
            serving::quarantine_change change = {trait, known.second};
            change.quarantine->time_left = known.first - now;
            entry->second.on_quarantine_change(now, change);
        }
    }
    return entry->second;
}

void slot_coordinator::on_quarantine_change(
    const serving::quarantine_change& change)
{
    const time_point now = read_monotonic_clock();
    if (change.quarantine)
    {
        this->quarantines[change.trait] = {
            now + change.quarantine->time_left, *change.quarantine};
    }
    else
    {
        this->quarantines.erase(change.trait);
    }
    for (auto& [group, scheduler] : this->groups)
    {
        this->send_decisions(
            group, "", scheduler.on_quarantine_change(now, change));
    }
}

void slot_coordinator::spread_quarantines(
    time_point now, const serving::runner_group& group)
{
    for (const serving::quarantine_change& change :
         this->groups.at(group).take_quarantine_changes(now))
    {
        log_quarantine_change(group, change);
        this->on_quarantine_change(change);
        this->on_quarantine(change);
    }
}

void slot_coordinator::send_decisions(
    const serving::runner_group& group,
    const std::string& requester,
    const std::vector<serving::slot_decision>& decisions)
{
    std::map<std::string, wire::slot_decisions> by_node;
    if (!requester.empty())
    {
        by_node[requester];
    }
    for (const serving::slot_decision& decision : decisions)
    {
        if (decision.kind == serving::slot_decision_kind::refused)
        {
            this->log_refusal(group, decision);
        }
        by_node[decision.id.node].decisions.push_back(decision);
    }
    for (auto& [node, packet] : by_node)
    {
        packet.group = group;
        this->send(node, packet);
    }
}

void slot_coordinator::log_refusal(
    const serving::runner_group& group,
    const serving::slot_decision& decision) const
{
    const serving::slot_scheduler& scheduler = this->groups.at(group);
    log_event(
        event::slot_refused,
        {{"group", to_text(group)},
         {"node", decision.id.node},
         {"slot", decision.id.number},
         {"online", scheduler.slots_in_use(serving::work_kind::online)},
         {"batch", scheduler.slots_in_use(serving::work_kind::batch)},
         {"waiting", scheduler.waiting(serving::work_kind::online)},
         {"slots", scheduler.total_slots()},
         {"retry_after_ms", decision.retry_after.count() / 1000}});
}

void slot_coordinator::log_quotas(time_point now)
{
    if (now < this->next_quota_log)
    {
        return;
    }
    this->next_quota_log = now + duration(quota_log_interval);
    for (const auto& [name, counters] : this->quotas.counters())
    {
        serving::quota_counters& logged = this->logged_quotas[name];
        if (counters.refused > logged.refused)
        {
            log_event(
                event::quota_refused,
                {{"organisation", name},
                 {"refused", counters.refused - logged.refused},
                 {"granted", counters.charged - logged.charged},
                 {"refunded", counters.refunded - logged.refunded},
                 {"in_window", this->quotas.count_in_window(now, name)}});
        }
        logged = counters;
    }
}

void slot_coordinator::check_suspension(time_point now)
{
    if (this->has_organisations() &&
        this->contacts.on_clocks(now, read_boot_clock()))
    {
        this->quotas.on_takeover(now);
        this->quotas.set_contact(now, this->contacts.find_contact(now));
    }
}

bool slot_coordinator::has_organisations() const
{
    const auto configuration = this->fleet.configuration();
    return configuration != nullptr && configuration->organisations.is_active();
}

void slot_coordinator::update_quota_contacts(time_point now)
{
    std::vector<const std::vector<std::string>*> orders;
    for (const std::string& service : this->fleet.runners().services())
    {
        for (const serving::runner_group& group :
             this->topology.grouping(service).groups())
        {
            orders.push_back(&this->topology.coordinators(group));
        }
    }
    std::vector<std::string> live;
    for (const serving::live_node& node : this->topology.live_nodes())
    {
        live.push_back(node.id);
    }
    this->contacts.set_nodes(
        now,
        live,
        this->leaving_nodes ? this->leaving_nodes()
                            : std::vector<std::string>());
    this->contacts.set_participants(
        serving::choose_quota_participants(orders),
        serving::count_preferred_coordinators(orders));
}

void slot_coordinator::send_quota_status(time_point now)
{
    if (this->groups.empty() && !this->contacts.is_participant())
    {
        return;
    }
    const wire::quota_status_packet packet = {this->quotas.make_status(now)};
    for (const std::string& node : this->contacts.receivers(now))
    {
        this->send(node, packet);
    }
}

void slot_coordinator::handle_quota_status(
    time_point now,
    const std::string& sender,
    const serving::quota_status& status)
{
    if (!this->has_organisations() || sender == this->self)
    {
        return;
    }
    this->quotas.on_status(now, sender, status);
    if (this->contacts.on_heard(now, sender))
    {
        this->send(
            sender,
            wire::quota_status_packet{this->quotas.make_status(now, true)});
    }
}

void slot_coordinator::on_packet(
    const std::string& sender, const wire::slot_packet& packet)
{
    const time_point now = read_monotonic_clock();
    this->check_suspension(now);
    this->refresh_runners(now, false);
    if (const auto* request = std::get_if<serving::slot_request>(&packet))
    {
        this->handle_request(now, *request);
    }
    else if (const auto* release = std::get_if<wire::slot_release>(&packet))
    {
        this->handle_release(now, *release);
    }
    else if (const auto* report = std::get_if<wire::slot_report>(&packet))
    {
        this->handle_report(now, *report);
    }
    else if (const auto* reported = std::get_if<wire::first_event>(&packet))
    {
        this->handle_first_event(now, *reported);
    }
    else if (
        const auto* status = std::get_if<wire::group_status_packet>(&packet))
    {
        this->handle_group_status(now, sender, *status);
    }
    else if (
        const auto* usage = std::get_if<wire::quota_status_packet>(&packet))
    {
        this->handle_quota_status(now, sender, usage->status);
    }
}

void slot_coordinator::handle_request(
    time_point now, const serving::slot_request& request)
{
    this->send_decisions(
        request.group,
        request.id.node,
        this->find_or_add_scheduler(now, request.group)
            .on_request(now, request));
}

void slot_coordinator::handle_release(
    time_point now, const wire::slot_release& release)
{
    serving::slot_scheduler& scheduler =
        this->find_or_add_scheduler(now, release.group);
    if (release.outcome == serving::slot_outcome::crashed)
    {
        this->send_decisions(
            release.group,
            "",
            scheduler.on_crash(
                now,
                {release.request_digest,
                 release.id,
                 release.parts,
                 release.runner,
                 duration::zero(),
                 release.lasted,
                 release.stage}));
        this->spread_quarantines(now, release.group);
        // The coordinators of the other groups learn of it with the next tick.
        this->next_status = now;
    }
    this->send_decisions(
        release.group,
        "",
        scheduler.on_release(
            now,
            release.id,
            release.outcome,
            release.load,
            serving::make_traits(release.request_digest, release.parts)));
}

void slot_coordinator::handle_first_event(
    time_point now, const wire::first_event& reported)
{
    this->send_decisions(
        reported.group,
        "",
        this->find_or_add_scheduler(now, reported.group)
            .on_first_event(now, reported.id, reported.traits));
    this->spread_quarantines(now, reported.group);
}

void slot_coordinator::handle_report(
    time_point now, const wire::slot_report& report)
{
    for (const serving::leaving_runner& runner : report.leaving)
    {
        this->fleet.runners().on_leaving(runner.id, runner.started_ms);
        for (auto& [group, known_scheduler] : this->groups)
        {
            known_scheduler.on_runner_leaving(runner.id);
        }
    }
    this->refresh_runners(now, false);
    serving::slot_scheduler& scheduler =
        this->find_or_add_scheduler(now, report.group);
    for (const serving::crashed_run& run : report.crashed)
    {
        this->send_decisions(report.group, "", scheduler.on_crash(now, run));
    }
    if (this->has_organisations())
    {
        this->quotas.on_report(
            now, report.node + "/" + to_text(report.group), report.sent);
    }
    this->send_decisions(
        report.group,
        report.node,
        scheduler.on_report(
            now, report.node, report.incarnation, report.held, report.waiting));
}

void slot_coordinator::handle_group_status(
    time_point now,
    const std::string& sender,
    const wire::group_status_packet& packet)
{
    if (!this->topology.grouping(packet.status.group.service)
             .has(packet.status.group))
    {
        return;
    }
    this->coordinators[packet.status.group] = {sender, now};
    // A group without a scheduler here is coordinated by another node.
    if (const auto found = this->groups.find(packet.receiver);
        found != this->groups.end())
    {
        this->send_decisions(
            packet.receiver,
            "",
            found->second.on_group_status(now, packet.status));
    }
}

std::string slot_coordinator::choose_status_receiver(
    time_point now, const serving::runner_group& group)
{
    const auto found = this->coordinators.find(group);
    if (found != this->coordinators.end() &&
        now - found->second.received_at <= duration(group_status_lifetime))
    {
        return found->second.node;
    }
    const std::vector<std::string>& order = this->topology.coordinators(group);
    return order.empty() ? std::string() : order.front();
}

bool slot_coordinator::is_preferred_coordinator(
    const serving::runner_group& group)
{
    const std::vector<std::string>& order = this->topology.coordinators(group);
    return !order.empty() && order.front() == this->self;
}

void slot_coordinator::add_own_groups(time_point now)
{
    for (const std::string& service : this->fleet.runners().services())
    {
        for (const serving::runner_group& group :
             this->topology.grouping(service).groups())
        {
            if (this->is_preferred_coordinator(group))
            {
                this->find_or_add_scheduler(now, group);
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
            this->topology.grouping(group.service).has(group);
        if (!is_current ||
            (!scheduler.is_in_use() && !this->is_preferred_coordinator(group)))
        {
            continue;
        }
        wire::group_status_packet packet;
        packet.status = scheduler.make_group_status(now);
        packet.status.group = group;
        for (const serving::runner_group& other :
             this->topology.grouping(group.service).groups())
        {
            const std::string node = this->choose_status_receiver(now, other);
            if (other != group && !node.empty())
            {
                packet.receiver = other;
                this->send(node, packet);
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
