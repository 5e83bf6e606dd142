#include "experiments/load/arrivals.hpp"
#include "experiments/load/batch_caller.hpp"
#include "experiments/load/latency_summary.hpp"
#include "experiments/load/load_plan.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

namespace chicory::load
{

TEST(arrivals, repeat_with_their_seed_and_keep_the_rate)
{
    arrival_settings settings;
    settings.rate_per_s = 100.0;
    arrivals first(settings, 7);
    arrivals second(settings, 7);
    duration last{0};
    for (int count = 0; count < 10000; ++count)
    {
        last = first.next();
        EXPECT_EQ(last, second.next());
    }
    EXPECT_NEAR(std::chrono::duration<double>(last).count(), 100.0, 5.0);
}

TEST(arrivals, come_more_often_during_bursts)
{
    arrival_settings settings;
    settings.pattern = arrival_pattern::bursts;
    settings.rate_per_s = 100.0;
    arrivals times(settings, 7);
    int in_bursts = 0;
    for (int count = 0; count < 9000; ++count)
    {
        in_bursts +=
            times.next() % settings.burst_period >= std::chrono::seconds(4) ? 1
                                                                            : 0;
    }
    // Four quiet seconds at 100 and one at 500 in each period.
    EXPECT_NEAR(in_bursts, 5000, 250);
}

TEST(latency_summary, gives_exact_percentiles)
{
    std::vector<duration> samples;
    for (int ms = 1; ms <= 1000; ++ms)
    {
        samples.push_back(std::chrono::milliseconds(ms));
    }
    const latency_summary summary = summarize(samples);
    EXPECT_NEAR(summary.p50_ms, 500.0, 1.0);
    EXPECT_NEAR(summary.p99_ms, 990.0, 1.0);
    EXPECT_EQ(summary.max_ms, 1000.0);
}

TEST(load_plan, names_the_field_that_is_wrong)
{
    EXPECT_TRUE(parse_online_source("route=a,rate=5,pattern=bursts"));
    EXPECT_NE(
        parse_online_source("rat=5").error().text.find("rat=5"),
        std::string::npos);
    EXPECT_FALSE(parse_batch_source("items=many"));
}

TEST(check_results, tells_lost_doubled_failed_and_wrong_items_apart)
{
    batch_source source;
    source.items = 5;
    std::map<std::string, std::string> expected;
    make_job(source, 1, expected);
    const auto line = [](const std::string& name, const std::string& body)
    {
        return R"({"custom_id":")" + name + R"(","response":{"body":)" + body +
               "}}\n";
    };
    std::string lines = line("batch-1-0", expected["batch-1-0"]);
    lines += line("batch-1-0", expected["batch-1-0"]);
    lines += line("batch-1-1", "{}");
    lines += R"({"custom_id":"batch-1-2","error":{"code":"x"}})"
             "\n";
    batch_result seen;
    check_results(lines, expected, seen);
    EXPECT_EQ(seen.completed, 1);
    EXPECT_EQ(seen.duplicates, 1);
    EXPECT_EQ(seen.wrong_bytes, 1);
    EXPECT_EQ(seen.failed, 1);
    EXPECT_EQ(seen.missing, 2);
}

TEST(batch_caller, makes_its_job_when_it_is_built)
{
    boost::asio::io_context context(1);
    net::http_client client(context.get_executor());
    entry_points entries(client, {});
    batch_source source;
    source.items = 100;
    const batch_caller caller(client, entries, source, 1, time_point{});
    SUCCEED();
}

} // namespace chicory::load
