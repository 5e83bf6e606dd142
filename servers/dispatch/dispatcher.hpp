#ifndef CHICORY_SERVERS_DISPATCH_DISPATCHER_HPP
#define CHICORY_SERVERS_DISPATCH_DISPATCHER_HPP

#include "policy/online/online.hpp"
#include "servers/dispatch/fleet_cache.hpp"
#include "servers/dispatch/message_queue.hpp"
#include "wire/wire.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicory::dispatching
{

/// One attempt of a request at an owner. Its response arrives in `responses`.
struct attempt
{
    explicit attempt(boost::asio::any_io_executor executor)
        : responses(executor)
    {
    }

    std::string request_id;
    std::uint32_t number = 0;
    std::string owner;
    message_queue responses;
};

/// Sends attempts to the gates that own runners and returns their responses.
/// When a link breaks, its attempts fail as unknown with reason "link_lost";
/// when a link was never established, they fail as not sent.
class dispatcher
{
public:
    /// Receives messages for the gate in the same process.
    using local_hook = std::function<void(wire::message)>;
    /// Receives messages that belong to no attempt, such as responses to
    /// probes.
    using unmatched_hook =
        std::function<void(const std::string& owner, const wire::message&)>;

    dispatcher(
        boost::asio::any_io_executor executor,
        fleet_cache& fleet,
        std::string own_vm);

    /// Sets the hook for messages to the own VM. Without a hook they are sent
    /// through a link like all others.
    void set_local_hook(local_hook hook);

    void set_unmatched_hook(unmatched_hook hook);

    /// Sends an attempt to the owner of its runner. If there is no owner, the
    /// first response is a failure with outcome `not_sent`.
    std::shared_ptr<attempt> start(wire::dispatch request);

    /// Requests the rest of an attempt's response, from an offset on, from the
    /// gate of an entry VM. From now on only frames from that VM are accepted.
    void resume(
        attempt& interrupted,
        const std::string& vm_id,
        wire::resume_response resume_request);

    /// Sends a cancellation of the attempt to its owner, and removes the
    /// attempt.
    void cancel(const attempt& started);

    /// Removes an attempt whose response is complete.
    void forget(const attempt& finished);

    /// Sends a message to the gate of an entry VM.
    void send(const std::string& vm_id, const wire::message& value);

    /// Handles a message that was received from an owner.
    void receive(const std::string& owner, const wire::message& value);

private:
    /// The links to one gate.
    struct peer
    {
        explicit peer(time_point now) : health(now), last_used(now)
        {
        }

        std::shared_ptr<wire::link> link;
        /// Carries new work while `link` is suspect.
        std::shared_ptr<wire::link> fresh;
        online::link_health health;
        time_point last_used;
    };

    using attempt_key = std::pair<std::string, std::uint32_t>;

    void
    fail_attempts_of(const std::string& owner, wire::attempt_outcome outcome);
    std::shared_ptr<wire::link> find_link(const std::string& vm_id);
    std::shared_ptr<wire::link> connect(const membership::vm& vm);
    void schedule_link_check();
    void check_link(const std::string& vm_id);
    bool is_idle(const std::string& vm_id, time_point now) const;

    boost::asio::any_io_executor executor;
    fleet_cache& fleet;
    std::string own_vm;
    local_hook on_local;
    unmatched_hook on_unmatched;
    std::map<std::string, peer> peers;
    boost::asio::steady_timer check_timer;
    bool is_check_scheduled = false;
    std::map<attempt_key, std::shared_ptr<attempt>> attempts;
};

} // namespace chicory::dispatching

#endif
