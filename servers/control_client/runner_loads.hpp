#ifndef CHICORY_SERVERS_CONTROL_CLIENT_RUNNER_LOADS_HPP
#define CHICORY_SERVERS_CONTROL_CLIENT_RUNNER_LOADS_HPP

#include "backend/backend.hpp"
#include "drivers/drivers.hpp"
#include "wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::control
{

/// What is known of one runner's load.
struct runner_load
{
    /// Entry VM whose gate owns the runner; empty while no gate says so.
    std::string owner;
    /// The queue before the runner, as its owner knows it.
    std::optional<wire::runner_state> queue;
    /// The runner's own report, which lags behind.
    std::optional<backend::load_report> report;
};

/// Loads by the runner's id.
using runner_loads = std::map<std::string, runner_load>;

/// Reads the loads of all listed runners; pools are given by name.
using load_source = std::function<boost::asio::awaitable<runner_loads>(
    std::vector<ports::listed_vm>, std::vector<std::string>)>;

/// Returns the source that asks the gates of the listed entry VMs and the
/// runners themselves, some at a time. Whoever does not answer is left out.
/// The server must outlive the source.
load_source make_load_source(backend::backend_server& server);

} // namespace chicory::control

#endif
