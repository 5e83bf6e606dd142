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

/// One attempt of a request at an owner; its answer arrives in `responses`.
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

/// Sends attempts to the gates that own runners and brings their answers back.
/// A link that breaks fails its attempts as unknown with reason "link_lost",
/// one that was never made as not sent.
class dispatcher
{
public:
    /// Takes messages for the gate in the same process.
    using local_hook = std::function<void(wire::message)>;
    /// Sees messages that answer no attempt, such as probe replies.
    using unmatched_hook =
        std::function<void(const std::string& owner, const wire::message&)>;

    dispatcher(
        boost::asio::any_io_executor executor,
        fleet_cache& fleet,
        std::string own_vm);

    /// Sets where messages to the own VM go. Without a hook they go through a
    /// link as all others do.
    void set_local_hook(local_hook hook);

    void set_unmatched_hook(unmatched_hook hook);

    /// Sends an attempt to the owner of its runner. The first answer is a
    /// failure `not_sent` when there is no owner.
    std::shared_ptr<attempt> start(wire::dispatch request);

    /// Asks the gate of an entry VM for an attempt's answer from an offset on.
    /// Frames count from now on if they come from there.
    void resume(
        attempt& broken, const std::string& vm_id, wire::resume_response from);

    /// Tells the owner that nobody waits for the attempt any more, and
    /// forgets it.
    void cancel(const attempt& started);

    /// Forgets an attempt whose answer is complete.
    void forget(const attempt& finished);

    /// Sends a message to the gate of an entry VM.
    void send(const std::string& vm_id, const wire::message& value);

    /// Takes a message that came from an owner.
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
    void check_links_later();
    void check_link(const std::string& vm_id);
    bool is_idle(const std::string& vm_id, time_point now) const;

    boost::asio::any_io_executor executor;
    fleet_cache& fleet;
    std::string own_vm;
    local_hook to_local;
    unmatched_hook on_unmatched;
    std::map<std::string, peer> peers;
    boost::asio::steady_timer check_timer;
    bool checking = false;
    std::map<attempt_key, std::shared_ptr<attempt>> attempts;
};

} // namespace chicory::dispatching

#endif
