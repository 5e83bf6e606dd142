#include "policy/online/online.hpp"

#include <gtest/gtest.h>

namespace chicory::online
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

std::vector<placed_vm> make_candidates(int count)
{
    std::vector<placed_vm> candidates;
    for (int i = 0; i < count; ++i)
    {
        const std::string zone = "z" + std::to_string(i % 2);
        candidates.push_back({"w" + std::to_string(i), "r", zone});
    }
    return candidates;
}

runner_summary make_summary(std::int64_t load, duration latency)
{
    runner_summary summary;
    summary.online_in_progress = load;
    summary.limit = 8;
    summary.latency = latency;
    return summary;
}

} // namespace

TEST(runner_chooser, own_zone_is_preferred_while_it_has_capacity)
{
    runner_chooser chooser("r", "z0", 1);
    const std::vector<placed_vm> candidates = make_candidates(4);
    for (const placed_vm& candidate : candidates)
    {
        const bool near = candidate.zone == "z0";
        chooser.probed(
            candidate.id, make_summary(near ? 6 : 0, milliseconds(50)), start);
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 6; ++i)
    {
        chosen[chooser.choose({}, candidates, start)] += 1;
    }
    EXPECT_EQ(chosen["w0"], 2);
    EXPECT_EQ(chosen["w2"], 2);
    EXPECT_EQ(chosen["w1"] + chosen["w3"], 2);
}

TEST(runner_chooser, avoided_and_failed_runners_are_not_chosen)
{
    runner_chooser chooser("r", "z0", 1);
    const std::vector<placed_vm> candidates = make_candidates(3);
    chooser.failed("w0", start);
    EXPECT_EQ(chooser.choose({0, 0, {"w1"}}, candidates, start), "w2");
    EXPECT_EQ(chooser.choose({0, 0, {"w1", "w2"}}, candidates, start), "w0");
    EXPECT_EQ(
        chooser.choose({0, 0, {"w0", "w1", "w2"}}, candidates, start), "");
}

TEST(runner_chooser, a_prefix_stays_on_its_runner_until_the_runner_is_busier)
{
    runner_chooser chooser("r", "z9", 1);
    const std::vector<placed_vm> candidates = make_candidates(4);
    const std::uint64_t key = make_prefix_key("m", "Describe the tile");
    const auto probe_all = [&](const std::string& busy)
    {
        for (const placed_vm& candidate : candidates)
        {
            const std::int64_t load = candidate.id == busy ? 7 : 1;
            chooser.probed(
                candidate.id, make_summary(load, milliseconds(50)), start);
        }
    };
    probe_all("");
    const std::string preferred =
        chooser.choose({key, 0, {}}, candidates, start);
    probe_all("");
    EXPECT_EQ(chooser.choose({key, 0, {}}, candidates, start), preferred);
    probe_all(preferred);
    EXPECT_NE(chooser.choose({key, 0, {}}, candidates, start), preferred);
}

TEST(runner_chooser, prefix_keys_of_members_differ)
{
    EXPECT_NE(make_prefix_key("a", "same"), make_prefix_key("b", "same"));
}

TEST(runner_chooser, all_gates_send_a_suspect_to_the_same_runner)
{
    runner_chooser first("r", "z0", 1);
    runner_chooser second("r", "z1", 2);
    const std::vector<placed_vm> candidates = make_candidates(6);
    second.probed("w1", make_summary(0, milliseconds(1)), start);
    EXPECT_EQ(
        first.choose({0, 77, {}}, candidates, start),
        second.choose({0, 77, {}}, candidates, start));
}

TEST(runner_chooser, recent_probes_are_not_repeated)
{
    runner_chooser chooser("r", "z0", 1);
    const std::vector<placed_vm> candidates = make_candidates(2);
    EXPECT_EQ(chooser.probes_due({}, candidates, start).size(), 2U);
    chooser.probed("w0", make_summary(0, milliseconds(1)), start);
    EXPECT_EQ(
        chooser.probes_due({}, candidates, start),
        std::vector<std::string>{"w1"});
    EXPECT_EQ(
        chooser.probes_due({}, candidates, start + milliseconds(10)).size(),
        2U);
}

TEST(
    runner_chooser,
    few_runners_are_probed_including_the_one_preferred_by_the_prefix)
{
    runner_chooser chooser("r", "z0", 1);
    const std::vector<placed_vm> candidates = make_candidates(40);
    EXPECT_EQ(chooser.probes_due({}, candidates, start).size(), 3U);
    for (std::uint64_t key = 1; key < 100; ++key)
    {
        runner_requirements requirements;
        requirements.prefix_key = key;
        const std::vector<std::string> due =
            chooser.probes_due(requirements, candidates, start);
        EXPECT_EQ(due.size(), 4U);
        for (const std::string& runner : due)
        {
            chooser.probed(runner, make_summary(1, milliseconds(1)), start);
        }
        EXPECT_EQ(chooser.choose(requirements, candidates, start), due.front());
        chooser.retain_only({});
    }
}

TEST(runner_chooser, a_recent_response_is_preferred_to_an_older_one)
{
    runner_chooser chooser("r", "z9", 1);
    const std::vector<placed_vm> candidates = make_candidates(3);
    chooser.probed("w0", make_summary(0, milliseconds(1)), start);
    const time_point later = start + milliseconds(200);
    chooser.probed("w1", make_summary(5, milliseconds(9)), later);
    chooser.probed("w2", make_summary(3, milliseconds(9)), later);
    EXPECT_EQ(chooser.choose({}, candidates, later), "w2");
}

} // namespace chicory::online
