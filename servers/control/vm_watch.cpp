#include "servers/control/vm_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Delay before a read that confirms the previous one or follows a failed one.
constexpr std::chrono::milliseconds repeat_interval(500);

/// Returns the settings for polling the VM list. The list grows with the fleet,
/// so that it is read less often than the single row of the revision.
configuration::poll_share_settings make_share_settings()
{
    configuration::poll_share_settings settings;
    settings.fleet_reads_per_second = 4.0;
    settings.min_interval = std::chrono::milliseconds(500);
    return settings;
}

} // namespace

membership::vm to_vm(const ports::listed_vm& listed)
{
    membership::vm vm;
    vm.id = listed.id;
    vm.role = find_value(membership::vm_role_names, listed.role)
                  .value_or(membership::vm_role::entry);
    vm.state = listed.state == "leaving" ? membership::vm_state::leaving
                                         : membership::vm_state::alive;
    vm.incarnation = listed.incarnation;
    vm.region = listed.region;
    vm.zone = listed.zone;
    vm.address = listed.address;
    vm.http_port = listed.http_port;
    vm.link_port = listed.link_port;
    vm.batch_port = listed.batch_port;
    vm.gossip_port = listed.gossip_port;
    vm.service = listed.service;
    return vm;
}

vm_watch::vm_watch(
    asio::io_context& io,
    ports::vm_list& initial_list,
    fleet::gossip_service& gossip,
    std::uint64_t seed)
    : context(io), list(initial_list), members(gossip),
      share(make_share_settings(), seed)
{
}

void vm_watch::start()
{
    asio::co_spawn(this->context, this->watch(), asio::detached);
}

void vm_watch::on_leaving(const std::string& id, std::uint64_t incarnation)
{
    const std::vector<membership::member_update> updates =
        membership::vm_tracker::on_leaving(
            id, incarnation, this->members.state().table());
    for (const membership::member_update& update : updates)
    {
        this->members.on_update(update);
    }
}

asio::awaitable<void> vm_watch::watch()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        const result<std::vector<ports::listed_vm>> entries =
            co_await this->list.read();
        this->read_again = !entries.has_value();
        if (entries)
        {
            this->apply_list(entries.value());
        }
        else if (this->available)
        {
            log_event(
                event::vm_list_unavailable, {{"error", entries.error().text}});
        }
        this->available = entries.has_value();
        const time_point now = read_monotonic_clock();
        const std::size_t member_count = std::max<std::size_t>(
            1, this->members.state().table().known_entries());
        const duration share_delay = this->share.next(now, member_count) - now;
        const duration repeat_delay = repeat_interval;
        timer.expires_after(
            this->read_again ? std::min(repeat_delay, share_delay)
                             : share_delay);
        co_await timer.async_wait(as_result);
    }
}

void vm_watch::apply_list(const std::vector<ports::listed_vm>& entries)
{
    std::vector<membership::vm> listed;
    for (const ports::listed_vm& entry : entries)
    {
        const membership::vm vm = to_vm(entry);
        if (vm.id == this->members.state().self())
        {
            this->members.on_own_listing(vm);
        }
        listed.push_back(vm);
    }
    const membership::list_changes changes =
        this->tracker.on_list(listed, this->members.state().table());
    this->read_again = changes.read_again;
    for (const membership::member_update& update : changes.updates)
    {
        this->members.on_update(update);
    }
}

} // namespace chicory::control
