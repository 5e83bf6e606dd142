#ifndef CHICORY_DRIVERS_HTTP_PLATFORM_HPP
#define CHICORY_DRIVERS_HTTP_PLATFORM_HPP

#include "core/core.hpp"
#include "net/net.hpp"
#include "ports/object_store.hpp"
#include "ports/table_service.hpp"
#include "ports/vm_list.hpp"

#include <memory>

namespace chicory::drivers
{

/// Addresses of the platform's services, and the time that a call may take.
struct platform_settings
{
    net::endpoint table_service;
    net::endpoint object_store;
    net::endpoint vm_list;
    duration call_limit = std::chrono::seconds(2);
};

/// Reads the keys of the settings table [platform].
platform_settings read_platform_settings(settings_reader& reader);

/// Returns a client of the table service. The client must outlive it.
std::unique_ptr<ports::table_service>
make_table_service(net::http_client& client, const platform_settings& settings);

/// Returns a client of the object store. The client must outlive it.
std::unique_ptr<ports::object_store>
make_object_store(net::http_client& client, const platform_settings& settings);

/// Returns a client of the VM list. The client must outlive it.
std::unique_ptr<ports::vm_list>
make_vm_list(net::http_client& client, const platform_settings& settings);

} // namespace chicory::drivers

#endif
