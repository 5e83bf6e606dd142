#ifndef CHICORY_SERVERS_LIFECYCLE_DAEMON_LIFECYCLE_HPP
#define CHICORY_SERVERS_LIFECYCLE_DAEMON_LIFECYCLE_HPP

#include "core/core.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicory
{

/// State of a daemon between start and stop.
enum class daemon_state
{
    starting,
    serving,
    announcing,
    draining,
    stopped,
};

inline constexpr enum_table<daemon_state, 5> daemon_state_names = {{
    {daemon_state::starting, "starting"},
    {daemon_state::serving, "serving"},
    {daemon_state::announcing, "announcing"},
    {daemon_state::draining, "draining"},
    {daemon_state::stopped, "stopped"},
}};

/// Actions of a daemon at each step of its shutdown.
struct lifecycle_hooks
{
    /// Announces to other processes that the daemon accepts no new work. Must
    /// call `daemon_lifecycle::on_announced` when that is done, immediately or
    /// later.
    std::function<void()> announce;
    /// Completes the work in progress. Must call
    /// `daemon_lifecycle::on_drained` when that is done, immediately or later.
    std::function<void()> drain;
    /// Ends the process.
    std::function<void()> stop;
    /// Describes the work that an immediate stop would interrupt, such as
    /// "3 requests in progress". Returns an empty text when there is none.
    std::function<std::string()> describe_unfinished;
};

/// State machine of a daemon. The first stop signal announces the shutdown,
/// drains and stops. A second signal stops immediately and logs a warning that
/// names the interrupted work. A signal while starting also stops immediately.
class daemon_lifecycle
{
public:
    explicit daemon_lifecycle(lifecycle_hooks initial_hooks);
    ~daemon_lifecycle();
    daemon_lifecycle(const daemon_lifecycle&) = delete;
    daemon_lifecycle& operator=(const daemon_lifecycle&) = delete;

    /// Records that the daemon has started and serves.
    void on_started();
    /// Handles a stop signal.
    void on_stop_signal();
    /// Called when the shutdown has been announced.
    void on_announced();
    /// Called when no work is in progress any more.
    void on_drained();

    /// Returns the current state.
    daemon_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> implementation;
};

} // namespace chicory

#endif
