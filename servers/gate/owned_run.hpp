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

/// Takes the messages that answer an attempt.
using reply_hook = std::function<void(wire::message)>;

/// One attempt at the gate that owns its runner, or that fetches its answer
/// for a resume. Keeps the answer so that it can be sent again.
class owned_run
{
public:
    owned_run(wire::dispatch request, net::endpoint server, reply_hook reply);

    /// Returns the name of an attempt, also on the backend server.
    static std::string
    make_id(const std::string& request_id, std::uint32_t attempt);

    /// Makes this a run whose answer is fetched from an offset on.
    void start_at(std::uint64_t offset);

    /// Passes the head of the answer on.
    void begin(std::int32_t status, std::string content_type);

    /// Passes the next bytes of the answer on.
    void append(std::string bytes);

    /// Passes the end of the answer on.
    void end();

    /// Passes on that there is no whole answer.
    void
    fail(wire::attempt_outcome outcome, reason why, duration retry_after = {});

    /// Sends the answer again from an offset, to a new link.
    void resume(std::uint64_t offset, reply_hook new_reply);

    /// Returns the offset of the next byte of the answer.
    std::uint64_t offset() const;

    wire::dispatch request;
    net::endpoint server;
    std::string id;
    std::unique_ptr<net::http_stream> stream;
    /// Set when the run was ordered to stop, with the reason.
    bool cancelled = false;
    reason cancel_reason = reason::caller_gone;
    /// True once the runner was given up with this run on board.
    bool lost = false;
    bool begun = false;
    /// When the last bytes of the answer came.
    time_point last_progress;

private:
    reply_hook reply;
    wire::response_head head;
    std::uint64_t first_offset = 0;
    std::string answer;
    bool ended = false;
};

} // namespace chicory::gate

#endif
