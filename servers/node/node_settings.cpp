#include "servers/node/node_settings.hpp"

#include <array>
#include <utility>

namespace chicory::node
{

namespace
{

/// Number of ports that a node uses from its internal port range.
constexpr std::int64_t internal_port_count = 3;
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_seconds = 86400;
constexpr std::int64_t max_record_bytes = 1 << 20;
constexpr std::int64_t default_record_bytes = 65536;
constexpr std::int64_t default_revocation_ms = 5000;
/// Below it, the part of the memory for bodies holds only a few bodies of 4 MB.
constexpr std::int64_t min_memory_mb = 64;
constexpr std::int64_t max_memory_mb = 1 << 20;

constexpr enum_table<severity, 4> level_names = {{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

net::endpoint read_endpoint(settings_reader& reader, std::string_view key)
{
    const std::string text = reader.required_string(key);
    if (const std::optional<net::endpoint> found = net::split_endpoint(text))
    {
        return *found;
    }
    reader.reject(key, "ADDRESS:PORT", "\"" + text + "\"");
    return {};
}

duration
read_seconds(settings_reader& reader, std::string_view key, double fallback)
{
    const double seconds = reader.optional_number(
        key, fallback, 1.0, static_cast<double>(max_seconds));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// A limit below the size of one read would reject valid responses.
constexpr std::int64_t min_response_limit = 16384;
constexpr std::int64_t max_response_limit = std::int64_t(256) << 20U;

/// The window is divided into ticks of 50 ms, so that a history has at most
/// 1,200 counts.
constexpr double min_quota_window_s = 1.0;
constexpr double max_quota_window_s = 60.0;
constexpr double max_quota_overshoot = 10.0;
constexpr double max_quota_tolerance = 100000.0;

response_size_limits read_response_limits(settings_reader& reader)
{
    response_size_limits bounds;
    const std::array<std::pair<std::string_view, std::size_t*>, 9> entries = {{
        {"limits.head_bytes", &bounds.head_bytes},
        {"limits.answer_bytes", &bounds.body_bytes},
        {"limits.event_bytes", &bounds.event_bytes},
        {"limits.stream_bytes", &bounds.stream_bytes},
        {"limits.item_text_bytes", &bounds.item_text_bytes},
        {"limits.skipped_bytes", &bounds.discarded_bytes},
        {"limits.records_bytes", &bounds.records_bytes},
        {"limits.object_bytes", &bounds.object_bytes},
        {"limits.knowledge_bytes", &bounds.fleet_state_bytes},
    }};
    for (const auto& [key, bound] : entries)
    {
        *bound = static_cast<std::size_t>(reader.optional_integer(
            key,
            static_cast<std::int64_t>(*bound),
            min_response_limit,
            max_response_limit));
    }
    return bounds;
}

serving::organisation_quota_settings read_quotas(settings_reader& reader)
{
    serving::organisation_quota_settings quotas;
    const double seconds = reader.optional_number(
        "quotas.window_s",
        std::chrono::duration<double>(quotas.window).count(),
        min_quota_window_s,
        max_quota_window_s);
    quotas.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    quotas.overshoot = reader.optional_number(
        "quotas.overshoot", quotas.overshoot, 0.0, max_quota_overshoot);
    quotas.tolerance = reader.optional_number(
        "quotas.tolerance", quotas.tolerance, 0.0, max_quota_tolerance);
    return quotas;
}

severity read_level(settings_reader& reader)
{
    const std::string name = reader.optional_string("log.level", "info");
    const std::optional<severity> level = find_value(level_names, name);
    if (!level)
    {
        reader.reject(
            "log.level", "debug, info, warning or error", "\"" + name + "\"");
    }
    return level.value_or(severity::info);
}

} // namespace

result<node_settings> read_node_settings(const std::string& path)
{
    result<settings_reader> opened = settings_reader::open(path);
    if (!opened)
    {
        return opened.error();
    }
    settings_reader& reader = opened.value();
    node_settings settings;
    settings.vm_id = reader.required_string("vm.id");
    settings.region = reader.required_string("vm.region");
    settings.zone = reader.required_string("vm.zone");
    settings.address = reader.required_address("vm.address");
    settings.requests = read_endpoint(reader, "listen.requests");
    settings.readiness = read_endpoint(reader, "listen.readiness");
    settings.entry_addresses = read_endpoint(reader, "listen.entry_addresses");
    const std::int64_t first = reader.required_integer(
        "listen.first_internal_port", 1, max_port - internal_port_count);
    settings.gossip_port = static_cast<std::uint16_t>(first);
    settings.slot_port = static_cast<std::uint16_t>(first + 1);
    settings.peer_port = static_cast<std::uint16_t>(first + 2);
    settings.metrics_port = static_cast<std::uint16_t>(
        reader.optional_integer("listen.metrics_port", 0, 0, max_port));
    settings.store = read_endpoint(reader, "store.address");
    settings.record_bytes = reader.optional_integer(
        "store.record_bytes", default_record_bytes, 1, max_record_bytes);
    settings.seeds = reader.optional_strings("vm.seeds");
    settings.entry_time_to_live =
        read_seconds(reader, "times.entry_time_to_live_s", 2);
    settings.stop_grace = read_seconds(reader, "times.stop_grace_s", 8);
    settings.cancel_limit = std::chrono::milliseconds(
        reader.optional_integer("times.cancel_limit_ms", 3000, 1, max_seconds));
    settings.result_lifetime =
        read_seconds(reader, "times.result_lifetime_s", 120);
    settings.bounds = read_response_limits(reader);
    settings.key_freshness.fail_closed =
        reader.optional_bool("access.fail_closed", false);
    settings.key_freshness.revocation_limit =
        std::chrono::milliseconds(reader.optional_integer(
            "access.revocation_limit_ms",
            default_revocation_ms,
            1,
            max_seconds * 1000));
    settings.quotas = read_quotas(reader);
    settings.memory_mb = reader.optional_integer(
        "limits.memory_mb", settings.memory_mb, min_memory_mb, max_memory_mb);
    settings.log_level = read_level(reader);
    if (const result<void> checked = reader.finish(); !checked)
    {
        return checked.error();
    }
    return settings;
}

} // namespace chicory::node
