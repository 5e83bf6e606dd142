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

struct load
{
    int runners = 44;
    int slots = 8;
    int nodes = 60;
    int waiting = 100;
    int waiting_items = 400;
    int rounds = 2000;
};

slot_request make_request(const load& wanted, std::uint64_t number)
{
    slot_request request;
    request.id = {
        "frontend-zone-" +
            std::to_string(number % static_cast<std::uint64_t>(wanted.nodes)),
        1,
        number};
    request.group.service = "service";
    request.zone = "zone-" + std::to_string(number % 4);
    request.target_time_left = 60s;
    request.time_left = 600s;
    request.request_digest = number + 1;
    return request;
}

/// Mean cost in microseconds of one release, with the grant that follows and
/// the request that takes its place in the queue, and of one report.
void measure(const load& wanted)
{
    slot_scheduler scheduler;
    time_point now = time_point() + 1h;
    std::vector<slot_runner> runners;
    for (int index = 0; index < wanted.runners; ++index)
    {
        runners.push_back(
            {"runner-" + std::to_string(index),
             "zone-" + std::to_string(index % 4),
             wanted.slots});
    }
    scheduler.set_runners(now, runners);
    std::uint64_t number = 0;
    std::deque<slot_request> sent;
    for (int index = 0; index < wanted.waiting_items; ++index)
    {
        slot_request item = make_request(wanted, number++);
        item.kind = work_kind::batch;
        item.expected_work = 4s;
        item.request_digest = 0;
        item.repeatable = true;
        scheduler.on_request(now, item);
    }
    for (int index = 0; index < wanted.runners * wanted.slots + wanted.waiting;
         ++index)
    {
        sent.push_back(make_request(wanted, number++));
        scheduler.on_request(now, sent.back());
    }
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < wanted.rounds; ++round)
    {
        now += duration(2ms);
        scheduler.on_release(now, sent.front().id, slot_outcome::completed);
        sent.pop_front();
        sent.push_back(make_request(wanted, number++));
        scheduler.on_request(now, sent.back());
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    std::printf(
        "slot_scheduler_cost runners=%d nodes=%d waiting=%zu items=%zu "
        "pair_us=%.1f\n",
        wanted.runners,
        wanted.nodes,
        scheduler.waiting(work_kind::online),
        scheduler.waiting(work_kind::batch),
        spent.count() / wanted.rounds);
}

} // namespace

int main(int argc, char** argv)
{
    load wanted;
    CLI::App app("Measures the cost of the decisions of a slot scheduler.");
    app.add_option("--runners", wanted.runners, "Runners of the service");
    app.add_option("--slots", wanted.slots, "Slots of a runner");
    app.add_option("--nodes", wanted.nodes, "Nodes that ask");
    app.add_option("--waiting", wanted.waiting, "Online requests that wait");
    app.add_option("--items", wanted.waiting_items, "Items that wait");
    app.add_option("--rounds", wanted.rounds, "Requests that end and come");
    CLI11_PARSE(app, argc, argv);
    measure(wanted);
    return 0;
}
