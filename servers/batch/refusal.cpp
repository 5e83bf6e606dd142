#include "servers/batch/refusal.hpp"

#include <boost/json.hpp>

namespace chicory::batch
{

namespace
{

constexpr std::int64_t outage_retry_ms = 5000;
constexpr std::int64_t ms_per_second = 1000;

} // namespace

refusal make_platform_refusal(const error& failure, reason service)
{
    refusal service_refusal;
    service_refusal.retry_after_ms = outage_retry_ms;
    service_refusal.text = failure.text;
    if (failure.kind == error_kind::not_found)
    {
        service_refusal.status = 404;
        service_refusal.retry_after_ms = 0;
        return service_refusal;
    }
    service_refusal.status = 503;
    service_refusal.code = service;
    if (failure.kind == error_kind::outcome_unknown)
    {
        service_refusal.status = 504;
        service_refusal.code = reason::write_outcome_unknown;
        service_refusal.not_accepted = false;
    }
    return service_refusal;
}

net::http_response to_response(const refusal& failure)
{
    boost::json::object body;
    body["code"] = name_of(failure.code);
    body["message"] = failure.text;
    body["not_run"] = failure.not_accepted;
    if (failure.retry_after_ms > 0)
    {
        body["retry_after_ms"] = failure.retry_after_ms;
    }
    boost::json::object whole;
    whole["error"] = std::move(body);
    net::http_response response =
        make_json_response(failure.status, boost::json::serialize(whole));
    if (failure.retry_after_ms > 0)
    {
        const std::int64_t seconds =
            (failure.retry_after_ms + ms_per_second - 1) / ms_per_second;
        response.headers["retry-after"] = std::to_string(seconds);
    }
    return response;
}

net::http_response make_json_response(int status, std::string body)
{
    net::http_response response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace chicory::batch
