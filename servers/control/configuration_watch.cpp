#include "servers/control/configuration_watch.hpp"

#include "servers/stored_configuration/stored_configuration.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace chicory::control
{

namespace asio = boost::asio;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Maximum number of history entries per read.
constexpr std::int64_t changes_per_read = 64;

/// Interval between checks whether a peer has a higher revision.
constexpr std::chrono::milliseconds follow_interval(100);

/// After this many failed attempts to fetch from peers, the table service is
/// read instead.
constexpr int max_peer_attempts = 3;

/// Delay between two attempts of a cold start.
constexpr std::chrono::milliseconds cold_start_interval(500);

/// Maximum number of peers queried in one attempt of a cold start.
constexpr std::size_t max_cold_start_peers = 5;

asio::awaitable<void> sleep_for(duration length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(length);
    co_await timer.async_wait(as_result);
}

} // namespace

configuration_watch::configuration_watch(
    asio::io_context& io,
    net::http_client& http,
    ports::table_service& service,
    watch_hooks initial_hooks,
    std::uint64_t seed)
    : context(io), client(http), table(service),
      hooks(std::move(initial_hooks)),
      share(configuration::poll_share_settings(), seed),
      server(io, this->adopted)
{
    this->server.set_metrics_hook(this->hooks.render_metrics);
}

result<void> configuration_watch::start(const net::endpoint& local)
{
    BOOST_OUTCOME_TRY(this->server.start(local));
    asio::co_spawn(this->context, this->start_cold(), asio::detached);
    asio::co_spawn(this->context, this->follow_peers(), asio::detached);
    return boost::outcome_v2::success();
}

std::uint16_t configuration_watch::port() const
{
    return this->server.port();
}

const configuration::adoption& configuration_watch::state() const
{
    return this->adopted;
}

asio::awaitable<void> configuration_watch::start_cold()
{
    configuration::cold_start start_attempt(
        configuration::cold_start_settings(), read_monotonic_clock());
    while (this->adopted.current().revision == 0)
    {
        const result<void> read = co_await this->read_all();
        if (read)
        {
            break;
        }
        std::vector<std::string> peers = this->live_peers();
        peers.resize(std::min(peers.size(), max_cold_start_peers));
        for (const std::string& id : peers)
        {
            co_await this->fetch_start_tables(start_attempt, id);
        }
        const std::optional<configuration::table_set> chosen =
            start_attempt.choose(
                read_monotonic_clock(),
                peers.size(),
                this->hooks.members().highest_revision());
        if (chosen)
        {
            this->handle_offer_outcome(this->adopted.offer(*chosen));
            break;
        }
        co_await sleep_for(cold_start_interval);
    }
    co_await this->poll();
}

asio::awaitable<void> configuration_watch::fetch_start_tables(
    configuration::cold_start& start_attempt, std::string id)
{
    result<peer_response> response =
        co_await fetch_from_peer(this->client, this->find_peer(id), 0);
    if (!response)
    {
        co_return;
    }
    if (configuration::table_set* tables =
            std::get_if<configuration::table_set>(&response.value()))
    {
        start_attempt.on_response(std::move(*tables));
    }
}

asio::awaitable<void> configuration_watch::poll()
{
    while (true)
    {
        const time_point now = read_monotonic_clock();
        const std::size_t members = std::max<std::size_t>(
            1, this->hooks.members().table().known_entries());
        co_await sleep_for(this->share.next(now, members) - now);
        const result<configuration::revision_row> revision =
            co_await read_revision(this->table);
        if (!revision)
        {
            this->record_table_service_outcome(revision.error());
            continue;
        }
        this->record_table_service_outcome(boost::outcome_v2::success());
        this->adopted.on_revision_seen(revision.value().revision);
        if (revision.value().revision > this->adopted.current().revision)
        {
            co_await this->read_newer();
        }
    }
}

asio::awaitable<void> configuration_watch::follow_peers()
{
    int failures = 0;
    while (true)
    {
        co_await sleep_for(follow_interval);
        const membership::gossip& members = this->hooks.members();
        const std::int64_t current = this->adopted.current().revision;
        const bool is_behind =
            current > 0 && members.highest_revision() > current;
        if (!is_behind)
        {
            failures = 0;
            continue;
        }
        this->adopted.on_revision_seen(members.highest_revision());
        if (failures >= max_peer_attempts)
        {
            failures = 0;
            co_await this->read_newer();
            continue;
        }
        const std::string holder = members.holder_of_highest();
        const bool was_adopted = co_await this->update_from_peer(holder);
        failures = was_adopted ? 0 : failures + 1;
    }
}

asio::awaitable<bool> configuration_watch::update_from_peer(std::string id)
{
    const std::int64_t before = this->adopted.current().revision;
    result<peer_response> response =
        co_await fetch_from_peer(this->client, this->find_peer(id), before);
    if (!response)
    {
        co_return false;
    }
    if (const std::vector<configuration::history_entry>* changes =
            std::get_if<std::vector<configuration::history_entry>>(
                &response.value()))
    {
        this->handle_offer_outcome(this->adopted.offer(*changes));
    }
    else
    {
        this->handle_offer_outcome(this->adopted.offer(
            std::get<configuration::table_set>(response.value())));
    }
    co_return this->adopted.current().revision > before;
}

asio::awaitable<void> configuration_watch::read_newer()
{
    if (this->reading)
    {
        co_return;
    }
    this->reading = true;
    result<void> read = co_await this->read_changes();
    if (!read)
    {
        read = co_await this->read_all();
    }
    this->reading = false;
    this->record_table_service_outcome(read);
}

asio::awaitable<result<void>> configuration_watch::read_changes()
{
    const std::int64_t current = this->adopted.current().revision;
    if (current == 0)
    {
        co_return make_error(
            error_kind::not_found,
            "configuration changes: expected an adopted configuration, found "
            "none");
    }
    const std::string prefix(configuration::history_prefix);
    const std::string after = configuration::history_key(current);
    result<std::vector<ports::row>> rows =
        co_await this->table.scan(prefix, after, changes_per_read);
    if (!rows)
    {
        co_return rows.error();
    }
    std::vector<configuration::history_entry> changes;
    for (const ports::row& found : rows.value())
    {
        BOOST_OUTCOME_CO_TRY(
            configuration::history_entry entry,
            configuration::decode_history(found.value));
        changes.push_back(std::move(entry));
    }
    const result<configuration::offer_outcome> offered =
        this->adopted.offer(changes);
    this->handle_offer_outcome(offered);
    if (!offered)
    {
        co_return offered.error();
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<result<void>> configuration_watch::read_all()
{
    result<stored_configuration> stored =
        co_await read_configuration(this->table);
    if (!stored)
    {
        co_return stored.error();
    }
    const result<configuration::offer_outcome> offered =
        this->adopted.offer(std::move(stored.value().tables));
    this->handle_offer_outcome(offered);
    if (!offered)
    {
        co_return offered.error();
    }
    co_return boost::outcome_v2::success();
}

std::vector<std::string> configuration_watch::live_peers() const
{
    std::vector<std::string> peers;
    const membership::gossip& members = this->hooks.members();
    for (const auto& [id, record] : members.table().records())
    {
        const bool is_live_entry =
            record.details.role == membership::vm_role::entry &&
            record.status.state == membership::vm_state::alive &&
            record.status.incarnation > 0 && id != members.self();
        if (is_live_entry)
        {
            peers.push_back(id);
        }
    }
    // The order differs by node, so that nodes that start at the same time do
    // not all query the same peers.
    const std::uint64_t salt = hash_bytes(members.self());
    std::sort(
        peers.begin(),
        peers.end(),
        [&](const std::string& left, const std::string& right)
        {
            return hash_bytes(left, salt) < hash_bytes(right, salt);
        });
    return peers;
}

net::endpoint configuration_watch::find_peer(const std::string& id) const
{
    const membership::member_record* record =
        this->hooks.members().table().find(id);
    if (record == nullptr)
    {
        return {};
    }
    return {record->details.address, record->details.gossip_port};
}

void configuration_watch::handle_offer_outcome(
    result<configuration::offer_outcome> offered)
{
    if (!offered)
    {
        log_event(
            event::configuration_rejected, {{"error", offered.error().text}});
        return;
    }
    if (offered.value() == configuration::offer_outcome::not_newer)
    {
        return;
    }
    const configuration::table_set& tables = this->adopted.current();
    log_event(event::configuration_adopted, {{"revision", tables.revision}});
    this->hooks.on_adopted(tables);
}

void configuration_watch::record_table_service_outcome(
    const result<void>& outcome)
{
    const bool is_available = outcome.has_value() ||
                              outcome.error().kind == error_kind::conflict ||
                              outcome.error().kind == error_kind::invalid_input;
    if (is_available == this->table_available)
    {
        return;
    }
    this->table_available = is_available;
    if (is_available)
    {
        log_event(event::table_service_back);
        return;
    }
    log_event(
        event::table_service_unavailable, {{"error", outcome.error().text}});
}

} // namespace chicory::control
