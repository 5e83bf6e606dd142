#include "servers/gate/api_error.hpp"

#include <boost/json.hpp>

namespace chicory::gate
{

namespace
{

std::string to_json(const api_error& failure)
{
    boost::json::object body;
    body["code"] = name_of(failure.code);
    body["message"] = failure.text;
    body["not_run"] = failure.not_run;
    if (failure.retry_after_ms > 0)
    {
        body["retry_after_ms"] = failure.retry_after_ms;
    }
    boost::json::object document;
    document["error"] = std::move(body);
    return boost::json::serialize(document);
}

} // namespace

std::string to_event(const api_error& failure)
{
    return "event: error\ndata: " + to_json(failure) + "\n\n";
}

net::http_response to_response(const api_error& failure)
{
    net::http_response response;
    response.status = failure.status;
    response.headers["content-type"] = "application/json";
    if (failure.retry_after_ms > 0)
    {
        const std::int64_t seconds = (failure.retry_after_ms + 999) / 1000;
        response.headers["retry-after"] = std::to_string(seconds);
    }
    response.body = to_json(failure);
    return response;
}

} // namespace chicory::gate
