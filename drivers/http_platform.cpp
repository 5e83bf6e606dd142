#include "drivers/http_platform.hpp"

#include "drivers/http_object_store.hpp"
#include "drivers/http_table_service.hpp"
#include "drivers/http_vm_list.hpp"
#include "drivers/json_caller.hpp"

namespace chicory::drivers
{

platform_settings read_platform_settings(settings_reader& reader)
{
    platform_settings settings;
    settings.table_service.address =
        reader.required_address("platform.table_service_address");
    settings.table_service.port =
        reader.required_port("platform.table_service_port");
    settings.object_store.address =
        reader.required_address("platform.object_store_address");
    settings.object_store.port =
        reader.required_port("platform.object_store_port");
    settings.vm_list.address =
        reader.required_address("platform.vm_list_address");
    settings.vm_list.port = reader.required_port("platform.vm_list_port");
    settings.call_limit = std::chrono::milliseconds(
        reader.optional_integer("platform.call_limit_ms", 2000, 10, 60000));
    return settings;
}

std::unique_ptr<ports::table_service>
make_table_service(net::http_client& client, const platform_settings& settings)
{
    return make_http_table_service(
        json_caller(client, settings.table_service, settings.call_limit));
}

std::unique_ptr<ports::object_store>
make_object_store(net::http_client& client, const platform_settings& settings)
{
    return make_http_object_store(
        json_caller(client, settings.object_store, settings.call_limit));
}

std::unique_ptr<ports::vm_list>
make_vm_list(net::http_client& client, const platform_settings& settings)
{
    return make_http_vm_list(
        json_caller(client, settings.vm_list, settings.call_limit));
}

} // namespace chicory::drivers
