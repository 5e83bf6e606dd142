#ifndef CHICORY_SERVERS_LIFECYCLE_DAEMON_LIFECYCLE_HPP
#define CHICORY_SERVERS_LIFECYCLE_DAEMON_LIFECYCLE_HPP

#include "core/core.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicory
{

/// Where a daemon is in its life.
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

/// What a daemon does at each step of its end.
struct lifecycle_hooks
{
    /// Tells others that no new work may come. Ends with a call of
    /// `daemon_lifecycle::on_announced`, at once or later.
    std::function<void()> announce;
    /// Finishes what is in progress. Ends with a call of
    /// `daemon_lifecycle::on_drained`, at once or later.
    std::function<void()> drain;
    /// Ends the process.
    std::function<void()> stop;
    /// Names what a stop now cuts off, such as "3 requests in progress";
    /// empty when it cuts nothing.
    std::function<std::string()> describe_unfinished;
};

/// Life of a daemon as a state machine. The first stop signal announces,
/// drains and stops; a second one stops at once, with a warning that names
/// what is cut off. A signal while starting stops at once.
class daemon_lifecycle
{
public:
    explicit daemon_lifecycle(lifecycle_hooks wanted);
    ~daemon_lifecycle();
    daemon_lifecycle(const daemon_lifecycle&) = delete;
    daemon_lifecycle& operator=(const daemon_lifecycle&) = delete;

    void on_started();
    void on_stop_signal();
    void on_announced();
    void on_drained();

    daemon_state state() const;

private:
    struct machine;
    std::unique_ptr<machine> inner;
};

} // namespace chicory

#endif
