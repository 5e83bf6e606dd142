#include "tests/support/mutate.hpp"
#include "wire/wire.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <random>

namespace chicory::wire
{

namespace
{

std::vector<slot_packet> make_packets()
{
    serving::slot_request request;
    request.id = {"vm-1", 7, 42};
    request.group = {"chat", "z1", 2};
    request.redirected = true;
    request.zone = "z1";
    request.target_time_left = std::chrono::milliseconds(300);
    request.excluded = {"i-1", "i-2"};
    request.parts = {1001, 1002};
    serving::held_slot held;
    held.id = {"vm-1", 7, 41};
    held.group = {"chat", "z1", 2};
    held.runner = "i-3";
    held.silence = std::chrono::milliseconds(420);
    held.tokens = 540;
    held.load = {{3, 1, 8, 85}, std::chrono::milliseconds(70)};
    request.tokens = 620;
    slot_report report{
        {"chat", "z1", 2},
        "vm-1",
        7,
        {held},
        {request},
        {{99, {"vm-1", 7, 40}}},
        {{"i-4", 1'700'000'000'000}}};
    slot_release release{
        {"chat", "", 0}, request.id, serving::slot_outcome::broken, 99};
    slot_decisions decisions{
        {"chat", "z1", 2},
        {{request.id,
          serving::slot_decision_kind::refused,
          "",
          std::chrono::milliseconds(250),
          {}},
         {request.id,
          serving::slot_decision_kind::redirected,
          "",
          {},
          {"chat", "z2", 0}}}};
    group_status_packet status{
        {"chat", "z2", 0},
        {{"chat", "z1", 2}, 4, 5, -3, {{99, {"vm-1", 7, 40}}}}};
    report.crashed.front().parts = {1001};
    report.crashed.front().runner = "i-3";
    release.parts = {1001, 1002};
    release.runner = "i-3";
    release.load = {{3, 1, 8, 85}, std::chrono::milliseconds(70)};
    decisions.decisions.front().report_first_event = true;
    const first_event reported = {{"chat", "z1", 2}, request.id};
    // A report with and without organisations; the fields differ in length.
    slot_report plain = report;
    request.organisation = "north";
    request.charged = true;
    report.waiting.push_back(request);
    report.sent = {{"north", "vm-2", {{3, 2}, {0, 1}}}};
    const quota_status_packet usage = {{{{"north", 2, {{5, 1}, {1, 4}}}}}};
    return {
        request, plain, report, release, decisions, status, reported, usage};
}

} // namespace

TEST(slot_packet, is_unchanged_after_encoding_and_decoding)
{
    for (const slot_packet& packet : make_packets())
    {
        const std::string bytes = encode_slot_packet(packet);
        const result<slot_packet> read = decode_slot_packet(bytes);
        ASSERT_TRUE(read.has_value());
        EXPECT_EQ(read.value().index(), packet.index());
        EXPECT_EQ(encode_slot_packet(read.value()), bytes);
    }
    const result<slot_packet> request =
        decode_slot_packet(encode_slot_packet(make_packets()[0]));
    EXPECT_EQ(
        std::get<serving::slot_request>(request.value()),
        std::get<serving::slot_request>(make_packets()[0]));
}

TEST(slot_packet_fuzz, damaged_packets_end_in_a_packet_or_a_typed_error)
{
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    for (const slot_packet& packet : make_packets())
    {
        const std::string encoded = encode_slot_packet(packet);
        for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
             ++round)
        {
            const result<slot_packet> read =
                decode_slot_packet(testing_support::mutate(encoded, generator));
            if (!read)
            {
                ASSERT_EQ(read.error().kind, error_kind::invalid_input);
                ++rejected;
            }
        }
    }
    EXPECT_GT(rejected, 0U);
}

} // namespace chicory::wire
