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

constexpr std::chrono::seconds quiet_time(60);
constexpr std::chrono::seconds longest_wait(120);
constexpr std::int64_t tested_revision = 77;

double to_seconds(chicory::duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Runs until the condition holds and returns how long that took.
double measure(gossip_fleet& fleet, const std::function<bool()>& condition)
{
    const chicory::time_point start = fleet.time();
    const bool reached = fleet.run_until(condition, longest_wait);
    return reached ? to_seconds(fleet.time() - start) : -1.0;
}

/// Counts pairs of running nodes of which one doubts the other.
std::size_t count_doubts(gossip_fleet& fleet, vm_state state)
{
    std::size_t doubts = 0;
    for (std::size_t observer = 0; observer < fleet.size(); ++observer)
    {
        for (std::size_t subject = 0; subject < fleet.size(); ++subject)
        {
            const bool doubted = !fleet.is_down(observer) &&
                                 !fleet.is_down(subject) &&
                                 fleet.state(observer, subject) == state;
            doubts += doubted ? 1 : 0;
        }
    }
    return doubts;
}

void report_quiet_time(gossip_fleet& fleet)
{
    const double members = static_cast<double>(fleet.size());
    const double seconds = to_seconds(quiet_time);
    const std::size_t bytes = fleet.sent_bytes;
    const std::size_t messages = fleet.sent_messages;
    const std::clock_t start = std::clock();
    std::size_t suspicions = 0;
    std::size_t deaths = 0;
    for (int second = 0; second < quiet_time.count(); ++second)
    {
        fleet.run(1s);
        suspicions += count_doubts(fleet, vm_state::suspect);
        deaths += count_doubts(fleet, vm_state::dead);
    }
    const double cpu =
        static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    const double sent = static_cast<double>(fleet.sent_bytes - bytes);
    const double count = static_cast<double>(fleet.sent_messages - messages);
    std::printf(
        "quiet: %.0f B/s sent and as many received a node, %.1f messages/s "
        "sent, %.3f%% of a core a node\n",
        sent / members / seconds,
        count / members / seconds,
        100.0 * cpu / members / seconds);
    std::printf(
        "quiet: false words summed over pairs and seconds: %zu suspect, %zu "
        "dead\n",
        suspicions,
        deaths);
}

void report_death(gossip_fleet& fleet)
{
    double worst = 0.0;
    double sum = 0.0;
    constexpr std::size_t deaths = 10;
    for (std::size_t index = 0; index < deaths; ++index)
    {
        const std::size_t victim = index % fleet.size();
        fleet.stop(victim);
        const double taken = measure(
            fleet,
            [&]()
            {
                return fleet.all_believe(victim, vm_state::dead);
            });
        worst = std::max(worst, taken);
        sum += taken;
        fleet.start(victim, 1'000'000 + index);
        fleet.run(30s);
    }
    std::printf(
        "death seen by all: mean %.2f s, worst of %zu %.2f s\n",
        sum / static_cast<double>(deaths),
        deaths,
        worst);
}

void report_revision(gossip_fleet& fleet)
{
    fleet.node(0).set_revision(tested_revision);
    // A node adopts what it hears of before the next tick.
    const auto known = [&]()
    {
        bool all = true;
        for (std::size_t index = 0; index < fleet.size(); ++index)
        {
            const std::int64_t heard = fleet.node(index).highest_revision();
            fleet.node(index).set_revision(heard);
            all = all && heard == tested_revision;
        }
        return all;
    };
    std::printf("revision known by all: %.2f s\n", measure(fleet, known));
}

void report_cut(gossip_fleet& fleet)
{
    const std::size_t border = fleet.size() / 5;
    fleet.partition(border);
    const auto smaller_side_is_dead = [&]()
    {
        for (std::size_t observer = border; observer < fleet.size(); ++observer)
        {
            for (std::size_t subject = 0; subject < border; ++subject)
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
        "fifth of the members cut off, seen by the rest: %.2f s\n",
        measure(fleet, smaller_side_is_dead));
    fleet.run(60s);
    fleet.partition(0);
    const std::size_t bytes = fleet.sent_bytes;
    const double taken = measure(
        fleet,
        [&]()
        {
            return fleet.converged();
        });
    std::printf(
        "views converged after the cut: %.2f s, %.0f B/s sent a node\n",
        taken,
        static_cast<double>(fleet.sent_bytes - bytes) / taken /
            static_cast<double>(fleet.size()));
}

} // namespace

int main(int argc, char** argv)
{
    std::size_t members = 340;
    std::size_t runners = 0;
    double loss = 0.05;
    std::uint64_t seed = 1;
    CLI::App program("Measures membership on a scripted clock");
    program.add_option("--members", members, "number of members");
    program.add_option("--runners", runners, "number of listed runners");
    program.add_option("--loss", loss, "share of messages lost");
    program.add_option("--seed", seed, "seed of all random numbers");
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
    report_cut(fleet);
    fleet.run(30s);
    report_quiet_time(fleet);
    report_revision(fleet);
    report_death(fleet);
    std::printf("largest message: %zu bytes\n", fleet.largest_message);
    return 0;
}
