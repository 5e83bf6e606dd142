#include "servers/settings/vm_settings.hpp"

#include <optional>

namespace chicory
{

namespace
{

constexpr std::int64_t default_key_lifetime_s = 86400;
/// The lower limit exceeds the longest time that a request waits for its
/// response.
constexpr std::int64_t min_key_lifetime_s = 3600;
constexpr std::int64_t max_key_lifetime_s = 2592000;

constexpr enum_table<severity, 4> level_names = {{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

severity read_level(settings_reader& reader)
{
    const std::string name = reader.optional_string("log.level", "info");
    const std::optional<severity> level = find_value(level_names, name);
    if (!level)
    {
        reader.reject("log.level", "one of debug, info, warning, error", name);
    }
    return level.value_or(severity::info);
}

} // namespace

result<vm_settings> read_vm_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(settings_reader reader, settings_reader::open(path));
    vm_settings settings;
    settings.vm_id = reader.required_string("vm.id");
    settings.region = reader.required_string("vm.region");
    settings.zone = reader.required_string("vm.zone");
    const std::string address = reader.required_address("vm.address");
    settings.gate_http = {address, reader.required_port("gate.http_port")};
    settings.gate_link = {address, reader.required_port("gate.link_port")};
    settings.gate_group_claims =
        reader.optional_bool("gate.group_claims", true);
    settings.batch_http = {address, reader.required_port("batch.http_port")};
    settings.control_link = {
        address, reader.required_port("control.link_port")};
    settings.control_gossip = {
        address, reader.required_port("control.gossip_port")};
    settings.charts = reader.optional_string("charts.folder", "charts");
    settings.key_lifetime = std::chrono::seconds(reader.optional_integer(
        "gate.key_lifetime_s",
        default_key_lifetime_s,
        min_key_lifetime_s,
        max_key_lifetime_s));
    settings.log_level = read_level(reader);
    settings.platform = drivers::read_platform_settings(reader);
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace chicory
