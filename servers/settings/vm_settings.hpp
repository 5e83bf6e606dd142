#ifndef CHICORY_SERVERS_SETTINGS_VM_SETTINGS_HPP
#define CHICORY_SERVERS_SETTINGS_VM_SETTINGS_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "net/net.hpp"

#include <string>

namespace chicory
{

/// Settings of one entry VM. The three daemons of the VM read the same file.
struct vm_settings
{
    std::string vm_id;
    std::string region;
    std::string zone;
    /// Endpoint of the gate for callers.
    net::endpoint gate_http;
    /// Endpoint of the gate for other gates and batch processes.
    net::endpoint gate_link;
    /// True to write the claims of idempotency keys that arrive during a
    /// transaction together in the next one; false to write each claim in a
    /// separate transaction.
    bool gate_group_claims = true;
    /// Endpoint of the batch process for callers.
    net::endpoint batch_http;
    /// Endpoint of the control process for the gate and the batch process of
    /// the VM, which subscribe there.
    net::endpoint control_link;
    /// Endpoint of the control process for datagrams of other control
    /// processes.
    net::endpoint control_gossip;
    /// Folder of the state charts.
    std::string charts;
    /// Minimum age at which the row of an idempotency key may be removed.
    duration key_lifetime = std::chrono::hours(24);
    severity log_level = severity::info;
    drivers::platform_settings platform;
};

/// Reads the settings from a TOML file. Error: invalid_input with one line for
/// each fault of the file.
result<vm_settings> read_vm_settings(const std::string& path);

} // namespace chicory

#endif
