#ifndef CHICORY_SERVERS_NODE_SLOT_CLIENT_HPP
#define CHICORY_SERVERS_NODE_SLOT_CLIENT_HPP

#include "policy/serving/serving.hpp"
#include "servers/node/fleet_knowledge.hpp"
#include "wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::node
{

/// What a slot is wanted for, with times as of the call.
struct slot_wish
{
    serving::work_kind kind = serving::work_kind::online;
    std::string service;
    time_point on_time_until;
    time_point gives_up_at;
    duration work_left = duration::zero();
    std::uint64_t request_digest = 0;
    bool repeatable = false;
    std::vector<std::string> excluded;
};

/// Answer to a wish.
struct slot_answer
{
    enum class answer_kind
    {
        granted,
        refused,
        /// The caller withdrew the wish.
        withdrawn,
        /// The request has crashed runners and must not run.
        quarantined,
    };
    answer_kind kind = answer_kind::withdrawn;
    serving::slot_id id;
    std::string runner;
    duration retry_after = duration::zero();
    /// Node that decided; empty when no coordinator did.
    std::string coordinator;
    /// True when the runner was chosen without a coordinator.
    bool direct = false;
};

/// Lets the owner of a wish withdraw it while it waits.
class slot_wait
{
public:
    void withdraw();

private:
    friend class slot_client;
    bool withdrawn = false;
    std::function<void()> wake;
};

/// Gets slots from the coordinator of a service. Where no coordinator
/// answers, an online request goes to the runner that this node itself has
/// the fewest requests at.
class slot_client
{
public:
    struct hooks
    {
        /// Sends a packet to a node, this one included.
        std::function<void(const std::string&, const wire::slot_packet&)> send;
        /// Returns the nodes that may coordinate.
        std::function<std::vector<serving::live_node>()> live_nodes;
    };

    slot_client(
        boost::asio::io_context& io,
        fleet_knowledge& known,
        std::string vm_id,
        std::string zone,
        std::uint64_t started,
        hooks wanted);

    void start();

    /// Waits for a slot. `wait` must outlive the call.
    boost::asio::awaitable<slot_answer>
    acquire(slot_wish wish, slot_wait& wait);

    /// Gives a slot back. The digest is that of the wish.
    void release(
        const serving::slot_id& id,
        serving::slot_outcome outcome,
        std::uint64_t request_digest = 0);

    /// Tells the coordinator of a service at once what this node knows:
    /// slots, requests and runners that are leaving.
    void report_now(const std::string& service);

    /// Takes that the runner of this slot sent bytes.
    void note_progress(const serving::slot_id& id);

    /// Calls the hook once when the run in this slot must leave its runner.
    void set_yield(const serving::slot_id& id, std::function<void()> hook);

    /// Takes verdicts of a coordinator.
    void
    on_verdicts(const std::string& sender, const wire::slot_verdicts& packet);

    /// Number of slots that this node uses.
    std::size_t in_use() const;

private:
    struct pending_wish
    {
        serving::slot_request request;
        slot_wish wish;
        std::string coordinator;
        time_point last_sent;
        bool answered = false;
        slot_answer answer;
        boost::asio::steady_timer* timer = nullptr;
    };
    struct used_slot
    {
        serving::work_kind kind = serving::work_kind::online;
        std::string service;
        std::string runner;
        time_point since;
        time_point last_progress;
        std::function<void()> yield;
        bool must_yield = false;
    };

    /// The nodes that may coordinate a service, as of a moment ago.
    struct known_order
    {
        std::vector<std::string> nodes;
        time_point read_at;
    };

    void tick();
    const std::vector<std::string>&
    coordinators(time_point now, const std::string& service);
    std::optional<std::string>
    find_coordinator(time_point now, const std::string& service);
    void ask(time_point now, pending_wish& pending);
    void settle(pending_wish& pending, slot_answer answer);
    void choose_directly(time_point now, pending_wish& pending);
    void send_release(const wire::slot_release& packet);
    void report(time_point now, const std::string& service);
    void take(const std::string& service, const serving::slot_verdict& verdict);

    boost::asio::io_context& context;
    boost::asio::steady_timer ticker;
    fleet_knowledge& knowledge;
    std::string self;
    std::string own_zone;
    std::uint64_t incarnation = 0;
    hooks io_hooks;
    serving::coordinator_contact contact;
    std::map<std::string, known_order> orders;
    /// By service, the latest runs that crashed a runner; a new coordinator
    /// hears of them.
    std::map<std::string, std::deque<serving::crashed_run>> crashed;
    std::map<std::uint64_t, std::shared_ptr<pending_wish>> wishes;
    std::map<std::uint64_t, used_slot> used;
    /// Services whose last report named slots or wishes.
    std::set<std::string> reported;
    std::uint64_t next_number = 1;
    time_point next_report;
};

} // namespace chicory::node

#endif
