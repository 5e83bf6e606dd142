#ifndef CHICORY_SERVERS_GATE_GATE_STATE_HPP
#define CHICORY_SERVERS_GATE_GATE_STATE_HPP

#include "core/core.hpp"
#include "policy/online/online.hpp"
#include "servers/dispatch/dispatch.hpp"
#include "servers/settings/settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicory::gate
{

/// State that all requests on one gate share.
class gate_state
{
public:
    gate_state(
        boost::asio::any_io_executor executor,
        const vm_settings& settings,
        dispatching::fleet_cache& fleet,
        dispatching::dispatcher& owners,
        online::quarantine& suspects,
        metrics& counters);

    /// Returns the retry budget of a route, and creates it on first use.
    online::retry_budget& budget_of(const configuration::route& route);

    /// Returns the name of the runner to use in a pool, after probing the
    /// owners of a few runners and waiting at most 10 ms for their replies.
    /// Returns an empty name when the pool has no live runner. The pool must
    /// stay valid during the wait.
    boost::asio::awaitable<std::string> choose_runner(
        const configuration::pool& pool,
        online::runner_requirements requirements);

    /// Records the load of the runners in the reply to a probe.
    void handle_probe_reply(const wire::probe_reply& reply);

    /// Adds a request to those in progress on a route. Returns false, and adds
    /// none, when the route is at its limit.
    bool begin_request(const configuration::route& route);
    /// Removes a request that `begin_request` added.
    void end_request(const std::string& route);

    boost::asio::any_io_executor executor;
    const vm_settings& settings;
    dispatching::fleet_cache& fleet;
    dispatching::dispatcher& owners;
    online::quarantine& suspects;
    metrics& counters;
    identifier_source identifiers;
    online::runner_chooser chooser;

private:
    /// The probes for whose replies one call of choose_runner waits.
    struct probe_wait
    {
        explicit probe_wait(const boost::asio::any_io_executor& context);

        std::set<std::uint64_t> unanswered;
        boost::asio::steady_timer timer;
    };

    std::vector<online::placed_vm>
    list_candidates(const configuration::pool& pool) const;
    boost::asio::awaitable<void>
    probe(const configuration::pool& pool, std::vector<std::string> runners);

    std::map<std::uint64_t, std::shared_ptr<probe_wait>> probes;
    std::map<std::string, online::retry_budget> budgets;
    std::map<std::string, std::int64_t> in_progress;
    std::uint64_t last_probe_id = 0;
};

} // namespace chicory::gate

#endif
