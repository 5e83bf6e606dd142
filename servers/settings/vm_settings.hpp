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
    /// Where callers connect to the gate.
    net::endpoint gate_http;
    /// Where other gates and batch processes connect to the gate.
    net::endpoint gate_link;
    /// True to write the claims of idempotency keys that gather during a
    /// transaction in one; false to write each in a transaction of its own.
    bool gate_group_claims = true;
    /// Where callers connect to the batch process.
    net::endpoint batch_http;
    /// Where the gate and the batch process of the VM subscribe.
    net::endpoint control_link;
    /// Where other control processes send datagrams.
    net::endpoint control_gossip;
    /// Folder of the state charts.
    std::string charts;
    /// Age from which the row of an idempotency key may be removed.
    duration key_lifetime = std::chrono::hours(24);
    severity log_level = severity::info;
    drivers::platform_settings platform;
};

/// Reads the settings from a TOML file. Error: invalid_input with one line for
/// each fault.
result<vm_settings> read_vm_settings(const std::string& path);

} // namespace chicory

#endif
