#ifndef CHICORY_SERVERS_NODE_FLEET_STATE_HPP
#define CHICORY_SERVERS_NODE_FLEET_STATE_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"
#include "servers/node/table_watch.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chicory::node
{

/// Configuration and runners as this node sees them, updated from the store and
/// from other nodes.
class fleet_state
{
public:
    /// Called after each adoption of a configuration.
    using adopted_hook =
        std::function<void(const serving::serving_configuration&)>;

    /// The store must outlive this object.
    fleet_state(
        boost::asio::io_context& io,
        ports::record_store& store,
        adopted_hook hook,
        std::uint64_t seed,
        serving::key_freshness_settings freshness_settings = {});

    /// Starts to watch the store for changes.
    void start();

    /// Returns the current configuration, or null while there is none. Calls in
    /// progress keep the configuration with which they began.
    std::shared_ptr<const serving::serving_configuration> configuration() const;

    /// Returns a route of the current configuration, or null.
    std::shared_ptr<const serving::serving_route>
    find_route(const std::string& name) const;

    /// Returns the text of the current configuration, for other nodes.
    const std::string& configuration_text() const;

    /// Adopts a configuration if its version is higher than the current one.
    /// `source` names its origin in log events.
    /// Returns false if the text cannot be decoded.
    bool offer_configuration(const std::string& text, std::string_view source);

    /// Applies the record of a runner from another node if it is newer than the
    /// known record.
    void offer_runner(const ports::record& source);

    /// Returns the records of the runners as they were written to the store, by
    /// runner id.
    const std::map<std::string, ports::record>& runner_records() const;

    serving::runner_directory& runners();

    /// Returns whether the watches of the configuration and the runners are up
    /// to date, that is, whether the store responds.
    bool is_store_reached() const;

    /// Returns whether the API keys of the current configuration may be relied
    /// on. False while the newest configuration in the store cannot be decoded
    /// for longer than the age limit, too.
    bool keys_are_current() const;

    /// Returns the time since the configuration was certainly the newest one in
    /// the store, or nothing if it never was.
    std::optional<duration> key_age() const;

private:
    void apply_configuration(const ports::record& source);
    void apply_runner(const ports::record& changed);
    void apply_runner_snapshot(
        const std::vector<ports::record>& records, std::int64_t version);
    void on_store_contact(bool reached);
    void on_configuration_confirmed(boot_time_point sent);

    adopted_hook on_adopted;
    std::shared_ptr<const serving::serving_configuration> current_configuration;
    std::string current_text;
    serving::key_freshness freshness;
    /// True while the newest configuration in the store cannot be decoded.
    bool newest_is_unreadable = false;
    serving::runner_directory directory;
    std::map<std::string, ports::record> records;
    table_watch configuration_watch;
    table_watch runner_watch;
};

} // namespace chicory::node

#endif
