#include "servers/stored_configuration/stored_configuration.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

constexpr std::int64_t rows_per_scan = 500;

/// Decodes a route or a pool and adds it to the tables.
result<void> add_row(configuration::table_set& tables, const ports::row& found)
{
    const std::string_view key = found.key;
    if (key.starts_with(configuration::route_prefix))
    {
        const std::string_view name =
            key.substr(configuration::route_prefix.size());
        BOOST_OUTCOME_TRY(
            configuration::route value,
            configuration::decode_route(name, found.value, found.version));
        tables.routes.emplace(name, std::move(value));
        return boost::outcome_v2::success();
    }
    const std::string_view name = key.substr(configuration::pool_prefix.size());
    BOOST_OUTCOME_TRY(
        configuration::pool value,
        configuration::decode_pool(name, found.value, found.version));
    tables.pools.emplace(name, std::move(value));
    return boost::outcome_v2::success();
}

/// Reads all rows whose keys begin with a prefix and adds them to the tables.
asio::awaitable<result<void>> add_rows(
    ports::table_service& table,
    std::string prefix,
    configuration::table_set& tables)
{
    std::string after;
    bool complete = false;
    while (!complete)
    {
        BOOST_OUTCOME_CO_TRY(
            const std::vector<ports::row> rows,
            co_await table.scan(prefix, after, rows_per_scan));
        for (const ports::row& found : rows)
        {
            BOOST_OUTCOME_CO_TRY(add_row(tables, found));
            after = found.key;
        }
        complete = rows.size() < static_cast<std::size_t>(rows_per_scan);
    }
    co_return boost::outcome_v2::success();
}

} // namespace

asio::awaitable<result<configuration::revision_row>>
read_revision(ports::table_service& table)
{
    std::string key(configuration::revision_key);
    BOOST_OUTCOME_CO_TRY(
        const std::optional<ports::row> found,
        co_await table.read(std::move(key)));
    if (!found)
    {
        co_return configuration::revision_row();
    }
    co_return configuration::decode_revision(found->value, found->version);
}

asio::awaitable<result<stored_configuration>>
read_configuration(ports::table_service& table)
{
    BOOST_OUTCOME_CO_TRY(
        const configuration::revision_row before,
        co_await read_revision(table));
    stored_configuration stored;
    std::string pools(configuration::pool_prefix);
    BOOST_OUTCOME_CO_TRY(
        co_await add_rows(table, std::move(pools), stored.tables));
    std::string routes(configuration::route_prefix);
    BOOST_OUTCOME_CO_TRY(
        co_await add_rows(table, std::move(routes), stored.tables));
    BOOST_OUTCOME_CO_TRY(stored.revision, co_await read_revision(table));
    if (stored.revision != before)
    {
        co_return make_error(
            error_kind::conflict,
            "configuration rows: expected the same revision before and after "
            "reading them, found revision " +
                std::to_string(before.revision) + " before and " +
                std::to_string(stored.revision.revision) + " after");
    }
    stored.tables.revision = stored.revision.revision;
    co_return stored;
}

} // namespace chicory::control
