#include "servers/node/slot_service.hpp"

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

} // namespace

slot_service::slot_service(
    boost::asio::io_context& io, fleet_knowledge& known, send_hook hook)
    : timer(io), knowledge(known), send(std::move(hook))
{
}

void slot_service::start()
{
    this->tick();
}

void slot_service::tick()
{
    const time_point now = read_monotonic_clock();
    this->refresh_runners(now, false);
    for (auto& [service, scheduler] : this->services)
    {
        this->answer(service, "", scheduler.on_tick(now));
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

std::vector<serving::slot_runner>
slot_service::usable_runners(time_point now, const std::string& service)
{
    std::vector<serving::slot_runner> runners;
    for (const serving::runner_entry* entry :
         this->knowledge.runners().usable(now, service))
    {
        runners.push_back({entry->id, entry->zone, entry->slots});
    }
    return runners;
}

void slot_service::refresh_runners(time_point now, bool always)
{
    this->knowledge.runners().on_tick(now);
    const std::uint64_t version = this->knowledge.runners().version();
    if (!always && version == this->seen_runners && now < this->next_refresh)
    {
        return;
    }
    this->seen_runners = version;
    this->next_refresh = now + duration(refresh_interval);
    for (auto& [service, scheduler] : this->services)
    {
        this->answer(
            service,
            "",
            scheduler.set_runners(now, this->usable_runners(now, service)));
    }
}

serving::slot_scheduler&
slot_service::scheduler_of(time_point now, const std::string& service)
{
    const auto [entry, added] = this->services.try_emplace(service);
    if (added)
    {
        entry->second.set_runners(now, this->usable_runners(now, service));
    }
    return entry->second;
}

void slot_service::answer(
    const std::string& service,
    const std::string& asking,
    const std::vector<serving::slot_verdict>& verdicts)
{
    std::map<std::string, wire::slot_verdicts> by_node;
    if (!asking.empty())
    {
        by_node[asking];
    }
    for (const serving::slot_verdict& verdict : verdicts)
    {
        if (verdict.kind == serving::verdict_kind::refused)
        {
            this->log_refusal(service, verdict);
        }
        by_node[verdict.id.node].verdicts.push_back(verdict);
    }
    for (auto& [node, packet] : by_node)
    {
        packet.service = service;
        this->send(node, packet);
    }
}

void slot_service::log_refusal(
    const std::string& service, const serving::slot_verdict& verdict) const
{
    const serving::slot_scheduler& scheduler = this->services.at(service);
    log_event(
        event::slot_refused,
        {{"service", service},
         {"node", verdict.id.node},
         {"slot", verdict.id.number},
         {"online", scheduler.slots_in_use(serving::work_kind::online)},
         {"batch", scheduler.slots_in_use(serving::work_kind::batch)},
         {"waiting", scheduler.waiting(serving::work_kind::online)},
         {"slots", scheduler.total_slots()},
         {"retry_after_ms", verdict.retry_after.count() / 1000}});
}

void slot_service::on_packet(const wire::slot_packet& packet)
{
    const time_point now = read_monotonic_clock();
    this->refresh_runners(now, false);
    if (const auto* request = std::get_if<serving::slot_request>(&packet))
    {
        this->answer(
            request->service,
            request->id.node,
            this->scheduler_of(now, request->service)
                .on_request(now, *request));
    }
    else if (const auto* release = std::get_if<wire::slot_release>(&packet))
    {
        serving::slot_scheduler& scheduler =
            this->scheduler_of(now, release->service);
        if (release->outcome == serving::slot_outcome::crashed)
        {
            this->answer(
                release->service,
                "",
                scheduler.on_crash(
                    now, {release->request_digest, release->id}));
        }
        this->answer(
            release->service,
            "",
            scheduler.on_release(now, release->id, release->outcome));
    }
    else if (const auto* report = std::get_if<wire::slot_report>(&packet))
    {
        for (const serving::leaving_runner& runner : report->leaving)
        {
            this->knowledge.runners().on_leaving(runner.id, runner.born_ms);
        }
        this->refresh_runners(now, false);
        serving::slot_scheduler& scheduler =
            this->scheduler_of(now, report->service);
        for (const serving::crashed_run& run : report->crashed)
        {
            this->answer(report->service, "", scheduler.on_crash(now, run));
        }
        this->answer(
            report->service,
            report->node,
            scheduler.on_report(
                now,
                report->node,
                report->incarnation,
                report->held,
                report->waiting));
    }
}

const std::map<std::string, serving::slot_scheduler>&
slot_service::schedulers() const
{
    return this->services;
}

} // namespace chicory::node
