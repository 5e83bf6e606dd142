#ifndef CHICORY_EXPERIMENTS_BENCH_SHARED_SERVER_HPP
#define CHICORY_EXPERIMENTS_BENCH_SHARED_SERVER_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace chicory::bench
{

/// A milestone of a run on a server: its first byte or its end.
struct server_event
{
    std::int64_t run = 0;
    /// True at the end of the run, false at its first byte.
    bool ended = false;
};

/// Models a server with processor sharing. Up to `slots` runs proceed at full
/// speed; with more runs, each of them slows down in proportion. The server
/// accepts all runs.
class shared_server
{
public:
    explicit shared_server(std::int64_t initial_slots);

    /// Starts a run with the work until its first byte and its total work, each
    /// given as its duration at full speed.
    void start(
        std::int64_t run,
        duration first_byte_work,
        duration total_work,
        time_point now);

    /// Removes a run, whether or not it has ended.
    void remove(std::int64_t run, time_point now);

    /// Returns the time of the next milestone, provided that no run starts or
    /// is removed before it. Returns nothing when there is no milestone.
    std::optional<time_point> next_milestone_time() const;

    /// Removes and returns the first milestone that is due. Returns nothing
    /// when no milestone is due.
    std::optional<server_event> pop_due_milestone(time_point now);

    std::int64_t size() const;
    bool contains(std::int64_t run) const;

private:
    double speed() const;
    void advance(time_point now);

    std::int64_t slots;
    /// Work done since the start of the server for a run that has been in
    /// progress all the time, in microseconds at full speed.
    double work_us = 0.0;
    time_point last_update;
    /// Milestones by the value of `work_us` at which they are reached.
    std::multimap<double, server_event> milestones;
    /// Values of `work_us` at the first byte and the end of each run.
    std::map<std::int64_t, std::pair<double, double>> runs;
};

} // namespace chicory::bench

#endif
