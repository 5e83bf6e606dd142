#include "servers/node/node_members.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view node_table = "nodes";
/// Time between two reads of the changes to registered nodes. It is short after
/// the start, when all nodes register, and then doubles up to the maximum:
/// gossip spreads changes, and the reads only connect groups of nodes that have
/// no contact with each other. The maximum is shorter than the time for which
/// the store retains its history.
constexpr std::chrono::seconds first_read_interval(1);
constexpr std::chrono::seconds max_read_interval(10);
constexpr std::chrono::milliseconds retry_interval(300);

/// Returns the memory of this VM in MiB, or zero if the system does not report
/// it.
std::uint32_t read_memory_mb()
{
    constexpr std::int64_t megabyte = 1024 * 1024;
    const std::int64_t pages = sysconf(_SC_PHYS_PAGES);
    const std::int64_t page_bytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_bytes <= 0)
    {
        return 0;
    }
    return static_cast<std::uint32_t>(pages * page_bytes / megabyte);
}

membership::vm make_self(const node_settings& settings, std::uint64_t started)
{
    membership::vm vm;
    vm.id = settings.vm_id;
    vm.role = membership::vm_role::entry;
    vm.state = membership::vm_state::alive;
    vm.incarnation = started;
    vm.region = settings.region;
    vm.zone = settings.zone;
    vm.address = settings.address;
    vm.http_port = settings.requests.port;
    vm.link_port = settings.slot_port;
    vm.batch_port = settings.peer_port;
    vm.gossip_port = settings.gossip_port;
    vm.memory_mb = read_memory_mb();
    return vm;
}

membership::member_update make_update(const membership::vm& vm)
{
    membership::member_update update;
    update.id = vm.id;
    update.status.incarnation = vm.incarnation;
    update.status.state = membership::vm_state::alive;
    update.details = vm;
    return update;
}

} // namespace

std::string to_text(const membership::vm& vm)
{
    return json::serialize(json::object{
        {"incarnation", vm.incarnation},
        {"region", vm.region},
        {"zone", vm.zone},
        {"address", vm.address},
        {"http_port", vm.http_port},
        {"slot_port", vm.link_port},
        {"peer_port", vm.batch_port},
        {"gossip_port", vm.gossip_port},
        {"memory_mb", vm.memory_mb}});
}

std::optional<membership::vm> read_vm(const ports::record& source)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(source.value, code);
    if (code)
    {
        return std::nullopt;
    }
    try
    {
        const json::object& fields = parsed.as_object();
        membership::vm vm;
        vm.id = source.key;
        vm.incarnation = fields.at("incarnation").to_number<std::uint64_t>();
        vm.region = fields.at("region").as_string();
        vm.zone = fields.at("zone").as_string();
        vm.address = fields.at("address").as_string();
        vm.http_port = fields.at("http_port").to_number<std::uint16_t>();
        vm.link_port = fields.at("slot_port").to_number<std::uint16_t>();
        vm.batch_port = fields.at("peer_port").to_number<std::uint16_t>();
        vm.gossip_port = fields.at("gossip_port").to_number<std::uint16_t>();
        vm.memory_mb = fields.at("memory_mb").to_number<std::uint32_t>();
        return vm;
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

node_members::node_members(
    asio::io_context& io,
    const node_settings& initial_settings,
    ports::record_store& records,
    metrics& counters,
    std::uint64_t started,
    std::function<void()> on_change)
    : context(io), settings(initial_settings), store(records),
      self(make_self(initial_settings, started)),
      gossip(io, this->self, counters, std::move(on_change))
{
}

result<void> node_members::start()
{
    const result<void> bound = this->gossip.start(
        {this->settings.address, this->settings.gossip_port});
    if (!bound)
    {
        return bound;
    }
    net::spawn_loop(
        this->context.get_executor(),
        "registration",
        [this]
        {
            return this->keep_registered();
        });
    return boost::outcome_v2::success();
}

void node_members::on_member_seen(const membership::vm& other)
{
    if (other.id == this->self.id)
    {
        return;
    }
    // Marked as read from the list, so that gossip does not spread the update:
    // all nodes read the same records.
    this->gossip.on_update(make_update(other), membership::update_source::list);
}

asio::awaitable<bool> node_members::register_self()
{
    ports::record_transaction request;
    request.writes.push_back(
        {std::string(node_table), this->self.id, to_text(this->self)});
    const result<ports::record_outcome> written =
        co_await this->store.transact(std::move(request));
    co_return written.has_value();
}

asio::awaitable<bool> node_members::read_previous_registration()
{
    ports::record_range range{
        std::string(node_table), "", this->self.id, this->self.id + '\0'};
    const result<ports::record_page> page = co_await this->store.read(range);
    if (!page)
    {
        co_return false;
    }
    for (const ports::record& found : page.value().records)
    {
        const std::optional<membership::vm> previous = read_vm(found);
        if (previous && previous->incarnation >= this->incarnation())
        {
            this->gossip.on_update(make_update(*previous));
            this->self.incarnation = this->incarnation();
        }
    }
    co_return true;
}

void node_members::on_members_seen(const std::vector<ports::record>& records)
{
    for (const ports::record& found : records)
    {
        if (found.deleted)
        {
            continue;
        }
        if (const std::optional<membership::vm> vm = read_vm(found))
        {
            this->on_member_seen(*vm);
        }
    }
}

asio::awaitable<result<void>> node_members::read_others()
{
    ports::record_range range{std::string(node_table), "", "", ""};
    std::int64_t first_version = 0;
    while (true)
    {
        const result<ports::record_page> page =
            co_await this->store.read(range);
        if (!page)
        {
            co_return page.error();
        }
        // Changes made after the first page was read are read later by
        // read_changes().
        first_version =
            first_version == 0 ? page.value().version : first_version;
        this->on_members_seen(page.value().records);
        if (!page.value().has_more || page.value().records.empty())
        {
            break;
        }
        range.from = page.value().records.back().key + '\0';
    }
    this->read_version = first_version;
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> node_members::read_changes()
{
    const result<ports::record_page> page = co_await this->store.follow(
        std::string(node_table), this->read_version, duration::zero());
    if (!page)
    {
        if (page.error().kind == error_kind::not_found)
        {
            // The store no longer has the changes since that version, so all
            // nodes are read again.
            this->read_version = 0;
        }
        co_return page.error();
    }
    this->on_members_seen(page.value().records);
    this->read_version = std::max(this->read_version, page.value().version);
    co_return boost::outcome_v2::success();
}

asio::awaitable<void> node_members::keep_registered()
{
    asio::steady_timer timer(this->context);
    bool has_read_previous = false;
    bool registered = false;
    duration interval = first_read_interval;
    while (true)
    {
        if (!has_read_previous)
        {
            has_read_previous = co_await this->read_previous_registration();
        }
        if (has_read_previous && !registered)
        {
            registered = co_await this->register_self();
        }
        // An if statement, because GCC 12 loses awaitables in conditional
        // expressions.
        result<void> read = boost::outcome_v2::success();
        if (this->read_version == 0)
        {
            read = co_await this->read_others();
        }
        else
        {
            read = co_await this->read_changes();
        }
        if (registered && read)
        {
            timer.expires_after(interval);
            interval = std::min<duration>(interval * 2, max_read_interval);
        }
        else
        {
            timer.expires_after(retry_interval);
        }
        co_await timer.async_wait(as_result);
    }
}

std::uint64_t node_members::incarnation() const
{
    const membership::member_record* record =
        this->gossip.state().table().find(this->self.id);
    return record == nullptr ? this->self.incarnation
                             : record->status.incarnation;
}

void node_members::leave()
{
    this->leaving = true;
    this->gossip.leave();
}

void node_members::set_revision(std::int64_t revision)
{
    this->gossip.set_revision(revision);
}

std::int64_t node_members::highest_revision() const
{
    return this->gossip.state().highest_revision();
}

std::vector<serving::live_node> node_members::live_nodes() const
{
    std::vector<serving::live_node> live;
    for (const auto& [id, record] : this->gossip.state().table().records())
    {
        const membership::vm_state state = record.status.state;
        if (record.details.role == membership::vm_role::entry &&
            id != this->self.id && state == membership::vm_state::alive)
        {
            live.push_back(
                {id,
                 record.status.incarnation,
                 record.details.memory_mb,
                 record.details.zone});
        }
    }
    if (!this->leaving)
    {
        live.push_back(
            {this->self.id,
             this->incarnation(),
             this->self.memory_mb,
             this->self.zone});
    }
    return live;
}

std::vector<std::string> node_members::leaving_nodes() const
{
    std::vector<std::string> leaving;
    for (const auto& [id, record] : this->gossip.state().table().records())
    {
        if (record.details.role == membership::vm_role::entry &&
            record.status.state == membership::vm_state::leaving)
        {
            leaving.push_back(id);
        }
    }
    return leaving;
}

std::uint64_t node_members::version() const
{
    // The announcement that this node is leaving also counts as a change of the
    // members.
    return this->gossip.state().version() + 1;
}

std::optional<membership::vm> node_members::find(const std::string& vm_id) const
{
    if (vm_id == this->self.id)
    {
        return this->self;
    }
    const membership::member_record* record =
        this->gossip.state().table().find(vm_id);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    return record->details;
}

membership::fleet_view node_members::view() const
{
    return this->gossip.state().view();
}

} // namespace chicory::node
