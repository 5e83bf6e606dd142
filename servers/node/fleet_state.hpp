#ifndef CHICORY_SERVERS_NODE_FLEET_STATE_HPP
#define CHICORY_SERVERS_NODE_FLEET_STATE_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"
#include "servers/node/table_watch.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicory::node
{

/// What a node knows of routes and runners, kept up to date from the store.
class fleet_state
{
public:
    /// Called after a configuration was adopted.
    using adopted_hook =
        std::function<void(const serving::serving_configuration&)>;

    /// The store must outlive this.
    fleet_state(
        boost::asio::io_context& io,
        ports::record_store& store,
        adopted_hook hook,
        std::uint64_t seed);

    void start();

    /// Returns the configuration in force, or null while there is none. Calls
    /// in progress keep the one they began with.
    std::shared_ptr<const serving::serving_configuration> configuration() const;

    /// Returns a route of the configuration in force, or null.
    std::shared_ptr<const serving::serving_route>
    find_route(const std::string& name) const;

    /// Returns the text of the configuration in force, for other nodes.
    const std::string& configuration_text() const;

    /// Adopts a configuration from another node, when its version is higher.
    void offer_configuration(const std::string& text, std::string_view source);

    /// Takes the entry of a runner from another node.
    void offer_runner(const ports::record& source);

    /// Returns the runners' entries as they were written, by id.
    const std::map<std::string, ports::record>& runner_records() const;

    serving::runner_directory& runners();

    /// True while the store answers what was asked last.
    bool is_store_reached() const;

private:
    void take_configuration(const ports::record& source);
    void take_runner(const ports::record& changed);
    void take_runners(
        const std::vector<ports::record>& records, std::int64_t version);
    void on_contact(bool reached);

    adopted_hook on_adopted;
    std::shared_ptr<const serving::serving_configuration> in_force;
    std::string in_force_text;
    serving::runner_directory directory;
    std::map<std::string, ports::record> records;
    table_watch configuration_watch;
    table_watch runner_watch;
};

} // namespace chicory::node

#endif
