#ifndef CHICORY_SERVERS_GATE_KEY_GUARD_HPP
#define CHICORY_SERVERS_GATE_KEY_GUARD_HPP

#include "servers/gate/claim_keeper.hpp"
#include "servers/gate/online_session.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace chicory::gate
{

/// Response to a caller whose key was used before or cannot be claimed.
using key_response = std::variant<net::http_response, api_error>;

/// Claims the idempotency key of one request, so that a second request with the
/// key, through any gate, gets the outcome of the first one and is not run.
class key_guard
{
public:
    key_guard(
        claim_keeper& claims,
        identifier_source& identifiers,
        const online_request& request);

    /// Claims the key. Returns the response for the caller when the request
    /// must not run, and nothing when it may run. Returns at the deadline at
    /// the latest.
    boost::asio::awaitable<std::optional<key_response>>
    claim(time_point deadline);

    /// Stores the outcome of the request: its response, or that it was not run.
    /// Stores nothing when the outcome is unknown or the response is longer
    /// than 64 KiB.
    void record(const session_outcome& outcome);

private:
    key_response make_response_from_row(const std::string& value) const;

    claim_keeper& claims;
    std::string key;
    std::string operation;
    std::int64_t version = 0;
};

} // namespace chicory::gate

#endif
