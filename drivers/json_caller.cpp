#include "drivers/json_caller.hpp"

#include <utility>

namespace chicory::drivers
{

namespace asio = boost::asio;
namespace json = boost::json;

json_caller::json_caller(
    net::http_client& client, net::endpoint server, duration limit)
    : http(client), target(std::move(server)), call_limit(limit)
{
}

asio::awaitable<result<net::http_response>>
json_caller::call(std::string method, std::string path, std::string body) const
{
    net::http_request request;
    request.method = std::move(method);
    request.target = std::move(path);
    request.headers["content-type"] = "application/json";
    request.body = std::move(body);
    result<net::http_response> response = co_await this->http.request(
        this->target, std::move(request), this->call_limit);
    if (response && response.value().status == 503)
    {
        co_return make_error(
            error_kind::unavailable, "the platform answered 503");
    }
    co_return response;
}

asio::awaitable<result<net::http_response>>
json_caller::read(std::string method, std::string path, std::string body) const
{
    result<net::http_response> response = co_await this->call(
        std::move(method), std::move(path), std::move(body));
    if (!response && response.error().kind == error_kind::outcome_unknown)
    {
        error failure = response.error();
        failure.kind = error_kind::timeout;
        co_return failure;
    }
    co_return response;
}

error make_format_error(std::string_view what, const std::string& found)
{
    return make_error(
        error_kind::internal,
        std::string(what) + ": expected another form, found " +
            found.substr(0, 200));
}

result<json::value> parse_body(const net::http_response& response)
{
    json::error_code code;
    json::value value = json::parse(response.body, code);
    if (code || response.status != 200)
    {
        return make_format_error(
            "platform answer with status " + std::to_string(response.status),
            response.body);
    }
    return value;
}

} // namespace chicory::drivers
