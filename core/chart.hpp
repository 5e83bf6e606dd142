#ifndef CHICORY_CORE_CHART_HPP
#define CHICORY_CORE_CHART_HPP

#include "core/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chicory
{

/// A state machine loaded from a TOML file. Every pair of a state and an event
/// either has a transition or is declared impossible with a reason.
class chart
{
public:
    /// Loads and validates a chart. Error: invalid_input, with the file, the
    /// line and the fault, for a file that cannot be parsed, an unknown or
    /// duplicate name, a missing or duplicate pair and an unreachable state.
    static result<chart> load(const std::string& path);

    const std::string& name() const;

    /// Returns the index of the initial state.
    std::size_t initial() const;

    /// Returns the index of a state or an event. Error: not_found if the chart
    /// does not declare the name.
    result<std::size_t> state(std::string_view state_name) const;
    result<std::size_t> event(std::string_view event_name) const;

    const std::string& state_name(std::size_t state) const;

    /// Returns the index of the state that follows an event. Error: conflict,
    /// with the declared reason, if the event is impossible in the state.
    result<std::size_t> next(std::size_t state, std::size_t event) const;

private:
    /// The declared effect of one event in one state.
    struct step
    {
        bool declared = false;
        bool possible = false;
        std::size_t target = 0;
        std::string reason;
    };
    struct loader;

    std::string chart_name;
    std::size_t initial_state = 0;
    std::vector<std::string> states;
    std::vector<std::string> events;
    /// One step for each pair of a state and an event, in state-major order:
    /// the index is state * events.size() + event.
    std::vector<step> steps;
};

} // namespace chicory

#endif
