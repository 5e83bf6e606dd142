#include "servers/lifecycle/daemon_lifecycle.hpp"

// The table has more lines than the default limit of the vector it is kept in.
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
struct stop_asked
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
    void operator()(const Event&, Machine& life, Source&, Target&) const
    {
        log_event(event::process_draining);
        life.later = life.hooks.announce;
    }
};

struct start_draining
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& life, Source&, Target&) const
    {
        life.later = life.hooks.drain;
    }
};

struct finish
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& life, Source&, Target&) const
    {
        log_event(event::process_stopped);
        life.later = life.hooks.stop;
    }
};

struct cut_off
{
    template <class Event, class Machine, class Source, class Target>
    void operator()(const Event&, Machine& life, Source&, Target&) const
    {
        const std::string unfinished = life.hooks.describe_unfinished();
        log_event(
            event::work_cut_off,
            {{"cut_off", unfinished.empty() ? "nothing" : unfinished}});
        life.later = life.hooks.stop;
    }
};

struct life_definition : msm::front::state_machine_def<life_definition>
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
              Row<starting, stop_asked, stopped, cut_off>,
              Row<serving, stop_asked, announcing, start_announcing>,
              Row<announcing, announced, draining, start_draining>,
              Row<announcing, stop_asked, stopped, cut_off>,
              Row<draining, drained, stopped, finish>,
              Row<draining, stop_asked, stopped, cut_off>>
    {
    };

    template <class Machine, class Event>
    void no_transition(const Event&, Machine&, int)
    {
        // A signal after the end, or a late report, changes nothing.
    }

    lifecycle_hooks hooks;
    /// Hook of the last transition. It runs after the transition, because it
    /// may cause the next one.
    std::function<void()> later;
};

} // namespace

struct daemon_lifecycle::machine
{
    msm::back::state_machine<life_definition> chart;

    template <class Event>
    void process(const Event& what)
    {
        this->chart.process_event(what);
        if (const std::function<void()> due =
                std::exchange(this->chart.later, nullptr))
        {
            due();
        }
    }
};

daemon_lifecycle::daemon_lifecycle(lifecycle_hooks wanted)
    : inner(std::make_unique<machine>())
{
    this->inner->chart.hooks = std::move(wanted);
    this->inner->chart.start();
}

daemon_lifecycle::~daemon_lifecycle() = default;

void daemon_lifecycle::on_started()
{
    this->inner->process(started());
}

void daemon_lifecycle::on_stop_signal()
{
    this->inner->process(stop_asked());
}

void daemon_lifecycle::on_announced()
{
    this->inner->process(announced());
}

void daemon_lifecycle::on_drained()
{
    this->inner->process(drained());
}

daemon_state daemon_lifecycle::state() const
{
    // States are numbered in the order in which the table names them, which
    // is the order of the enumerators.
    return static_cast<daemon_state>(this->inner->chart.current_state()[0]);
}

} // namespace chicory
