#include "servers/dispatch/dispatcher.hpp"

#include "servers/dispatch/owner_choice.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace chicory::dispatching
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds check_interval(200);
/// Time after which a link without attempts is closed, so that heartbeats are
/// sent only on links in use.
constexpr std::chrono::seconds idle_limit(60);

/// Returns the key of the attempt to which a message responds, or nothing.
std::optional<std::pair<std::string, std::uint32_t>>
find_attempt_key(const wire::message& value)
{
    return std::visit(
        [](const auto& response)
            -> std::optional<std::pair<std::string, std::uint32_t>>
        {
            using kind = std::decay_t<decltype(response)>;
            if constexpr (
                std::is_same_v<kind, wire::response_head> ||
                std::is_same_v<kind, wire::response_frame> ||
                std::is_same_v<kind, wire::response_end> ||
                std::is_same_v<kind, wire::response_failed>)
            {
                return std::pair(response.request_id, response.attempt);
            }
            return std::nullopt;
        },
        value);
}

wire::response_failed make_failure(
    const attempt& failed, wire::attempt_outcome outcome, std::string reason)
{
    wire::response_failed failure;
    failure.request_id = failed.request_id;
    failure.attempt = failed.number;
    failure.outcome = outcome;
    failure.reason = std::move(reason);
    return failure;
}

} // namespace

dispatcher::dispatcher(
    asio::any_io_executor context, fleet_cache& cache, std::string vm_id)
    : executor(std::move(context)), fleet(cache), own_vm(std::move(vm_id)),
      check_timer(this->executor)
{
}

void dispatcher::set_local_hook(local_hook hook)
{
    this->on_local = std::move(hook);
}

void dispatcher::set_unmatched_hook(unmatched_hook hook)
{
    this->on_unmatched = std::move(hook);
}

std::shared_ptr<attempt> dispatcher::start(wire::dispatch request)
{
    const std::shared_ptr<attempt> started =
        std::make_shared<attempt>(this->executor);
    started->request_id = request.request_id;
    started->number = request.attempt;
    const membership::vm* runner = this->fleet.find_vm(request.runner);
    const membership::vm* owner =
        runner == nullptr ? nullptr : choose_owner(this->fleet, *runner);
    if (owner == nullptr)
    {
        started->responses.push(make_failure(
            *started,
            wire::attempt_outcome::not_sent,
            std::string(name_of(reason::owner_unreachable))));
        return started;
    }
    started->owner = owner->id;
    this->attempts[{started->request_id, started->number}] = started;
    this->send(started->owner, std::move(request));
    return started;
}

void dispatcher::resume(
    attempt& interrupted,
    const std::string& vm_id,
    wire::resume_response resume_request)
{
    interrupted.owner = vm_id;
    this->send(vm_id, resume_request);
}

void dispatcher::cancel(const attempt& started)
{
    this->forget(started);
    if (!started.owner.empty())
    {
        this->send(
            started.owner,
            wire::cancel_attempt{started.request_id, started.number});
    }
}

void dispatcher::forget(const attempt& finished)
{
    this->attempts.erase({finished.request_id, finished.number});
}

void dispatcher::send(const std::string& vm_id, const wire::message& value)
{
    if (vm_id == this->own_vm && this->on_local)
    {
        this->on_local(value);
        return;
    }
    if (const std::shared_ptr<wire::link> link = this->find_link(vm_id))
    {
        link->send(value);
        return;
    }
    this->fail_attempts_of(vm_id, wire::attempt_outcome::not_sent);
}

void dispatcher::receive(const std::string& owner, const wire::message& value)
{
    const auto key = find_attempt_key(value);
    if (!key)
    {
        if (this->on_unmatched)
        {
            this->on_unmatched(owner, value);
        }
        return;
    }
    const auto found = this->attempts.find(*key);
    if (found != this->attempts.end() && found->second->owner == owner)
    {
        found->second->responses.push(value);
    }
}

void dispatcher::fail_attempts_of(
    const std::string& owner, wire::attempt_outcome outcome)
{
    const bool was_sent = outcome == wire::attempt_outcome::unknown;
    const std::string why =
        was_sent ? "link_lost"
                 : std::string(name_of(reason::owner_unreachable));
    for (const auto& [key, pending_attempt] : this->attempts)
    {
        if (pending_attempt->owner == owner)
        {
            pending_attempt->responses.push(
                make_failure(*pending_attempt, outcome, why));
        }
    }
}

std::shared_ptr<wire::link> dispatcher::find_link(const std::string& vm_id)
{
    const auto [found, added] =
        this->peers.try_emplace(vm_id, read_monotonic_clock());
    peer& target = found->second;
    target.last_used = read_monotonic_clock();
    if (target.fresh != nullptr && target.fresh->is_open())
    {
        return target.fresh;
    }
    if (target.link != nullptr && target.link->is_open())
    {
        return target.link;
    }
    const membership::vm* vm = this->fleet.find_vm(vm_id);
    if (vm == nullptr)
    {
        return nullptr;
    }
    target.link = this->connect(*vm);
    target.health = online::link_health(read_monotonic_clock());
    this->schedule_link_check();
    return target.link;
}

std::shared_ptr<wire::link> dispatcher::connect(const membership::vm& vm)
{
    const std::string vm_id = vm.id;
    const std::shared_ptr<wire::link> opened = wire::open_link(
        this->executor,
        {vm.address, vm.link_port},
        [this, vm_id](const std::shared_ptr<wire::link>&, wire::message value)
        {
            this->receive(vm_id, value);
        },
        [this, vm_id](const std::shared_ptr<wire::link>& closed)
        {
            this->fail_attempts_of(
                vm_id,
                closed->was_connected() ? wire::attempt_outcome::unknown
                                        : wire::attempt_outcome::not_sent);
        });
    opened->send(wire::hello{this->own_vm, 0});
    return opened;
}

void dispatcher::schedule_link_check()
{
    if (this->is_check_scheduled)
    {
        return;
    }
    this->is_check_scheduled = true;
    this->check_timer.expires_after(check_interval);
    this->check_timer.async_wait(
        [this](boost::system::error_code error)
        {
            this->is_check_scheduled = false;
            if (error)
            {
                return;
            }
            for (const auto& [vm_id, target] : this->peers)
            {
                this->check_link(vm_id);
            }
            this->schedule_link_check();
        });
}

bool dispatcher::is_idle(const std::string& vm_id, time_point now) const
{
    if (now - this->peers.at(vm_id).last_used < idle_limit)
    {
        return false;
    }
    return std::ranges::none_of(
        this->attempts,
        [&vm_id](const auto& entry)
        {
            return entry.second->owner == vm_id;
        });
}

void dispatcher::check_link(const std::string& vm_id)
{
    peer& target = this->peers.at(vm_id);
    if (target.link == nullptr || !target.link->is_open())
    {
        return;
    }
    const time_point now = read_monotonic_clock();
    if (this->is_idle(vm_id, now))
    {
        target.link->close();
        return;
    }
    if (const auto last_received = target.link->last_received())
    {
        target.health.received(*last_received);
    }
    if (target.fresh != nullptr)
    {
        const bool has_response = target.fresh->is_open() &&
                                  target.fresh->last_received().has_value();
        const online::link_action fresh_action =
            target.health.fresh_connection(has_response, now);
        if (fresh_action == online::link_action::close)
        {
            log_event(event::link_silent, {{"peer", vm_id}});
            target.link->close();
            target.link = std::move(target.fresh);
            target.health = online::link_health(now);
            return;
        }
    }
    const online::link_action due_action = target.health.tick(now);
    const membership::vm* vm = this->fleet.find_vm(vm_id);
    if (due_action == online::link_action::try_fresh_connection &&
        vm != nullptr)
    {
        target.fresh = this->connect(*vm);
    }
    if (due_action == online::link_action::close)
    {
        target.link->close();
    }
    if (target.health.state() == online::link_state::healthy &&
        target.fresh != nullptr)
    {
        target.fresh->close();
        target.fresh.reset();
    }
}

} // namespace chicory::dispatching
