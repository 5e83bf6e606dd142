#ifndef CHICORY_SERVERS_BATCH_REFUSAL_HPP
#define CHICORY_SERVERS_BATCH_REFUSAL_HPP

#include "core/core.hpp"
#include "net/net.hpp"

#include <cstdint>
#include <string>

namespace chicory::batch
{

/// Reason why a call on jobs was refused.
struct refusal
{
    int status = 400;
    reason code = reason::invalid_request;
    std::string text;
    /// True when the call certainly had no effect.
    bool not_accepted = true;
    /// Time after which the caller may retry, in milliseconds; zero when a
    /// retry is of no use.
    std::int64_t retry_after_ms = 0;
};

/// Returns the refusal for a failed call to a platform service. `service` is
/// the reason that names the service.
refusal make_platform_refusal(const error& failure, reason service);

/// Returns the HTTP response of a refusal.
net::http_response to_response(const refusal& failure);

/// Returns an HTTP response with a JSON body.
net::http_response make_json_response(int status, std::string body);

} // namespace chicory::batch

#endif
