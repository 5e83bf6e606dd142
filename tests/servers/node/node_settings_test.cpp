#include "servers/node/node.hpp"
#include "tests/process/node_settings_text.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <fstream>
#include <string>

namespace chicory::node
{

namespace
{

result<node_settings> read(const std::string& times)
{
    const std::string path =
        ::testing::TempDir() + "node_settings_test_node.toml";
    std::ofstream(path) << process::make_node_settings(
                               {"127.0.0.1", 1}, {"127.0.0.1", 2}, 3, "info")
                        << "[times]\n"
                        << times;
    return read_node_settings(path);
}

} // namespace

// Guards against a process that the platform starts again without end, because
// it states its grace period with a fraction.
TEST(node_settings_test, times_in_seconds_may_have_a_fraction)
{
    const auto found = read("stop_grace_s = 7.25\nresult_lifetime_s = 120.5\n"
                            "entry_time_to_live_s = 3\n");
    ASSERT_TRUE(found) << found.error().text;
    EXPECT_EQ(found.value().stop_grace, std::chrono::milliseconds(7250));
    EXPECT_EQ(found.value().result_lifetime, std::chrono::milliseconds(120500));
    EXPECT_EQ(found.value().entry_time_to_live, std::chrono::seconds(3));
}

TEST(node_settings_test, bad_times_are_refused_by_name)
{
    for (const std::string value : {"0.5", "-1", "nan", "inf", "\"8\"", "1e9"})
    {
        const auto found = read("stop_grace_s = " + value + "\n");
        ASSERT_FALSE(found) << value;
        EXPECT_NE(
            found.error().text.find("times.stop_grace_s"), std::string::npos)
            << found.error().text;
    }
}

} // namespace chicory::node
