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

/// What the requests on one gate share.
class gate_state
{
public:
    gate_state(
        boost::asio::any_io_executor executor,
        const vm_settings& settings,
        dispatching::fleet_cache& fleet,
        dispatching::dispatcher& owners,
        online::quarantine& suspects,
        metrics& numbers);

    /// Returns the retry budget of a route.
    online::retry_budget& budget_of(const configuration::route& route);

    /// Chooses a runner of a pool after probing a few owners, for whose
    /// answers it waits a moment. An empty name means that the pool has no live
    /// runner. The pool has to outlive the wait.
    boost::asio::awaitable<std::string> choose_runner(
        const configuration::pool& pool, online::runner_requirements wish);

    /// Takes the answer of a probe.
    void take_probe(const wire::probe_reply& reply);

    /// Counts a request in. Returns false at the route's limit.
    bool enter(const configuration::route& route);
    void leave(const std::string& route);

    boost::asio::any_io_executor executor;
    const vm_settings& settings;
    dispatching::fleet_cache& fleet;
    dispatching::dispatcher& owners;
    online::quarantine& suspects;
    metrics& numbers;
    identifier_source identifiers;
    online::runner_chooser chooser;

private:
    /// Probes that one choice waits for.
    struct probe_wait
    {
        explicit probe_wait(const boost::asio::any_io_executor& context);

        std::set<std::uint64_t> open;
        boost::asio::steady_timer timer;
    };

    std::vector<online::placed_vm>
    list_candidates(const configuration::pool& pool) const;
    boost::asio::awaitable<void>
    probe(const configuration::pool& pool, std::vector<std::string> runners);

    std::map<std::uint64_t, std::shared_ptr<probe_wait>> probes;
    std::map<std::string, online::retry_budget> budgets;
    std::map<std::string, std::int64_t> in_progress;
    std::uint64_t last_probe = 0;
};

} // namespace chicory::gate

#endif
