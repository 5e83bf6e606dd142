#include "core/core.hpp"
#include "tests/policy/membership/gossip_fleet.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <ctime>

namespace
{

using namespace std::chrono_literals;
using chicory::membership::gossip_fleet;
using chicory::membership::vm_state;

constexpr std::chrono::seconds steady_state_time(60);
constexpr std::chrono::seconds max_wait(120);
constexpr std::int64_t tested_revision = 77;

double to_seconds(chicory::duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Runs the fleet until the condition holds. Returns the simulated seconds that
/// this took, or -1 when it did not hold within `max_wait`.
double measure(gossip_fleet& fleet, const std::function<bool()>& condition)
{
    const chicory::time_point start = fleet.time();
    const bool reached = fleet.run_until(condition, max_wait);
    return reached ? to_seconds(fleet.time() - start) : -1.0;
}

/// Counts the pairs of running nodes in which the first holds the second, which
/// runs, in the given state.
std::size_t count_false_states(gossip_fleet& fleet, vm_state state)
{
    std::size_t count = 0;
    for (std::size_t observer = 0; observer < fleet.size(); ++observer)
    {
        for (std::size_t subject = 0; subject < fleet.size(); ++subject)
        {
            const bool is_false = !fleet.is_down(observer) &&
                                  !fleet.is_down(subject) &&
                                  fleet.state(observer, subject) == state;
            count += is_false ? 1 : 0;
        }
    }
    return count;
}

void report_steady_state(gossip_fleet& fleet)
{
    const double members = static_cast<double>(fleet.size());
    const double seconds = to_seconds(steady_state_time);
    const std::size_t bytes = fleet.sent_bytes;
    const std::size_t messages = fleet.sent_messages;
    const std::clock_t start = std::clock();
    std::size_t suspect_count = 0;
    std::size_t dead_count = 0;
    for (int second = 0; second < steady_state_time.count(); ++second)
    {
        fleet.run(1s);
        suspect_count += count_false_states(fleet, vm_state::suspect);
        dead_count += count_false_states(fleet, vm_state::dead);
    }
    const double cpu_s =
        static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const double sent = static_cast<double>(fleet.sent_bytes - bytes);
    const double message_count =
        static_cast<double>(fleet.sent_messages - messages);
    std::printf(
        "steady state, per node: %.0f B/s sent and as many received, %.1f "
        "messages/s sent, %.3f%% of a core\n",
        sent / members / seconds,
        message_count / members / seconds,
        100.0 * cpu_s / members / seconds);
    std::printf(
        "steady state: false states summed over pairs and seconds: %zu "
        "suspect, %zu dead\n",
        suspect_count,
        dead_count);
}

void report_failure_detection(gossip_fleet& fleet)
{
    double max_s = 0.0;
    double sum_s = 0.0;
    constexpr std::size_t stop_count = 10;
    for (std::size_t index = 0; index < stop_count; ++index)
    {
        const std::size_t stopped_node = index % fleet.size();
        fleet.stop(stopped_node);
        const double elapsed_s = measure(
            fleet,
            [&]()
            {
                return fleet.all_believe(stopped_node, vm_state::dead);
            });
        max_s = std::max(max_s, elapsed_s);
        sum_s += elapsed_s;
        fleet.start(stopped_node, 1'000'000 + index);
        fleet.run(30s);
    }
    std::printf(
        "stopped node seen as dead by all: mean %.2f s, maximum of %zu %.2f "
        "s\n",
        sum_s / static_cast<double>(stop_count),
        stop_count,
        max_s);
}

void report_revision_spread(gossip_fleet& fleet)
{
    fleet.node(0).set_revision(tested_revision);
    // Each node adopts the highest revision that it has received before the
    // next tick.
    const auto all_know_revision = [&]()
    {
        bool all = true;
        for (std::size_t index = 0; index < fleet.size(); ++index)
        {
            const std::int64_t revision = fleet.node(index).highest_revision();
            fleet.node(index).set_revision(revision);
            all = all && revision == tested_revision;
        }
        return all;
    };
    std::printf(
        "revision known by all: %.2f s\n", measure(fleet, all_know_revision));
}

void report_partition(gossip_fleet& fleet)
{
    const std::size_t partition_size = fleet.size() / 5;
    fleet.partition(partition_size);
    const auto partition_is_dead = [&]()
    {
        for (std::size_t observer = partition_size; observer < fleet.size();
             ++observer)
        {
            for (std::size_t subject = 0; subject < partition_size; ++subject)
            {
                if (fleet.state(observer, subject) != vm_state::dead)
                {
                    return false;
                }
            }
        }
        return true;
    };
    std::printf(
        "fifth of the members partitioned, seen as dead by the rest: %.2f s\n",
        measure(fleet, partition_is_dead));
    fleet.run(60s);
    fleet.partition(0);
    const std::size_t bytes = fleet.sent_bytes;
    const double elapsed_s = measure(
        fleet,
        [&]()
        {
            return fleet.converged();
        });
    std::printf(
        "views converged after the partition: %.2f s, %.0f B/s sent per node\n",
        elapsed_s,
        static_cast<double>(fleet.sent_bytes - bytes) / elapsed_s /
            static_cast<double>(fleet.size()));
}

} // namespace

int main(int argc, char** argv)
{
    std::size_t members = 340;
    std::size_t runners = 0;
    double loss = 0.05;
    std::uint64_t seed = 1;
    CLI::App program("Measures cluster membership on a simulated clock");
    program.add_option("--members", members, "number of members");
    program.add_option("--runners", runners, "number of listed runners");
    program.add_option("--loss", loss, "fraction of messages dropped");
    program.add_option("--seed", seed, "seed of the random numbers");
    CLI11_PARSE(program, argc, argv);

    gossip_fleet fleet(members, loss, seed, runners);
    std::printf(
        "members %zu, runners %zu, loss %.2f, seed %llu\n",
        members,
        runners,
        loss,
        static_cast<unsigned long long>(seed));
    std::printf(
        "converged after start: %.2f s\n",
        measure(
            fleet,
            [&]()
            {
                return fleet.converged();
            }));
    fleet.run(30s);
    report_partition(fleet);
    fleet.run(30s);
    report_steady_state(fleet);
    report_revision_spread(fleet);
    report_failure_detection(fleet);
    std::printf("largest message: %zu bytes\n", fleet.largest_message);
    return 0;
}
