#ifndef CHICORY_SERVERS_BATCH_CALL_HEAD_HPP
#define CHICORY_SERVERS_BATCH_CALL_HEAD_HPP

#include "net/net.hpp"
#include "servers/batch/refusal.hpp"
#include "servers/batch/submission.hpp"
#include "servers/dispatch/dispatch.hpp"

#include <string>
#include <variant>

namespace chicory::batch
{

/// Operation that an HTTP call requests.
enum class job_call_kind
{
    unknown,
    submit,
    show,
    results,
    cancel,
    health,
    metrics,
};

/// Operation of an HTTP call and the identifier of the job in its path.
struct job_call
{
    job_call_kind kind = job_call_kind::unknown;
    std::string job;
};

/// Parses the method and target of an HTTP call. Returns the kind `unknown`
/// for any call that is not part of the API.
job_call parse_job_call(const std::string& method, const std::string& target);

/// Returns true when the call carries a key of the route.
bool has_key_of(
    const net::http_request& head, const configuration::route& route);

using checked_submission = std::variant<submission_request, refusal>;

/// Checks the route, authorization key, deadline and idempotency key of a
/// submission. Returns the refusal when one of them is not valid.
checked_submission check_submission(
    const net::http_request& head, const dispatching::fleet_cache& fleet);

} // namespace chicory::batch

#endif
