#include "servers/node/access_refusal.hpp"

#include <chrono>
#include <utility>

namespace chicory::node
{

namespace
{

/// Retry delay for callers while the keys known here may be out of date. It is
/// short, because another node may be in contact with the store.
constexpr std::chrono::milliseconds stale_retry(500);

reason to_reason(serving::access_outcome outcome)
{
    switch (outcome)
    {
    case serving::access_outcome::missing_key:
        return reason::missing_key;
    case serving::access_outcome::malformed_key:
        return reason::malformed_key;
    case serving::access_outcome::stale:
        return reason::credentials_stale;
    case serving::access_outcome::unknown_key:
    case serving::access_outcome::granted:
        break;
    }
    return reason::unknown_key;
}

} // namespace

boost::asio::awaitable<void> refuse_access(
    net::http_exchange& exchange,
    metrics& counters,
    const std::string& route,
    const serving::access_decision& decision)
{
    const reason why = to_reason(decision.outcome);
    const net::http_headers& headers = exchange.head().headers;
    const serving::caller_key key = platform::parse_caller_key(headers);
    counters.count_refusal(why);
    counters.count_organisation_refusal(decision.organisation, why);
    log_event(
        event::access_refused,
        {{"request", platform::parse_caller_parameters(headers).attempt_id},
         {"route", route},
         {"reason", std::string(name_of(why))},
         {"organisation", decision.organisation},
         {"key", key.digest ? serving::abbreviate(*key.digest) : ""}});
    net::http_response refusal =
        decision.outcome == serving::access_outcome::stale
            ? platform::make_refusal(stale_retry, name_of(why))
            : platform::make_key_refusal(decision.outcome);
    co_await exchange.respond(std::move(refusal));
}

} // namespace chicory::node
