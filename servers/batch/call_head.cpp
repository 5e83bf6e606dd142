#include "servers/batch/call_head.hpp"

#include <charconv>
#include <string_view>

namespace chicory::batch
{

namespace
{

constexpr std::string_view batch_path = "/v1/batches";
constexpr std::string_view results_suffix = "/results";
constexpr std::string_view cancel_suffix = "/cancel";
constexpr std::string_view route_parameter = "route=";
constexpr std::int64_t default_deadline_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_deadline_ms = 30 * default_deadline_ms;
constexpr std::int64_t configuration_retry_ms = 1000;
constexpr std::size_t max_key_bytes = 256;

refusal make_refusal(int status, reason code, std::string text)
{
    refusal failure;
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

std::string find_route_name(const std::string& target)
{
    std::string_view query(target);
    const std::size_t mark = query.find('?');
    query.remove_prefix(
        mark == std::string_view::npos ? query.size() : mark + 1);
    while (!query.empty())
    {
        const std::string_view pair = query.substr(0, query.find('&'));
        if (pair.starts_with(route_parameter))
        {
            return std::string(pair.substr(route_parameter.size()));
        }
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return {};
}

bool read_deadline(const net::http_request& head, std::int64_t& deadline_ms)
{
    deadline_ms = default_deadline_ms;
    const std::string text = find_header(head, "x-deadline-ms");
    if (text.empty())
    {
        return true;
    }
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), deadline_ms);
    return code == std::errc() && end == text.data() + text.size() &&
           deadline_ms > 0 && deadline_ms <= max_deadline_ms;
}

} // namespace

job_call parse_job_call(const std::string& method, const std::string& target)
{
    const std::string_view path =
        std::string_view(target).substr(0, target.find('?'));
    if (method == "GET" && path == "/healthz")
    {
        return {job_call_kind::health, {}};
    }
    if (method == "GET" && path == "/metrics")
    {
        return {job_call_kind::metrics, {}};
    }
    if (method == "POST" && path == batch_path)
    {
        return {job_call_kind::submit, {}};
    }
    if (!path.starts_with(batch_path) || path.size() <= batch_path.size() + 1)
    {
        return {};
    }
    std::string_view job = path.substr(batch_path.size() + 1);
    job_call_kind kind =
        method == "GET" ? job_call_kind::show : job_call_kind::unknown;
    if (method == "GET" && job.ends_with(results_suffix))
    {
        kind = job_call_kind::results;
        job.remove_suffix(results_suffix.size());
    }
    if (method == "POST" && job.ends_with(cancel_suffix))
    {
        kind = job_call_kind::cancel;
        job.remove_suffix(cancel_suffix.size());
    }
    const bool plain =
        job.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
        std::string_view::npos;
    if (!plain || job.empty())
    {
        return {};
    }
    return {kind, std::string(job)};
}

bool has_key_of(
    const net::http_request& head, const configuration::route& route)
{
    return dispatching::has_key_of(find_header(head, "authorization"), route);
}

checked_submission check_submission(
    const net::http_request& head, const dispatching::fleet_cache& fleet)
{
    if (!fleet.is_configured())
    {
        refusal failure = make_refusal(
            503, reason::no_configuration, "no configuration is known yet");
        failure.retry_after_ms = configuration_retry_ms;
        return failure;
    }
    const std::string name = find_route_name(head.target);
    const std::string authorization = find_header(head, "authorization");
    if (authorization.empty())
    {
        return make_refusal(
            401, reason::unauthenticated, "expected a key as bearer token");
    }
    const configuration::route* route =
        dispatching::find_accessible_route(fleet, name, authorization);
    if (route == nullptr)
    {
        return make_refusal(
            403,
            reason::forbidden,
            "route \"" + name + "\" in ?route= does not exist or the key may " +
                "not use it");
    }
    submission_request request;
    request.route = *route;
    request.key = find_header(head, "idempotency-key");
    if (request.key.size() > max_key_bytes)
    {
        return make_refusal(
            400,
            reason::invalid_request,
            "idempotency-key: expected at most " +
                std::to_string(max_key_bytes) + " bytes");
    }
    if (!read_deadline(head, request.deadline_ms))
    {
        return make_refusal(
            400,
            reason::invalid_request,
            "x-deadline-ms: expected 1 to " + std::to_string(max_deadline_ms));
    }
    return request;
}

} // namespace chicory::batch
