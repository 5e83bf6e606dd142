#ifndef CHICORY_POLICY_BATCH_LIFECYCLE_HPP
#define CHICORY_POLICY_BATCH_LIFECYCLE_HPP

#include "core/core.hpp"
#include "policy/batch/chunk_record.hpp"
#include "policy/batch/item_record.hpp"
#include "policy/batch/job_record.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace chicory::batch
{

/// Aborts the process with an error message when an event is impossible
/// according to a chart.
[[noreturn]] void stop_on_impossible_step(const error& failure);

/// A chart whose states and events are mapped to enumerations.
template <class State, std::size_t States, class Event, std::size_t Events>
class lifecycle
{
public:
    /// Loads a chart. Error: invalid_input, naming the file and the fault, for
    /// an invalid chart; not_found for a chart that lacks a state or an event
    /// of the enumerations.
    static result<lifecycle> load(
        const std::string& path,
        const enum_table<State, States>& state_names,
        const enum_table<Event, Events>& event_names)
    {
        BOOST_OUTCOME_TRY(chart steps, chart::load(path));
        lifecycle loaded(std::move(steps));
        for (const enum_entry<State>& entry : state_names)
        {
            BOOST_OUTCOME_TRY(
                const std::size_t index, loaded.steps.state(entry.name));
            loaded.state_indexes[static_cast<std::size_t>(entry.value)] = index;
            loaded.states[index] = entry.value;
        }
        for (const enum_entry<Event>& entry : event_names)
        {
            BOOST_OUTCOME_TRY(
                const std::size_t index, loaded.steps.event(entry.name));
            loaded.event_indexes[static_cast<std::size_t>(entry.value)] = index;
        }
        return loaded;
    }

    /// Returns the state after an event. Error: conflict with the reason given
    /// in the chart when the event is impossible in the state.
    result<State> try_next(State state, Event event) const
    {
        BOOST_OUTCOME_TRY(
            const std::size_t target,
            this->steps.next(
                this->state_indexes[static_cast<std::size_t>(state)],
                this->event_indexes[static_cast<std::size_t>(event)]));
        return this->states.at(target);
    }

    /// Returns the state after an event. Aborts the process when the event is
    /// impossible in the state.
    State next(State state, Event event) const
    {
        const result<State> target = this->try_next(state, event);
        if (!target)
        {
            stop_on_impossible_step(target.error());
        }
        return target.value();
    }

private:
    explicit lifecycle(chart steps) : steps(std::move(steps))
    {
    }

    chart steps;
    std::array<std::size_t, States> state_indexes{};
    std::array<std::size_t, Events> event_indexes{};
    std::array<State, States> states{};
};

using job_lifecycle = lifecycle<job_state, 5, job_event, 4>;
using chunk_lifecycle = lifecycle<chunk_state, 3, chunk_event, 5>;
using item_lifecycle = lifecycle<item_state, 9, item_event, 10>;

/// Charts of the batch library.
struct lifecycles
{
    job_lifecycle job;
    chunk_lifecycle chunk;
    item_lifecycle item;
};

/// Loads job.toml, chunk.toml and item.toml from a folder. Errors: those of
/// lifecycle::load().
result<lifecycles> load_lifecycles(const std::string& folder);

} // namespace chicory::batch

#endif
