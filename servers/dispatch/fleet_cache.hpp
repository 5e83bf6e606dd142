#ifndef CHICORY_SERVERS_DISPATCH_FLEET_CACHE_HPP
#define CHICORY_SERVERS_DISPATCH_FLEET_CACHE_HPP

#include "core/core.hpp"
#include "policy/configuration/configuration.hpp"
#include "policy/membership/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::dispatching
{

/// Caches the last fleet view and configuration that the control process sent.
/// A configuration is replaced only by one with a higher revision.
class fleet_cache
{
public:
    void update_view(membership::fleet_view view);
    void update_tables(configuration::table_set tables);

    /// Records a notice that a VM is leaving, which may arrive long before the
    /// fleet view shows it. The mark is valid for a minute, which every further
    /// notice renews, or until the VM shows a higher incarnation. The mark of
    /// an entry VM also ends when the view shows it alive after having shown it
    /// leaving, because its gate was restarted in place. Returns false when the
    /// VM was already marked.
    bool mark_leaving(const std::string& vm_id, std::uint64_t incarnation);

    const membership::fleet_view& get_view() const;
    const configuration::table_set& get_tables() const;

    /// True when a configuration is known.
    bool is_configured() const;

    /// Returns the route with a name, or null.
    const configuration::route* find_route(std::string_view name) const;

    /// Returns the pool with a name, or null.
    const configuration::pool* find_pool(std::string_view name) const;

    /// Returns the VM with an identifier, or null.
    const membership::vm* find_vm(std::string_view id) const;

    /// Returns the live runners of a pool.
    std::vector<const membership::vm*>
    list_runners(const configuration::pool& pool) const;

    /// Returns the entry VMs that are alive.
    std::vector<const membership::vm*> list_entry_vms() const;

    /// Sets the hook that is called after each change.
    void set_change_hook(std::function<void()> hook);

private:
    struct leaving_mark
    {
        std::uint64_t incarnation = 0;
        time_point until;
        /// True once the fleet view has shown the VM leaving.
        bool confirmed = false;
    };

    void apply_leaving();
    void remove_marks_of_returned_vms();

    membership::fleet_view view;
    std::map<std::string, leaving_mark> leaving;
    configuration::table_set tables;
    std::function<void()> on_change;
};

} // namespace chicory::dispatching

#endif
