#include "servers/lifecycle/daemon_lifecycle.hpp"

// Makes boost::mpl generate its headers for the sizes of vectors and lists
// below instead of including the preprocessed ones.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 20
#define BOOST_MPL_LIMIT_LIST_SIZE 20

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace chicory
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct started
{
};
struct stop_requested
{
};
struct announced
{
};
struct drained
{
};

struct start_announcing
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        log_event(event::process_draining);
        machine.pending_hook = machine.hooks.announce;
    }
};

struct start_draining
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        machine.pending_hook = machine.hooks.drain;
    }
};

struct finish
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        log_event(event::process_stopped);
        machine.pending_hook = machine.hooks.stop;
    }
};

struct abort_work
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        const std::string unfinished = machine.hooks.describe_unfinished();
        log_event(
            event::work_cut_off,
            {{"cut_off", unfinished.empty() ? "nothing" : unfinished}});
        machine.pending_hook = machine.hooks.stop;
    }
};

struct lifecycle_definition
    : msm::front::state_machine_def<lifecycle_definition>
{
    struct starting : msm::front::state<>
    {
    };
    struct serving : msm::front::state<>
    {
    };
    struct announcing : msm::front::state<>
    {
    };
    struct draining : msm::front::state<>
    {
    };
    struct stopped : msm::front::state<>
    {
    };

    using initial_state = starting;

    struct transition_table
        : boost::mpl::vector<
              Row<starting, started, serving>,
              Row<starting, stop_requested, stopped, abort_work>,
              Row<serving, stop_requested, announcing, start_announcing>,
              Row<announcing, announced, draining, start_draining>,
              Row<announcing, stop_requested, stopped, abort_work>,
              Row<draining, drained, stopped, finish>,
              Row<draining, stop_requested, stopped, abort_work>>
    {
    };

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {
        // A signal after the daemon stopped, or a late report, is ignored.
    }

    lifecycle_hooks hooks;
    /// Hook of the last transition. It is called after the transition has
    /// ended, because it may trigger the next transition.
    std::function<void()> pending_hook;
};

} // namespace

struct daemon_lifecycle::machine
{
    msm::back::state_machine<lifecycle_definition> chart;

    template <class Event>
    void process(const Event& trigger)
    {
        this->chart.process_event(trigger);
        if (const std::function<void()> hook =
                std::exchange(this->chart.pending_hook, nullptr))
        {
            hook();
        }
    }
};

daemon_lifecycle::daemon_lifecycle(lifecycle_hooks initial_hooks)
    : implementation(std::make_unique<machine>())
{
    this->implementation->chart.hooks = std::move(initial_hooks);
    this->implementation->chart.start();
}

daemon_lifecycle::~daemon_lifecycle() = default;

void daemon_lifecycle::on_started()
{
    this->implementation->process(started());
}

void daemon_lifecycle::on_stop_signal()
{
    this->implementation->process(stop_requested());
}

void daemon_lifecycle::on_announced()
{
    this->implementation->process(announced());
}

void daemon_lifecycle::on_drained()
{
    this->implementation->process(drained());
}

daemon_state daemon_lifecycle::state() const
{
    // States are numbered in the order in which the table names them, which
    // is the order of the enumerators.
    return static_cast<daemon_state>(
        this->implementation->chart.current_state()[0]);
}

} // namespace chicory
