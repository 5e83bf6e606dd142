#ifndef CHICORY_SERVERS_GATE_OWNED_RUN_HPP
#define CHICORY_SERVERS_GATE_OWNED_RUN_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "wire/wire.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicory::gate
{

/// Called with each response message of an attempt.
using reply_hook = std::function<void(wire::message)>;

/// One attempt at the gate that owns its runner, or at a gate that fetches its
/// response for a resume. Stores the response, so that it can be sent again.
class owned_run
{
public:
    owned_run(wire::dispatch request, net::endpoint server, reply_hook reply);

    /// Returns the id of an attempt, which the backend server uses as the id of
    /// the run.
    static std::string
    make_id(const std::string& request_id, std::uint32_t attempt);

    /// Sets the offset in bytes from which the response is fetched.
    void set_first_offset(std::uint64_t offset);

    /// Sends the head of the response.
    void send_head(std::int32_t status, std::string content_type);

    /// Stores and sends the next bytes of the response.
    void send_bytes(std::string bytes);

    /// Sends the end of the response, with its length.
    void send_end();

    /// Sends the failure of the attempt. `retry_after` is zero when no time is
    /// known.
    void send_failure(
        wire::attempt_outcome outcome, reason why, duration retry_after = {});

    /// Sends the response again from an offset in bytes on, to `new_reply`,
    /// which also receives all later messages.
    void resume(std::uint64_t offset, reply_hook new_reply);

    /// Returns the offset of the next byte of the response.
    std::uint64_t offset() const;

    wire::dispatch request;
    net::endpoint server;
    std::string id;
    std::unique_ptr<net::http_stream> stream;
    /// True after the run was cancelled for `cancel_reason`.
    bool cancelled = false;
    reason cancel_reason = reason::caller_gone;
    /// True after the runner was declared dead during this run.
    bool runner_lost = false;
    bool head_sent = false;
    /// Time at which the last bytes of the response arrived.
    time_point last_progress;

private:
    reply_hook reply;
    wire::response_head head;
    std::uint64_t first_offset = 0;
    std::string body;
    bool end_sent = false;
};

} // namespace chicory::gate

#endif
