#include "core/chart.hpp"

#include "core/toml_file.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace chicory
{

namespace
{

std::optional<std::size_t>
find_index(const std::vector<std::string>& names, std::string_view name)
{
    const auto entry = std::find(names.begin(), names.end(), name);
    if (entry == names.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(entry - names.begin());
}

} // namespace

/// Builds a chart from a parsed TOML file and validates it.
struct chart::loader
{
    std::string file;
    chart target;

    error make_fault(const toml::node& node, const std::string& text) const
    {
        const auto line = std::to_string(node.source().begin.line);
        return make_error(
            error_kind::invalid_input, this->file + ":" + line + ": " + text);
    }

    result<std::string>
    read_text(const toml::table& table, std::string_view key)
    {
        const auto value = table[key].value_exact<std::string>();
        if (!value)
        {
            return this->make_fault(
                table, "expected a string for " + std::string(key));
        }
        return *value;
    }

    result<std::vector<std::string>>
    read_names(const toml::table& table, std::string_view key)
    {
        const toml::array* const array = table[key].as_array();
        if (array == nullptr || array->empty())
        {
            return this->make_fault(
                table, "expected an array of names for " + std::string(key));
        }
        std::vector<std::string> found;
        for (const toml::node& element : *array)
        {
            const auto name = element.value_exact<std::string>();
            if (!name || find_index(found, *name))
            {
                return this->make_fault(
                    element,
                    "expected names that differ in " + std::string(key));
            }
            found.push_back(*name);
        }
        return found;
    }

    result<std::size_t> read_index(
        const toml::table& table,
        std::string_view key,
        const std::vector<std::string>& known_names)
    {
        BOOST_OUTCOME_TRY(const std::string name, this->read_text(table, key));
        const std::optional<std::size_t> found = find_index(known_names, name);
        if (!found)
        {
            return this->make_fault(
                table,
                std::string(key) + " names the unknown \"" + name + "\"");
        }
        return *found;
    }

    result<void> check_keys(
        const toml::table& table, const std::vector<std::string>& known_names)
    {
        for (const auto& [key, node] : table)
        {
            if (!find_index(known_names, key.str()))
            {
                return this->make_fault(
                    node, "unknown key \"" + std::string(key.str()) + "\"");
            }
        }
        return boost::outcome_v2::success();
    }

    result<void> read_head(const toml::table& root)
    {
        BOOST_OUTCOME_TRY(
            this->check_keys(root, {"chart", "transition", "impossible"}));
        const toml::table* const head = root["chart"].as_table();
        if (head == nullptr)
        {
            return this->make_fault(root, "expected a table [chart]");
        }
        BOOST_OUTCOME_TRY(
            this->check_keys(*head, {"name", "initial", "states", "events"}));
        BOOST_OUTCOME_TRY(
            this->target.chart_name, this->read_text(*head, "name"));
        BOOST_OUTCOME_TRY(
            this->target.states, this->read_names(*head, "states"));
        BOOST_OUTCOME_TRY(
            this->target.events, this->read_names(*head, "events"));
        BOOST_OUTCOME_TRY(
            this->target.initial_state,
            this->read_index(*head, "initial", this->target.states));
        this->target.steps.resize(
            this->target.states.size() * this->target.events.size());
        return boost::outcome_v2::success();
    }

    result<void>
    declare(const toml::table& table, std::string_view state_key, step entry)
    {
        BOOST_OUTCOME_TRY(
            const std::size_t state,
            this->read_index(table, state_key, this->target.states));
        BOOST_OUTCOME_TRY(
            const std::size_t event,
            this->read_index(table, "event", this->target.events));
        step& slot =
            this->target.steps.at(state * this->target.events.size() + event);
        if (slot.declared)
        {
            return this->make_fault(
                table,
                "state \"" + this->target.states.at(state) + "\" and event \"" +
                    this->target.events.at(event) + "\" are declared twice");
        }
        slot = std::move(entry);
        return boost::outcome_v2::success();
    }

    result<void> read_transition(const toml::table& table)
    {
        BOOST_OUTCOME_TRY(this->check_keys(table, {"from", "event", "to"}));
        BOOST_OUTCOME_TRY(
            const std::size_t to,
            this->read_index(table, "to", this->target.states));
        return this->declare(table, "from", step{true, true, to, ""});
    }

    result<void> read_impossible(const toml::table& table)
    {
        BOOST_OUTCOME_TRY(
            this->check_keys(table, {"state", "event", "reason"}));
        BOOST_OUTCOME_TRY(
            const std::string reason, this->read_text(table, "reason"));
        return this->declare(table, "state", step{true, false, 0, reason});
    }

    template <class Reader>
    result<void>
    read_each(const toml::table& root, std::string_view key, Reader reader)
    {
        const toml::array* const array = root[key].as_array();
        if (array == nullptr)
        {
            return boost::outcome_v2::success();
        }
        for (const toml::node& element : *array)
        {
            const toml::table* const table = element.as_table();
            if (table == nullptr)
            {
                return this->make_fault(
                    element, "expected a table in " + std::string(key));
            }
            BOOST_OUTCOME_TRY(reader(*table));
        }
        return boost::outcome_v2::success();
    }

    result<void> check_complete(const toml::table& root)
    {
        for (std::size_t slot = 0; slot < this->target.steps.size(); ++slot)
        {
            if (this->target.steps.at(slot).declared)
            {
                continue;
            }
            const std::size_t width = this->target.events.size();
            return this->make_fault(
                *root["chart"].node(),
                "state \"" + this->target.states.at(slot / width) +
                    "\" and event \"" + this->target.events.at(slot % width) +
                    "\" have neither a transition nor an impossible entry");
        }
        return boost::outcome_v2::success();
    }

    void mark_reachable(std::size_t state, std::vector<bool>& reached) const
    {
        if (reached.at(state))
        {
            return;
        }
        reached.at(state) = true;
        const std::size_t width = this->target.events.size();
        for (std::size_t event = 0; event < width; ++event)
        {
            const step& entry = this->target.steps.at(state * width + event);
            if (entry.possible)
            {
                this->mark_reachable(entry.target, reached);
            }
        }
    }

    result<void> check_reachable(const toml::table& root)
    {
        std::vector<bool> reached(this->target.states.size(), false);
        this->mark_reachable(this->target.initial_state, reached);
        for (std::size_t state = 0; state < reached.size(); ++state)
        {
            if (!reached.at(state))
            {
                return this->make_fault(
                    *root["chart"].node(),
                    "state \"" + this->target.states.at(state) +
                        "\" cannot be reached");
            }
        }
        return boost::outcome_v2::success();
    }

    result<void> read(const toml::table& root)
    {
        BOOST_OUTCOME_TRY(this->read_head(root));
        BOOST_OUTCOME_TRY(this->read_each(
            root,
            "transition",
            [this](const toml::table& table)
            {
                return this->read_transition(table);
            }));
        BOOST_OUTCOME_TRY(this->read_each(
            root,
            "impossible",
            [this](const toml::table& table)
            {
                return this->read_impossible(table);
            }));
        BOOST_OUTCOME_TRY(this->check_complete(root));
        return this->check_reachable(root);
    }
};

result<chart> chart::load(const std::string& path)
{
    const std::variant<toml::table, toml_fault> parsed = parse_toml_file(path);
    if (const auto* const failure = std::get_if<toml_fault>(&parsed))
    {
        return make_error(
            error_kind::invalid_input,
            path + ":" + std::to_string(failure->line) + ": " + failure->text);
    }
    loader reader{path, {}};
    BOOST_OUTCOME_TRY(reader.read(std::get<toml::table>(parsed)));
    return std::move(reader.target);
}

const std::string& chart::name() const
{
    return this->chart_name;
}

std::size_t chart::initial() const
{
    return this->initial_state;
}

result<std::size_t> chart::state(std::string_view state_name) const
{
    if (const auto found = find_index(this->states, state_name))
    {
        return *found;
    }
    return make_error(
        error_kind::not_found,
        "chart " + this->chart_name + " has no state \"" +
            std::string(state_name) + "\"");
}

result<std::size_t> chart::event(std::string_view event_name) const
{
    if (const auto found = find_index(this->events, event_name))
    {
        return *found;
    }
    return make_error(
        error_kind::not_found,
        "chart " + this->chart_name + " has no event \"" +
            std::string(event_name) + "\"");
}

const std::string& chart::state_name(std::size_t state) const
{
    return this->states.at(state);
}

result<std::size_t> chart::next(std::size_t state, std::size_t event) const
{
    const step& entry = this->steps.at(state * this->events.size() + event);
    if (!entry.possible)
    {
        return make_error(
            error_kind::conflict,
            "chart " + this->chart_name + ": event \"" +
                this->events.at(event) + "\" is impossible in state \"" +
                this->states.at(state) + "\": " + entry.reason);
    }
    return entry.target;
}

} // namespace chicory
