#include "servers/node/fleet_state.hpp"

#include "platform/platform.hpp"

#include <utility>

namespace chicory::node
{

namespace
{

/// Decodes a runner's record and logs a record that cannot be decoded.
result<serving::runner_entry> decode_entry(const ports::record& source)
{
    result<serving::runner_entry> entry = platform::read_runner(source);
    if (!entry)
    {
        log_event(
            event::runner_entry_rejected,
            {{"runner", source.key}, {"error", entry.error().text}});
    }
    return entry;
}

} // namespace

fleet_state::fleet_state(
    boost::asio::io_context& io,
    ports::record_store& store,
    adopted_hook hook,
    std::uint64_t seed,
    serving::key_freshness_settings freshness_settings)
    : on_adopted(std::move(hook)), freshness(freshness_settings),
      configuration_watch(
          io,
          store,
          std::string(platform::configuration_table),
          {[this](const std::vector<ports::record>& records, std::int64_t)
           {
               for (const ports::record& found : records)
               {
                   this->apply_configuration(found);
               }
           },
           [this](const ports::record& changed)
           {
               this->apply_configuration(changed);
           },
           [](bool) {},
           {},
           [this](boot_time_point sent)
           {
               this->on_configuration_confirmed(sent);
           }},
          seed),
      runner_watch(
          io,
          store,
          std::string(platform::runner_table),
          {[this](
               const std::vector<ports::record>& records, std::int64_t version)
           {
               this->apply_runner_snapshot(records, version);
           },
           [this](const ports::record& changed)
           {
               this->apply_runner(changed);
           },
           [this](bool reached)
           {
               this->on_store_contact(reached);
           }},
          seed + 1)
{
}

void fleet_state::start()
{
    this->configuration_watch.start();
    this->runner_watch.start();
}

std::shared_ptr<const serving::serving_configuration>
fleet_state::configuration() const
{
    return this->current_configuration;
}

std::shared_ptr<const serving::serving_route>
fleet_state::find_route(const std::string& name) const
{
    if (this->current_configuration == nullptr)
    {
        return nullptr;
    }
    // The returned pointer shares ownership of the configuration that contains
    // the route.
    return {
        this->current_configuration,
        serving::find_route_by_name(*this->current_configuration, name)};
}

const std::string& fleet_state::configuration_text() const
{
    return this->current_text;
}

bool fleet_state::offer_configuration(
    const std::string& text, std::string_view source)
{
    if (this->current_configuration != nullptr && text == this->current_text)
    {
        // Other nodes send the same text several times a second while the store
        // is not reached; decoding it each time would cost too much.
        return true;
    }
    result<serving::serving_configuration> read =
        platform::read_configuration(text);
    if (!read)
    {
        log_event(
            event::configuration_rejected,
            {{"source", std::string(source)}, {"error", read.error().text}});
        return false;
    }
    if (this->current_configuration != nullptr &&
        this->current_configuration->version >= read.value().version)
    {
        return true;
    }
    this->current_configuration =
        std::make_shared<const serving::serving_configuration>(
            std::move(read.value()));
    this->current_text = text;
    log_event(
        event::configuration_adopted,
        {{"revision", this->current_configuration->version},
         {"routes", this->current_configuration->routes.size()},
         {"source", std::string(source)}});
    for (const std::string& problem :
         this->current_configuration->organisations.problems())
    {
        log_event(
            event::organisation_rejected,
            {{"revision", this->current_configuration->version},
             {"error", problem}});
    }
    this->on_adopted(*this->current_configuration);
    return true;
}

void fleet_state::apply_configuration(const ports::record& source)
{
    if (source.key == platform::configuration_key && !source.deleted)
    {
        this->newest_is_unreadable =
            !this->offer_configuration(source.value, "store");
    }
}

void fleet_state::on_configuration_confirmed(boot_time_point sent)
{
    // A configuration that cannot be decoded may revoke keys.
    if (!this->newest_is_unreadable)
    {
        this->freshness.on_confirmed(sent);
    }
}

bool fleet_state::keys_are_current() const
{
    return this->freshness.is_current(read_boot_clock());
}

std::optional<duration> fleet_state::key_age() const
{
    return this->freshness.age(read_boot_clock());
}

void fleet_state::apply_runner(const ports::record& changed)
{
    const time_point now = read_monotonic_clock();
    if (changed.deleted)
    {
        this->records.erase(changed.key);
        this->directory.on_removed(now, changed.key, changed.version);
        return;
    }
    const result<serving::runner_entry> entry = decode_entry(changed);
    if (!entry)
    {
        this->directory.on_removed(now, changed.key, changed.version);
        return;
    }
    this->records[changed.key] = changed;
    this->directory.on_entry(now, entry.value());
}

void fleet_state::apply_runner_snapshot(
    const std::vector<ports::record>& records, std::int64_t version)
{
    std::vector<serving::runner_entry> entries;
    this->records.clear();
    for (const ports::record& found : records)
    {
        result<serving::runner_entry> entry = decode_entry(found);
        if (!entry)
        {
            continue;
        }
        entries.push_back(std::move(entry.value()));
        this->records[found.key] = found;
    }
    this->directory.on_snapshot(read_monotonic_clock(), entries, version);
}

void fleet_state::on_store_contact(bool reached)
{
    if (reached)
    {
        this->directory.on_store_reachable(read_monotonic_clock());
        return;
    }
    this->directory.on_store_unreachable();
}

void fleet_state::offer_runner(const ports::record& source)
{
    const auto known = this->records.find(source.key);
    if (known == this->records.end() || known->second.version < source.version)
    {
        this->apply_runner(source);
    }
}

const std::map<std::string, ports::record>& fleet_state::runner_records() const
{
    return this->records;
}

serving::runner_directory& fleet_state::runners()
{
    return this->directory;
}

bool fleet_state::is_store_reached() const
{
    return this->configuration_watch.is_current() &&
           this->runner_watch.is_current();
}

} // namespace chicory::node
