#include "servers/control/peer_configuration.hpp"

#include "wire/wire.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::string_view target_prefix = "/configuration?after=";
constexpr std::string_view json_type = "application/json";
constexpr std::string_view binary_type = "application/octet-stream";
constexpr std::chrono::seconds fetch_timeout(2);

std::optional<std::int64_t> parse_after(std::string_view target)
{
    if (!target.starts_with(target_prefix))
    {
        return std::nullopt;
    }
    const std::string_view digits = target.substr(target_prefix.size());
    std::int64_t after = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), after);
    const bool is_valid = parsed.ec == std::errc() &&
                          parsed.ptr == digits.data() + digits.size() &&
                          after >= 0;
    return is_valid ? std::optional(after) : std::nullopt;
}

std::string
encode_changes(const std::vector<configuration::history_entry>& changes)
{
    json::array encoded_entries;
    for (const configuration::history_entry& entry : changes)
    {
        encoded_entries.emplace_back(configuration::encode_history(entry));
    }
    return json::serialize(encoded_entries);
}

result<peer_response> decode_changes(const std::string& body)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(body, code);
    if (code || !parsed.is_array())
    {
        return make_error(
            error_kind::invalid_input,
            "changes of a peer: expected a JSON array, found " +
                body.substr(0, 100));
    }
    std::vector<configuration::history_entry> changes;
    for (const json::value& element : parsed.get_array())
    {
        if (!element.is_string())
        {
            return make_error(
                error_kind::invalid_input,
                "changes of a peer: expected a string for each change, found " +
                    json::serialize(element));
        }
        BOOST_OUTCOME_TRY(
            configuration::history_entry entry,
            configuration::decode_history(std::string(element.get_string())));
        changes.push_back(std::move(entry));
    }
    return peer_response(std::move(changes));
}

result<peer_response> decode_tables(const std::string& body)
{
    BOOST_OUTCOME_TRY(wire::message value, wire::decode(body));
    wire::configuration_update* update =
        std::get_if<wire::configuration_update>(&value);
    if (update == nullptr)
    {
        return make_error(
            error_kind::invalid_input,
            "configuration of a peer: expected a configuration_update, found "
            "another message");
    }
    return peer_response(std::move(update->tables));
}

} // namespace

peer_configuration_server::peer_configuration_server(
    asio::io_context& io, const configuration::adoption& initial_adoption)
    : adopted(initial_adoption), server(
                                     io.get_executor(),
                                     [this](net::http_exchange& exchange)
                                     {
                                         return this->handle_exchange(exchange);
                                     })
{
}

void peer_configuration_server::set_metrics_hook(
    std::function<std::string()> hook)
{
    this->render_metrics = std::move(hook);
}

result<void> peer_configuration_server::start(const net::endpoint& local)
{
    return this->server.listen(local);
}

std::uint16_t peer_configuration_server::port() const
{
    return this->server.port();
}

asio::awaitable<void>
peer_configuration_server::handle_exchange(net::http_exchange& exchange)
{
    net::http_response response;
    if (exchange.head().target == "/metrics" && this->render_metrics)
    {
        response.headers["content-type"] = "text/plain; version=0.0.4";
        response.body = this->render_metrics();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const std::optional<std::int64_t> after =
        parse_after(exchange.head().target);
    if (!after)
    {
        response.status = 404;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::optional<std::vector<configuration::history_entry>> changes;
    if (*after > 0)
    {
        changes = this->adopted.changes_after(*after);
    }
    if (changes)
    {
        response.headers["content-type"] = std::string(json_type);
        response.body = encode_changes(*changes);
    }
    else
    {
        response.headers["content-type"] = std::string(binary_type);
        response.body =
            wire::encode(wire::configuration_update{this->adopted.current()});
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<result<peer_response>> fetch_from_peer(
    net::http_client& client, net::endpoint peer, std::int64_t after)
{
    net::http_request request;
    request.target = std::string(target_prefix) + std::to_string(after);
    result<net::http_response> response = co_await client.request(
        std::move(peer), std::move(request), fetch_timeout);
    if (!response)
    {
        co_return response.error();
    }
    const net::http_response& found = response.value();
    if (found.status != 200)
    {
        co_return make_error(
            error_kind::unavailable,
            "configuration of a peer: expected status 200, found " +
                std::to_string(found.status));
    }
    const auto type = found.headers.find("content-type");
    const bool has_changes =
        type != found.headers.end() && type->second == json_type;
    co_return has_changes ? decode_changes(found.body)
                          : decode_tables(found.body);
}

} // namespace chicory::control
