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

/// Known load of one runner.
struct runner_load
{
    /// Id of the entry VM whose gate owns the runner; empty when no gate
    /// reported to own it.
    std::string owner;
    /// Queue of the runner as reported by its owner.
    std::optional<wire::runner_state> queue;
    /// Report of the runner itself, which lags behind the owner's.
    std::optional<backend::load_report> report;
};

/// Loads by id of the runner.
using runner_loads = std::map<std::string, runner_load>;

/// Reads the loads of all listed runners. The second argument holds the names
/// of the pools.
using load_source = std::function<boost::asio::awaitable<runner_loads>(
    std::vector<ports::listed_vm>, std::vector<std::string>)>;

/// Returns a source that queries the gates of the listed entry VMs and the
/// runners themselves with limited concurrency. Gates and runners that do not
/// respond are omitted. The server must outlive the source.
load_source make_load_source(backend::backend_server& server);

} // namespace chicory::control

#endif
