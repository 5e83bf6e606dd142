#include "policy/configuration/validation.hpp"

#include "policy/configuration/row_codec.hpp"
#include "policy/configuration/row_keys.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace chicory::configuration
{

namespace
{

constexpr std::size_t max_name_length = 64;
constexpr std::size_t digest_length = 64;
constexpr std::int64_t max_requests = 1'000'000;
constexpr std::int64_t max_slots = 4'096;
constexpr std::int64_t max_runners = 100'000;
constexpr std::size_t max_adapters = 256;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::string_view name_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
constexpr std::string_view hex_digits = "0123456789abcdef";

bool consists_of(std::string_view text, std::string_view characters)
{
    return text.find_first_not_of(characters) == std::string_view::npos;
}

result<void>
check_name(std::string_view key, std::string_view field, std::string_view name)
{
    const bool well_formed = !name.empty() && name.size() <= max_name_length &&
                             consists_of(name, name_characters);
    if (well_formed)
    {
        return boost::outcome_v2::success();
    }
    return make_field_error(
        key,
        field,
        "1 to 64 letters, digits, '.', '_' or '-'",
        "\"" + std::string(name) + "\"");
}

result<void> check_range(
    std::string_view key,
    std::string_view field,
    std::int64_t value,
    std::int64_t minimum,
    std::int64_t maximum)
{
    if (value >= minimum && value <= maximum)
    {
        return boost::outcome_v2::success();
    }
    return make_field_error(
        key,
        field,
        "a number from " + std::to_string(minimum) + " to " +
            std::to_string(maximum),
        std::to_string(value));
}

result<void> check_digests(std::string_view key, const route& value)
{
    for (const std::string& digest : value.key_digests)
    {
        if (digest.size() != digest_length || !consists_of(digest, hex_digits))
        {
            return make_field_error(
                key,
                "key_digests",
                "SHA-256 digests of 64 lower-case hexadecimal digits",
                "\"" + digest + "\"");
        }
    }
    return boost::outcome_v2::success();
}

result<void> check_model_is_wanted(
    std::string_view key,
    std::string_view field,
    const pool& value,
    const std::string& model)
{
    if (value.wanted_models.contains(model))
    {
        return boost::outcome_v2::success();
    }
    return make_field_error(
        key, field, "a model of wanted_models", "\"" + model + "\"");
}

result<void> check_versions(std::string_view key, const pool& value)
{
    constexpr std::string_view field = "wanted_versions";
    for (const auto& [model, version] : value.wanted_versions)
    {
        BOOST_OUTCOME_TRY(check_model_is_wanted(key, field, value, model));
        BOOST_OUTCOME_TRY(check_name(key, field, version));
    }
    return boost::outcome_v2::success();
}

result<void> check_adapters(std::string_view key, const pool& value)
{
    constexpr std::string_view field = "wanted_adapters";
    for (const auto& [model, adapters] : value.wanted_adapters)
    {
        BOOST_OUTCOME_TRY(check_model_is_wanted(key, field, value, model));
        if (adapters.size() > max_adapters)
        {
            return make_field_error(
                key,
                field,
                "at most " + std::to_string(max_adapters) +
                    " adapters of a model",
                std::to_string(adapters.size()) + " of \"" + model + "\"");
        }
        for (const std::string& adapter : adapters)
        {
            BOOST_OUTCOME_TRY(check_name(key, field, adapter));
        }
    }
    return boost::outcome_v2::success();
}

/// Checks that the requested roles can serve requests. A request needs a mixed
/// runner, or a prefill and a decode runner together.
result<void> check_roles(std::string_view key, const pool& value)
{
    constexpr std::string_view field = "wanted_roles";
    std::map<runner_role, std::int64_t> counts = value.wanted_roles;
    for (const auto& [role, runners] : counts)
    {
        BOOST_OUTCOME_TRY(check_range(key, field, runners, 0, max_runners));
    }
    const std::int64_t prefill = counts[runner_role::prefill];
    const std::int64_t decode = counts[runner_role::decode];
    const bool complete =
        counts[runner_role::mixed] > 0 || (prefill > 0) == (decode > 0);
    if (complete)
    {
        return boost::outcome_v2::success();
    }
    return make_field_error(
        key,
        field,
        "prefill and decode runners together, or mixed ones",
        std::to_string(prefill) + " prefill and " + std::to_string(decode) +
            " decode runners");
}

} // namespace

result<void> validate_route(const route& value, const table_set& tables)
{
    const std::string key = route_key(value.name);
    BOOST_OUTCOME_TRY(check_name(key, "name", value.name));
    BOOST_OUTCOME_TRY(check_name(key, "member", value.member));
    BOOST_OUTCOME_TRY(check_name(key, "pool", value.pool));
    if (!tables.pools.contains(value.pool))
    {
        return make_field_error(
            key,
            "pool",
            "the name of a pool in the configuration",
            "\"" + value.pool + "\"");
    }
    BOOST_OUTCOME_TRY(check_digests(key, value));
    BOOST_OUTCOME_TRY(check_range(
        key, "max_in_progress", value.max_in_progress, 1, max_requests));
    BOOST_OUTCOME_TRY(check_range(
        key,
        "default_deadline_ms",
        value.default_deadline_ms,
        1,
        max_deadline_ms));
    return check_range(
        key, "retry_budget_percent", value.retry_budget_percent, 0, 100);
}

result<void> validate_pool(const pool& value)
{
    const std::string key = pool_key(value.name);
    BOOST_OUTCOME_TRY(check_name(key, "name", value.name));
    BOOST_OUTCOME_TRY(check_name(key, "service", value.service));
    BOOST_OUTCOME_TRY(check_range(
        key, "slots_per_runner", value.slots_per_runner, 1, max_slots));
    BOOST_OUTCOME_TRY(
        check_range(key, "harm_weight", value.harm_weight, 0, 100));
    for (const auto& [model, runners] : value.wanted_models)
    {
        BOOST_OUTCOME_TRY(check_name(key, "wanted_models", model));
        BOOST_OUTCOME_TRY(
            check_range(key, "wanted_models", runners, 0, max_runners));
    }
    BOOST_OUTCOME_TRY(check_versions(key, value));
    BOOST_OUTCOME_TRY(check_adapters(key, value));
    return check_roles(key, value);
}

result<void>
validate_pool_deletion(std::string_view name, const table_set& tables)
{
    const auto dependent = std::find_if(
        tables.routes.begin(),
        tables.routes.end(),
        [&](const auto& entry)
        {
            return entry.second.pool == name;
        });
    if (dependent == tables.routes.end())
    {
        return boost::outcome_v2::success();
    }
    error failure = make_field_error(
        pool_key(name),
        "name",
        "a pool that no route names",
        "route \"" + dependent->first + "\", which names it");
    failure.kind = error_kind::conflict;
    return failure;
}

result<void> validate(const table_set& tables)
{
    for (const auto& [name, value] : tables.pools)
    {
        BOOST_OUTCOME_TRY(validate_pool(value));
    }
    for (const auto& [name, value] : tables.routes)
    {
        BOOST_OUTCOME_TRY(validate_route(value, tables));
    }
    return boost::outcome_v2::success();
}

} // namespace chicory::configuration
