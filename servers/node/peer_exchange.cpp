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
constexpr std::string_view knowledge_path = "/knowledge";
/// Bytes of a call beside the largest object that it may carry.
constexpr std::size_t largest_call_frame = 65536;
/// Longest call of the store that is passed on: a wait for changes.
constexpr std::chrono::milliseconds relay_limit(2500);
constexpr std::size_t most_relays = 2;
/// Time between two questions to other nodes while the store does not tell.
constexpr std::chrono::milliseconds learn_interval(400);
constexpr std::chrono::milliseconds learn_limit(500);

} // namespace

peer_exchange::peer_exchange(
    asio::io_context& io,
    const node_settings& source,
    platform::store_client& its_store,
    fleet_state& known,
    node_members& initial_members)
    : context(io), settings(source), store(its_store), fleet(known),
      members(initial_members), http(io.get_executor()),
      generator(hash_bytes(source.vm_id))
{
}

void peer_exchange::start()
{
    net::spawn_loop(
        this->context.get_executor(),
        "learning from nodes",
        [this]
        {
            return this->learn();
        });
}

std::vector<net::endpoint> peer_exchange::choose_relays()
{
    std::vector<membership::vm> near;
    std::vector<membership::vm> far;
    for (const membership::vm& vm : this->members.view().vms)
    {
        if (vm.id != this->settings.vm_id &&
            vm.state == membership::vm_state::alive && vm.batch_port != 0)
        {
            (vm.zone == this->settings.zone ? near : far).push_back(vm);
        }
    }
    std::shuffle(near.begin(), near.end(), this->generator);
    std::shuffle(far.begin(), far.end(), this->generator);
    // One of another zone: what cuts this node off may cut off its zone.
    if (near.size() >= most_relays)
    {
        near.resize(most_relays - 1);
    }
    std::vector<net::endpoint> relays;
    for (const std::vector<membership::vm>* group : {&near, &far})
    {
        for (const membership::vm& vm : *group)
        {
            if (relays.size() < most_relays)
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
        co_await this->pass_on(exchange);
        co_return;
    }
    if (target == knowledge_path)
    {
        net::http_response response;
        response.headers["content-type"] = "application/json";
        response.body = this->tell();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await exchange.respond(
        net::make_text_response(status_not_found, "not found"));
}

asio::awaitable<void> peer_exchange::pass_on(net::http_exchange& exchange)
{
    result<std::string> body = co_await exchange.read_body(
        this->settings.bounds.object_bytes + largest_call_frame);
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
    result<net::http_response> answer =
        co_await this->store.forward(std::move(request), relay_limit);
    if (!answer)
    {
        const bool certain = answer.error().kind == error_kind::unavailable;
        co_await exchange.respond(net::make_text_response(
            certain ? status_unavailable : status_gateway_timeout,
            answer.error().text));
        co_return;
    }
    net::http_response response;
    response.status = answer.value().status;
    response.body = std::move(answer.value().body);
    co_await exchange.respond(std::move(response));
}

std::string peer_exchange::tell() const
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

void peer_exchange::hear(const std::string& told)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(told, code);
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
    std::vector<net::endpoint> teachers = this->choose_relays();
    if (teachers.empty())
    {
        for (const std::string& seed : this->settings.seeds)
        {
            const std::string address = seed.substr(0, seed.rfind(':'));
            if (address != this->settings.address)
            {
                teachers.push_back({address, this->settings.peer_port});
            }
        }
        std::shuffle(teachers.begin(), teachers.end(), this->generator);
    }
    return teachers;
}

asio::awaitable<void> peer_exchange::learn()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        timer.expires_after(learn_interval);
        co_await timer.async_wait(as_result);
        const auto configuration = this->fleet.configuration();
        const bool behind =
            configuration == nullptr ||
            configuration->version < this->members.highest_revision();
        if (!behind && this->fleet.is_store_reached())
        {
            continue;
        }
        std::vector<net::endpoint> teachers = this->choose_sync_peers();
        if (teachers.empty())
        {
            continue;
        }
        net::http_request request;
        request.target = knowledge_path;
        net::response_limits bounds;
        bounds.body_bytes = this->settings.bounds.fleet_state_bytes;
        const result<net::http_response> told = co_await this->http.request(
            teachers.front(), std::move(request), learn_limit, bounds);
        if (told && told.value().status == 200)
        {
            this->hear(told.value().body);
        }
    }
}

} // namespace chicory::node
