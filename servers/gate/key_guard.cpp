#include "servers/gate/key_guard.hpp"

#include <boost/json.hpp>

#include <utility>

namespace chicory::gate
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Longest response body that is stored for a second request with the key.
constexpr std::size_t max_recorded_bytes = std::size_t{64} << 10U;
constexpr std::int64_t retry_after_ms = 1000;
/// Number of attempts to claim a key whose row says that its request was not
/// run, or whose row was removed during the claim.
constexpr int max_claim_attempts = 3;

std::string make_row_key(const online_request& request)
{
    return std::string(online::claim_row_prefix) +
           sha256_hex(request.route.name + "\n" + request.idempotency_key);
}

std::string
make_operation(identifier_source& identifiers, const online_request& request)
{
    online::claim_stamp stamp;
    stamp.id = identifiers.next("op-");
    stamp.claimed_at_ms = read_wall_clock_ms();
    stamp.fingerprint = request.fingerprint;
    return online::encode(stamp);
}

/// Returns true when two operations belong to the same request.
bool is_same_request(const std::string& left, const std::string& right)
{
    const auto one = online::decode_claim_stamp(left);
    const auto other = online::decode_claim_stamp(right);
    return one && other && one->fingerprint == other->fingerprint;
}

api_error make_refusal(
    int status, reason code, std::string text, bool not_run, bool may_retry)
{
    api_error failure;
    failure.status = status;
    failure.code = code;
    failure.text = std::move(text);
    failure.not_run = not_run;
    failure.retry_after_ms = may_retry ? retry_after_ms : 0;
    return failure;
}

api_error make_outcome_unknown()
{
    return make_refusal(
        409,
        reason::outcome_unknown,
        "a request with this idempotency key is in progress or ended without "
        "a known outcome; it is not run again",
        false,
        true);
}

} // namespace

key_guard::key_guard(
    claim_keeper& keeper,
    identifier_source& identifiers,
    const online_request& request)
    : claims(keeper), key(make_row_key(request)),
      operation(make_operation(identifiers, request))
{
}

asio::awaitable<std::optional<key_response>>
key_guard::claim(time_point deadline)
{
    for (int attempt = 0; attempt < max_claim_attempts; ++attempt)
    {
        const duration time_left = deadline - read_monotonic_clock();
        const claim_result result = co_await this->claims.claim(
            this->key, this->operation, this->version, time_left);
        this->version = result.version;
        if (result.status == claim_status::granted)
        {
            co_return std::nullopt;
        }
        if (result.status == claim_status::failed)
        {
            co_return make_refusal(
                503,
                reason::claim_unavailable,
                "the idempotency key cannot be claimed now, because the table "
                "service does not answer",
                true,
                true);
        }
        if (result.status == claim_status::timed_out)
        {
            co_return make_refusal(
                504,
                reason::deadline_too_short,
                "the idempotency key could not be claimed before the deadline, "
                "because the table service is slow",
                true,
                true);
        }
        if (result.version == 0)
        {
            // The row expired and was removed after it had been read.
            continue;
        }
        if (online::claim_outcome(result.value) != online::not_run_outcome)
        {
            co_return this->make_response_from_row(result.value);
        }
    }
    co_return make_outcome_unknown();
}

key_response key_guard::make_response_from_row(const std::string& value) const
{
    const std::string other = online::claim_operation(value);
    if (!is_same_request(other, this->operation))
    {
        return make_refusal(
            422,
            reason::key_in_use,
            "the idempotency key was used for another request",
            true,
            false);
    }
    json::error_code code;
    const json::value outcome = json::parse(online::claim_outcome(value), code);
    const json::object* fields = code ? nullptr : outcome.if_object();
    if (fields == nullptr || !fields->contains("body"))
    {
        return make_outcome_unknown();
    }
    net::http_response response;
    response.status = static_cast<int>(fields->at("status").as_int64());
    response.headers["content-type"] =
        json::value_to<std::string>(fields->at("content_type"));
    response.headers["idempotency-replayed"] = "true";
    response.body = json::value_to<std::string>(fields->at("body"));
    return response;
}

void key_guard::record(const session_outcome& outcome)
{
    if (outcome.failure && outcome.failure->not_run)
    {
        this->claims.record(
            this->key,
            this->operation,
            this->version,
            std::string(online::not_run_outcome));
        return;
    }
    if (outcome.result != online::request_result::answered ||
        outcome.response.body.size() > max_recorded_bytes)
    {
        return;
    }
    const auto type = outcome.response.headers.find("content-type");
    json::object stored;
    stored["status"] = outcome.response.status;
    stored["content_type"] =
        type == outcome.response.headers.end() ? "" : type->second;
    stored["body"] = outcome.response.body;
    this->claims.record(
        this->key, this->operation, this->version, json::serialize(stored));
}

} // namespace chicory::gate
