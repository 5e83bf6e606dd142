#ifndef CHICORY_SERVERS_GATE_API_ERROR_HPP
#define CHICORY_SERVERS_GATE_API_ERROR_HPP

#include "core/core.hpp"
#include "net/net.hpp"

#include <cstdint>
#include <string>

namespace chicory::gate
{

/// Error that is sent to a caller, in a response or as an event. Every refusal
/// has this form.
struct api_error
{
    int status = 500;
    reason code = reason::invalid_request;
    std::string text;
    /// True only when it is certain that no backend server ran the request.
    bool not_run = true;
    /// Time after which the caller may retry; zero when a retry does not help.
    std::int64_t retry_after_ms = 0;
};

/// Returns an error as a server-sent event, for a stream whose head was sent
/// already.
std::string to_event(const api_error& failure);

/// Returns the HTTP response of an error.
net::http_response to_response(const api_error& failure);

} // namespace chicory::gate

#endif
