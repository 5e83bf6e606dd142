#ifndef CHICORY_SERVERS_BATCH_SLOT_OFFERS_HPP
#define CHICORY_SERVERS_BATCH_SLOT_OFFERS_HPP

#include "core/core.hpp"
#include "policy/batch/batch.hpp"
#include "servers/dispatch/dispatch.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicory::batch
{

/// Probes the owners of runners for the number of slots that batch work may
/// use, and counts the slots that this process has used since the probe.
class slot_offers
{
public:
    /// `own_vm` is the entry VM of this process.
    slot_offers(
        dispatching::fleet_cache& fleet,
        dispatching::dispatcher& owners,
        std::string own_vm);

    /// Probes a limited number of the owners of these pools' runners.
    void probe(const std::set<std::string>& pools, time_point now);

    /// Handles an owner's reply to a probe.
    void receive(
        const std::string& owner,
        const wire::probe_reply& reply,
        time_point now);

    /// Returns the slots that can be used now.
    std::vector<idle_runner> list(time_point now);

    /// Records that an item was sent to a runner.
    void on_sent(const std::string& runner);

    /// Records that an attempt ended with a response. Its slot counts as idle
    /// until the owner reports otherwise.
    void on_completed(const std::string& runner, time_point now);

    /// Records that an attempt was preempted by an online request. The owner
    /// had accepted the attempt, so the number of items sent to this runner is
    /// not reduced once the owner offers slots again.
    void on_preempted(const std::string& runner);

    /// Records that an attempt was refused or failed. A runner that its owner
    /// does not list is then avoided for a time that doubles with each
    /// refusal, up to a limit.
    void on_refused(const std::string& runner, time_point now);

    /// Returns the number of slots in use and on offer.
    std::size_t total_slots() const;

private:
    struct offer
    {
        std::string pool;
        std::size_t slots = 0;
        std::size_t running = 0;
        std::size_t sent_since_probe = 0;
        std::uint32_t refusals = 0;
        time_point avoided_until;
        time_point updated_at;
    };
    struct pending_probe
    {
        std::uint64_t id = 0;
        std::set<std::string> runners;
    };
    /// An owner and its runners in one pool.
    struct pool_owner
    {
        probe_target target;
        std::set<std::string> runners;
    };

    void update_pool_owners(const std::set<std::string>& pools, time_point now);
    void add_pool_owners(const configuration::pool& pool);
    void send_probe(const pool_owner& entry);

    dispatching::fleet_cache& fleet;
    dispatching::dispatcher& owners;
    std::string own_vm;
    slot_probes schedule;
    offer_window window;
    /// Owners of the runners of `listed_pools`, as found at `listed_at`.
    std::vector<pool_owner> pool_owners;
    std::set<std::string> listed_pools;
    std::optional<time_point> listed_at;
    std::map<std::string, offer> offers;
    /// Probes by owner and pool.
    std::map<std::pair<std::string, std::string>, pending_probe> probes;
    std::uint64_t last_probe_id = 0;
};

} // namespace chicory::batch

#endif
