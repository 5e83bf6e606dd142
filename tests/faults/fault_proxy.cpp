#include "tests/faults/fault_proxy.hpp"

#include "tests/standins/json_response.hpp"

#include <exception>
#include <optional>
#include <stdexcept>
#include <utility>

namespace chicory::faults
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t max_body_bytes = 1U << 20U;

std::string get_text(
    const json::object& source,
    const char* name,
    const std::string& default_value)
{
    const json::value* const found = source.if_contains(name);
    return found == nullptr ? default_value
                            : json::value_to<std::string>(*found);
}

std::int64_t get_number(
    const json::object& source, const char* name, std::int64_t default_value)
{
    const json::value* const found = source.if_contains(name);
    return found == nullptr ? default_value : found->to_number<std::int64_t>();
}

fault parse_fault(const json::object& request)
{
    const std::string name = get_text(request, "fault", "note");
    const std::optional<fault_kind> kind = find_value(fault_kind_names, name);
    if (!kind)
    {
        throw std::invalid_argument("fault: unknown value " + name);
    }
    fault parsed_fault;
    parsed_fault.kind = *kind;
    parsed_fault.delay =
        std::chrono::milliseconds(get_number(request, "delay_ms", 0));
    parsed_fault.jitter =
        std::chrono::milliseconds(get_number(request, "jitter_ms", 0));
    parsed_fault.percent =
        static_cast<double>(get_number(request, "percent", 0));
    return parsed_fault;
}

} // namespace

fault_proxy::fault_proxy(
    asio::any_io_executor context, std::uint64_t initial_seed)
    : executor(std::move(context)), seed(initial_seed)
{
}

asio::awaitable<void> fault_proxy::handle(net::http_exchange& exchange)
{
    const net::http_request head = exchange.head();
    const result<std::string> body =
        co_await exchange.read_body(max_body_bytes);
    if (!body)
    {
        co_return;
    }
    net::http_response response;
    try
    {
        response = this->handle_call(head, body.value());
    }
    catch (const std::exception& failure)
    {
        response = standin::make_error_response(400, failure.what());
    }
    static_cast<void>(co_await exchange.respond(std::move(response)));
}

net::http_response
fault_proxy::handle_call(const net::http_request& head, const std::string& body)
{
    if (head.method == "GET" && head.target == "/rules")
    {
        return standin::make_json_response(200, this->list_rules());
    }
    if (head.method == "GET" && head.target == "/legs")
    {
        return standin::make_json_response(200, this->list_legs());
    }
    const json::value parsed = json::parse(body);
    const json::object& request = parsed.as_object();
    if (head.target == "/legs")
    {
        return standin::make_json_response(200, this->open_leg(request));
    }
    if (head.target == "/rules")
    {
        return standin::make_json_response(200, this->add_rule(request));
    }
    if (head.target == "/faults")
    {
        this->set_fault(request);
    }
    else if (head.target == "/cuts")
    {
        this->cut(request);
    }
    else if (head.target == "/release")
    {
        this->release(request);
    }
    else if (head.target == "/heal")
    {
        for (const auto& [name, open] : this->legs)
        {
            open->rules().heal();
        }
        this->rules.clear();
    }
    else
    {
        return standin::make_error_response(404, "no such call");
    }
    return standin::make_empty_response(204);
}

json::value fault_proxy::open_leg(const json::object& request)
{
    static const std::string loopback = "127.0.0.1";
    leg_settings settings;
    settings.name = get_text(request, "name", "");
    settings.local = net::endpoint{
        loopback, static_cast<std::uint16_t>(get_number(request, "port", 0))};
    settings.target = net::endpoint{
        loopback,
        static_cast<std::uint16_t>(get_number(request, "target_port", 0))};
    settings.from_group = get_text(request, "from", "");
    settings.to_group = get_text(request, "to", "");
    const std::uint64_t leg_seed = hash_bytes(settings.name, this->seed);
    const std::shared_ptr<running_leg> opened =
        get_text(request, "protocol", "tcp") == "udp"
            ? make_udp_leg(this->executor, settings, leg_seed)
            : make_tcp_leg(this->executor, settings, leg_seed);
    const result<void> started = opened->start();
    if (!started)
    {
        throw std::runtime_error(started.error().text);
    }
    this->legs[settings.name] = opened;
    return json::object{{"port", opened->port()}};
}

std::vector<std::shared_ptr<running_leg>>
fault_proxy::find_legs(const std::string& name) const
{
    std::vector<std::shared_ptr<running_leg>> found;
    for (const auto& [leg_name, open] : this->legs)
    {
        const bool by_prefix =
            name.ends_with('*') &&
            leg_name.starts_with(
                std::string_view(name).substr(0, name.size() - 1));
        if (by_prefix || name == leg_name)
        {
            found.push_back(open);
        }
    }
    if (found.empty())
    {
        throw std::invalid_argument("leg: unknown name " + name);
    }
    return found;
}

void fault_proxy::set_fault(const json::object& request)
{
    const fault applied = parse_fault(request);
    for (const std::shared_ptr<running_leg>& open :
         this->find_legs(get_text(request, "leg", "*")))
    {
        open->rules().set(applied);
        open->apply_now(applied.kind);
    }
}

void fault_proxy::cut(const json::object& request)
{
    const std::string from = get_text(request, "from", "");
    const std::string to = get_text(request, "to", "");
    fault applied;
    applied.kind = fault_kind::cut;
    for (const auto& [name, open] : this->legs)
    {
        const leg_settings& settings = open->rules().settings();
        const bool forward =
            settings.from_group == from && settings.to_group == to;
        const bool backward =
            settings.from_group == to && settings.to_group == from;
        if (forward || backward)
        {
            open->rules().set(applied);
        }
    }
}

json::value fault_proxy::add_rule(const json::object& request)
{
    const std::string flow_name = get_text(request, "direction", "request");
    const std::optional<direction> parsed_flow =
        find_value(direction_names, flow_name);
    if (!parsed_flow)
    {
        throw std::invalid_argument("direction: unknown value " + flow_name);
    }
    const std::shared_ptr<rule> added = std::make_shared<rule>();
    added->id = static_cast<std::int64_t>(this->rules.size());
    added->leg = get_text(request, "leg", "*");
    added->flow = *parsed_flow;
    added->text = get_text(request, "text", "");
    added->effect = parse_fault(request);
    const json::value* const after = request.if_contains("after");
    added->after = after != nullptr && after->as_bool();
    added->remaining_matches = get_number(request, "count", 1);
    for (const std::shared_ptr<running_leg>& open : this->find_legs(added->leg))
    {
        open->rules().add_rule(added);
    }
    this->rules.push_back(added);
    return json::object{{"id", added->id}};
}

void fault_proxy::release(const json::object& request)
{
    const std::int64_t id = get_number(request, "id", -1);
    this->rules.at(static_cast<std::size_t>(id))->released = true;
}

json::array fault_proxy::list_rules() const
{
    json::array list;
    for (const std::shared_ptr<rule>& listed : this->rules)
    {
        list.push_back(json::object{
            {"id", listed->id},
            {"leg", listed->leg},
            {"text", listed->text},
            {"hits", listed->hits}});
    }
    return list;
}

json::object fault_proxy::list_legs() const
{
    json::object list;
    for (const auto& [name, open] : this->legs)
    {
        list[name] =
            json::object{{"port", open->port()}, {"open", open->open_count()}};
    }
    return list;
}

} // namespace chicory::faults
