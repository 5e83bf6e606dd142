#include "servers/node/peer_exchange.hpp"

#include "net/net.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace chicory::node
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr std::string_view relay_prefix = "/store/";
constexpr std::string_view state_path = "/knowledge";
/// Maximum size of a call in addition to the largest object that it may carry.
constexpr std::size_t max_call_overhead_bytes = 65536;
/// Timeout of a call that is forwarded to the store. The longest such call
/// waits for changes.
constexpr std::chrono::milliseconds relay_timeout(2500);
constexpr std::size_t max_relays = 2;
/// Time between two requests to other nodes while this node's state is not
/// current.
constexpr std::chrono::milliseconds sync_interval(400);
constexpr std::chrono::milliseconds sync_timeout(500);

} // namespace

peer_exchange::peer_exchange(
    asio::io_context& io,
    const node_settings& initial_settings,
    platform::store_client& initial_store,
    fleet_state& initial_fleet,
    node_members& initial_members)
    : context(io), settings(initial_settings), store(initial_store),
      fleet(initial_fleet), members(initial_members), http(io.get_executor()),
      generator(hash_bytes(initial_settings.vm_id))
{
}

void peer_exchange::start()
{
    net::spawn_loop(
        this->context.get_executor(),
        "peer synchronization",
        [this]
        {
            return this->sync_from_peers();
        });
}

std::vector<net::endpoint> peer_exchange::choose_relays()
{
    std::vector<membership::vm> same_zone;
    std::vector<membership::vm> other_zones;
    for (const membership::vm& vm : this->members.view().vms)
    {
        if (vm.id != this->settings.vm_id &&
            vm.state == membership::vm_state::alive && vm.batch_port != 0)
        {
            (vm.zone == this->settings.zone ? same_zone : other_zones)
                .push_back(vm);
        }
    }
    std::shuffle(same_zone.begin(), same_zone.end(), this->generator);
    std::shuffle(other_zones.begin(), other_zones.end(), this->generator);
    // One relay is in another zone, because a partition that isolates this node
    // may isolate its whole zone.
    if (same_zone.size() >= max_relays)
    {
        same_zone.resize(max_relays - 1);
    }
    std::vector<net::endpoint> relays;
    for (const std::vector<membership::vm>* group : {&same_zone, &other_zones})
    {
        for (const membership::vm& vm : *group)
        {
            if (relays.size() < max_relays)
            {
                relays.push_back({vm.address, vm.batch_port});
            }
        }
    }
    return relays;
}

asio::awaitable<void>
peer_exchange::handle_request(net::http_exchange& exchange)
{
    const std::string& target = exchange.head().target;
    if (target.starts_with(relay_prefix))
    {
        co_await this->forward_to_store(exchange);
        co_return;
    }
    if (target == state_path)
    {
        net::http_response response;
        response.headers["content-type"] = "application/json";
        response.body = this->encode_state();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await exchange.respond(
        net::make_text_response(status_not_found, "not found"));
}

asio::awaitable<void>
peer_exchange::forward_to_store(net::http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(
        this->settings.bounds.object_bytes + max_call_overhead_bytes);
    if (!body)
    {
        co_return;
    }
    net::http_request request;
    request.method = exchange.head().method;
    request.target = exchange.head().target.substr(relay_prefix.size() - 1);
    for (const char* name : {"content-type", "if-none-match"})
    {
        const auto found = exchange.head().headers.find(name);
        if (found != exchange.head().headers.end())
        {
            request.headers[name] = found->second;
        }
    }
    request.body = std::move(body.value());
    result<net::http_response> stored =
        co_await this->store.forward(std::move(request), relay_timeout);
    if (!stored)
    {
        const bool not_executed =
            stored.error().kind == error_kind::unavailable;
        co_await exchange.respond(net::make_text_response(
            not_executed ? status_unavailable : status_gateway_timeout,
            stored.error().text));
        co_return;
    }
    net::http_response response;
    response.status = stored.value().status;
    response.body = std::move(stored.value().body);
    co_await exchange.respond(std::move(response));
}

std::string peer_exchange::encode_state() const
{
    json::array nodes;
    for (const membership::vm& vm : this->members.view().vms)
    {
        if (vm.state == membership::vm_state::alive)
        {
            nodes.push_back(
                json::object{{"id", vm.id}, {"record", to_text(vm)}});
        }
    }
    json::array runners;
    for (const auto& [id, entry] : this->fleet.runner_records())
    {
        runners.push_back(json::object{
            {"id", id}, {"record", entry.value}, {"version", entry.version}});
    }
    return json::serialize(json::object{
        {"configuration", this->fleet.configuration_text()},
        {"nodes", std::move(nodes)},
        {"runners", std::move(runners)}});
}

void peer_exchange::apply_state(const std::string& encoded)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(encoded, code);
    try
    {
        const json::object& fields = parsed.as_object();
        for (const json::value& entry : fields.at("nodes").as_array())
        {
            ports::record source;
            source.key = entry.at("id").as_string();
            source.value = entry.at("record").as_string();
            if (const std::optional<membership::vm> vm = read_vm(source))
            {
                this->members.on_member_seen(*vm);
            }
        }
        for (const json::value& entry : fields.at("runners").as_array())
        {
            ports::record source;
            source.key = entry.at("id").as_string();
            source.value = entry.at("record").as_string();
            source.version = entry.at("version").to_number<std::int64_t>();
            this->fleet.offer_runner(source);
        }
        const std::string text(fields.at("configuration").as_string());
        if (!text.empty())
        {
            this->fleet.offer_configuration(text, "another node");
        }
    }
    catch (const std::exception& failure)
    {
        log_event(
            event::configuration_rejected,
            {{"source", "another node"}, {"error", failure.what()}});
    }
}

std::vector<net::endpoint> peer_exchange::choose_sync_peers()
{
    std::vector<net::endpoint> peers = this->choose_relays();
    if (peers.empty())
    {
        for (const std::string& seed : this->settings.seeds)
        {
            const std::string address = seed.substr(0, seed.rfind(':'));
            if (address != this->settings.address)
            {
                peers.push_back({address, this->settings.peer_port});
            }
        }
        std::shuffle(peers.begin(), peers.end(), this->generator);
    }
    return peers;
}

asio::awaitable<void> peer_exchange::sync_from_peers()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        timer.expires_after(sync_interval);
        co_await timer.async_wait(as_result);
        const auto configuration = this->fleet.configuration();
        const bool is_behind =
            configuration == nullptr ||
            configuration->version < this->members.highest_revision();
        if (!is_behind && this->fleet.is_store_reached())
        {
            continue;
        }
        std::vector<net::endpoint> peers = this->choose_sync_peers();
        if (peers.empty())
        {
            continue;
        }
        net::http_request request;
        request.target = state_path;
        net::response_limits limits;
        limits.body_bytes = this->settings.bounds.fleet_state_bytes;
        const result<net::http_response> response = co_await this->http.request(
            peers.front(), std::move(request), sync_timeout, limits);
        if (response && response.value().status == 200)
        {
            this->apply_state(response.value().body);
        }
    }
}

} // namespace chicory::node
