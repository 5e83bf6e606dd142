#include "experiments/load/arrivals.hpp"
#include "experiments/load/batch_caller.hpp"
#include "experiments/load/latency_summary.hpp"
#include "experiments/load/load_plan.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

namespace chicory::load
{

TEST(arrivals, are_reproducible_and_match_the_rate)
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

TEST(arrivals, are_more_frequent_during_bursts)
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
    // Each period has four seconds at 100 requests/s and one at 500.
    EXPECT_NEAR(in_bursts, 5000, 250);
}

TEST(latency_summary, computes_exact_percentiles)
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

TEST(load_plan, reports_the_malformed_field)
{
    EXPECT_TRUE(parse_online_source("route=a,rate=5,pattern=bursts"));
    EXPECT_NE(
        parse_online_source("rat=5").error().text.find("rat=5"),
        std::string::npos);
    EXPECT_FALSE(parse_batch_source("items=many"));
}

TEST(check_results, distinguishes_missing_duplicate_failed_and_wrong_items)
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
    batch_result job_result;
    check_results(lines, expected, job_result);
    EXPECT_EQ(job_result.completed, 1);
    EXPECT_EQ(job_result.duplicates, 1);
    EXPECT_EQ(job_result.wrong_bytes, 1);
    EXPECT_EQ(job_result.failed, 1);
    EXPECT_EQ(job_result.missing, 2);
}

// Guards against a wrong member order: the initializer of the job lines fills
// the map of expected responses, which must already be constructed.
TEST(batch_caller, builds_its_job_in_the_constructor)
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
