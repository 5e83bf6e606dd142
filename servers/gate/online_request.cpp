#include "servers/gate/online_request.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace chicory::gate
{

namespace json = boost::json;

namespace
{

constexpr std::string_view service_prefix = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t prefix_key_bytes = 256;
constexpr std::int64_t max_deadline_ms = 3600000;

api_error make_refusal(int status, reason code, std::string text)
{
    api_error failure;
    failure.status = status;
    failure.code = code;
    failure.text = std::move(text);
    return failure;
}

std::string find_header(const net::http_request& head, const char* name)
{
    const auto found = head.headers.find(name);
    return found == head.headers.end() ? std::string() : found->second;
}

std::optional<std::int64_t> parse_number(const std::string& text)
{
    std::int64_t number = 0;
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return number;
}

std::string read_text(const json::object& fields, std::string_view name)
{
    const json::value* value = fields.if_contains(name);
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return json::value_to<std::string>(*value);
}

bool read_flag(const json::object& fields, std::string_view name)
{
    const json::value* value = fields.if_contains(name);
    return value != nullptr && value->is_bool() && value->as_bool();
}

/// Reads the streaming flag of a model request's body into the request and
/// returns the route name.
boost::outcome_v2::
    basic_result<std::string, api_error, boost::outcome_v2::policy::terminate>
    read_model_body(online_request& request)
{
    json::error_code code;
    const json::value body = json::parse(request.body, code);
    if (code || !body.is_object())
    {
        return make_refusal(
            400,
            reason::invalid_request,
            "body: expected a JSON object, found " +
                request.body.substr(0, 40));
    }
    std::string name = read_text(body.as_object(), "model");
    if (name.empty())
    {
        return make_refusal(
            400,
            reason::invalid_request,
            "model: expected the name of a route, found none");
    }
    request.streaming = read_flag(body.as_object(), "stream");
    return name;
}

} // namespace

checked_request check_request(
    const net::http_request& head,
    std::string body,
    const dispatching::fleet_cache& fleet)
{
    if (!fleet.is_configured())
    {
        api_error failure = make_refusal(
            503, reason::no_configuration, "no configuration is known yet");
        failure.retry_after_ms = 1000;
        return failure;
    }
    online_request request;
    request.body = std::move(body);
    request.path = head.target;
    request.content_type = find_header(head, "content-type");
    std::string name;
    if (head.target.starts_with(service_prefix))
    {
        name = head.target.substr(service_prefix.size());
        request.path = "/" + name;
    }
    else
    {
        BOOST_OUTCOME_TRY(name, read_model_body(request));
    }
    const std::string authorization = find_header(head, "authorization");
    if (!authorization.starts_with(bearer_prefix))
    {
        return make_refusal(
            401,
            reason::unauthenticated,
            "authorization: expected \"Bearer KEY\", found another form");
    }
    const configuration::route* route =
        dispatching::find_accessible_route(fleet, name, authorization);
    if (route == nullptr)
    {
        return make_refusal(
            403,
            reason::forbidden,
            "route \"" + name + "\" does not exist or the key may not use it");
    }
    const configuration::pool* pool = fleet.find_pool(route->pool);
    if (pool == nullptr)
    {
        return make_refusal(
            503,
            reason::no_runner,
            "route \"" + name + "\" names pool \"" + route->pool +
                "\", which does not exist");
    }
    request.route = *route;
    request.pool = *pool;
    std::int64_t deadline_ms = route->default_deadline_ms;
    if (const std::string text = find_header(head, "x-deadline-ms");
        !text.empty())
    {
        const std::optional<std::int64_t> number = parse_number(text);
        if (!number || *number < 1 || *number > max_deadline_ms)
        {
            return make_refusal(
                400,
                reason::invalid_request,
                "x-deadline-ms: expected a number from 1 to 3600000, found " +
                    text);
        }
        deadline_ms = *number;
    }
    request.time_left = std::chrono::milliseconds(deadline_ms);
    request.not_repeatable = find_header(head, "x-not-repeatable") == "true";
    request.idempotency_key = find_header(head, "idempotency-key");
    const std::uint64_t salt = hash_bytes(route->member);
    request.fingerprint = hash_bytes(request.body, hash_bytes(name, salt));
    request.prefix_key = hash_bytes(
        std::string_view(request.body).substr(0, prefix_key_bytes), salt);
    return request;
}

} // namespace chicory::gate
