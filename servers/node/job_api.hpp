#ifndef CHICORY_SERVERS_NODE_JOB_API_HPP
#define CHICORY_SERVERS_NODE_JOB_API_HPP

#include "net/net.hpp"
#include "platform/platform.hpp"
#include "servers/node/fleet_state.hpp"
#include "servers/node/job_runner.hpp"
#include "servers/node/job_store.hpp"
#include "servers/node/stop_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicory::node
{

/// Handles callers' HTTP requests about batch jobs.
class job_api
{
public:
    job_api(
        job_store& initial_store,
        job_runner& initial_runner,
        const fleet_state& initial_fleet,
        metrics& counters,
        const stop_state& initial_stop,
        std::string vm_id,
        std::function<std::uint64_t()> incarnation);

    /// Handles the submission of a job on a route.
    boost::asio::awaitable<void> submit(
        net::http_exchange& exchange,
        const serving::serving_route& route,
        std::string body);

    /// Handles a call about an existing job.
    boost::asio::awaitable<void>
    handle_call(net::http_exchange& exchange, platform::job_call call);

private:
    boost::asio::awaitable<void> read_results(
        net::http_exchange& exchange,
        const platform::job_call& call,
        const serving::access_decision& caller);
    boost::asio::awaitable<void> read_item(
        net::http_exchange& exchange,
        const platform::job_call& call,
        const serving::access_decision& caller);
    boost::asio::awaitable<void> cancel(
        net::http_exchange& exchange,
        const platform::job_call& call,
        const serving::access_decision& caller);
    /// Checks the caller's key for a request on a route.
    serving::access_decision
    check_access(const net::http_exchange& exchange, bool is_public) const;
    bool may_access(
        const serving::job_record& job,
        const serving::access_decision& caller) const;
    /// Returns a job if the caller may learn of it. Errors: not_found if the
    /// job does not exist or the caller may not learn of it, with the same
    /// text; unavailable, timeout.
    boost::asio::awaitable<result<serving::job_record>>
    find_for(std::string job, serving::access_decision caller);
    boost::asio::awaitable<void>
    respond_with_error(net::http_exchange& exchange, const error& failure);
    /// Returns a job's items in order. Errors: unavailable, not_found.
    boost::asio::awaitable<result<std::vector<platform::job_item>>>
    find_items(std::string job);
    /// Returns the ids of a job's items in order.
    boost::asio::awaitable<result<std::vector<std::string>>>
    find_item_ids(const serving::job_record& job);
    boost::asio::awaitable<void> respond_results(
        net::http_exchange& exchange,
        const serving::job_record& job,
        std::int64_t after);

    job_store& store;
    job_runner& runner;
    const fleet_state& fleet;
    /// Ids of the items of jobs, by organisation and id of the job.
    std::map<std::pair<std::string, std::string>, std::vector<std::string>>
        item_ids;
    metrics& counters;
    const stop_state& stop;
    std::string self;
    std::function<std::uint64_t()> own_incarnation;
};

} // namespace chicory::node

#endif
