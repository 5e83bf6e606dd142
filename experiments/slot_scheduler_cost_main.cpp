#include "policy/serving/serving.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

namespace
{

using namespace std::chrono_literals;
using chicory::duration;
using chicory::time_point;
using chicory::serving::held_slot;
using chicory::serving::slot_outcome;
using chicory::serving::slot_request;
using chicory::serving::slot_runner;
using chicory::serving::slot_scheduler;
using chicory::serving::work_kind;

struct load_settings
{
    int runners = 44;
    int slots = 8;
    int nodes = 60;
    int waiting = 100;
    int waiting_items = 400;
    int rounds = 2000;
};

slot_request make_request(const load_settings& settings, std::uint64_t number)
{
    slot_request request;
    request.id = {
        "frontend-zone-" +
            std::to_string(number % static_cast<std::uint64_t>(settings.nodes)),
        1,
        number};
    request.group.service = "service";
    request.zone = "zone-" + std::to_string(number % 4);
    request.target_time_left = 60s;
    request.time_left = 600s;
    request.request_digest = number + 1;
    return request;
}

/// Measures and prints the mean cost in microseconds of one release, with the
/// grant that follows it, and of the request that replaces it in the queue.
void measure(const load_settings& settings)
{
    slot_scheduler scheduler;
    time_point now = time_point() + 1h;
    std::vector<slot_runner> runners;
    for (int index = 0; index < settings.runners; ++index)
    {
        runners.push_back(
            {"runner-" + std::to_string(index),
             "zone-" + std::to_string(index % 4),
             settings.slots});
    }
    scheduler.set_runners(now, runners);
    std::uint64_t number = 0;
    std::deque<slot_request> sent;
    for (int index = 0; index < settings.waiting_items; ++index)
    {
        slot_request item = make_request(settings, number++);
        item.kind = work_kind::batch;
        item.expected_work = 4s;
        item.request_digest = 0;
        item.repeatable = true;
        scheduler.on_request(now, item);
    }
    for (int index = 0;
         index < settings.runners * settings.slots + settings.waiting;
         ++index)
    {
        sent.push_back(make_request(settings, number++));
        scheduler.on_request(now, sent.back());
    }
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < settings.rounds; ++round)
    {
        now += duration(2ms);
        scheduler.on_release(now, sent.front().id, slot_outcome::completed);
        sent.pop_front();
        sent.push_back(make_request(settings, number++));
        scheduler.on_request(now, sent.back());
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    std::printf(
        "slot_scheduler_cost runners=%d nodes=%d waiting=%zu items=%zu "
        "pair_us=%.1f\n",
        settings.runners,
        settings.nodes,
        scheduler.waiting(work_kind::online),
        scheduler.waiting(work_kind::batch),
        spent.count() / settings.rounds);
}

} // namespace

int main(int argc, char** argv)
{
    load_settings settings;
    CLI::App app("Measures the cost of the decisions of a slot scheduler.");
    app.add_option("--runners", settings.runners, "Runners of the service");
    app.add_option("--slots", settings.slots, "Slots of a runner");
    app.add_option("--nodes", settings.nodes, "Nodes that request slots");
    app.add_option("--waiting", settings.waiting, "Waiting online requests");
    app.add_option("--items", settings.waiting_items, "Waiting batch items");
    app.add_option(
        "--rounds", settings.rounds, "Pairs of a release and a new request");
    CLI11_PARSE(app, argc, argv);
    measure(settings);
    return 0;
}
