#include "core/core.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace chicory
{

namespace
{

const std::filesystem::path tests_folder =
    std::filesystem::path(CHICORY_SOURCE_DIR) / "tests/core";

/// Returns the error text that a file is expected to cause: its path and the
/// fault that a comment in its first line states.
std::string read_expected_fault(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    const std::string prefix = "# fault: ";
    EXPECT_TRUE(line.starts_with(prefix)) << path;
    return path.string() + ":" + line.substr(prefix.size());
}

void read_vm(settings_reader& reader)
{
    reader.required_string("vm.id");
    reader.required_address("vm.address");
    reader.required_port("vm.port");
    reader.optional_strings("vm.peers");
    reader.optional_bool("vm.plain", false);
}

std::string write_file(const std::string& text)
{
    const std::string path = testing::TempDir() + "chicory_settings.toml";
    std::ofstream(path) << text;
    return path;
}

TEST(settings_reader, reports_the_expected_fault_of_each_bad_file)
{
    int files = 0;
    const auto folder = tests_folder / "bad_settings";
    for (const auto& entry : std::filesystem::directory_iterator(folder))
    {
        ++files;
        result<settings_reader> reader =
            settings_reader::open(entry.path().string());
        ASSERT_TRUE(reader) << reader.error().text;
        read_vm(reader.value());
        const result<void> finished = reader.value().finish();
        ASSERT_FALSE(finished) << entry.path();
        EXPECT_EQ(finished.error().kind, error_kind::invalid_input);
        EXPECT_EQ(finished.error().text, read_expected_fault(entry.path()));
    }
    EXPECT_EQ(files, 11);
}

TEST(settings_reader, reads_values_and_defaults)
{
    const std::string path = write_file(
        "[vm]\nid = \"a\"\naddress = \"::1\"\nport = 1\npeers = [\"b\"]\n");
    settings_reader reader = settings_reader::open(path).value();
    EXPECT_EQ(reader.required_string("vm.id"), "a");
    EXPECT_EQ(reader.required_address("vm.address"), "::1");
    EXPECT_EQ(reader.required_port("vm.port"), 1);
    EXPECT_EQ(
        reader.required_strings("vm.peers"), std::vector<std::string>{"b"});
    EXPECT_TRUE(reader.optional_bool("vm.plain", true));
    EXPECT_EQ(reader.optional_integer("vm.slots", 7, 0, 9), 7);
    EXPECT_TRUE(reader.finish());
}

TEST(settings_reader, reports_all_faults_of_a_file_together)
{
    const std::string path = write_file("[vm]\nid = 3\nport = 0\n");
    settings_reader reader = settings_reader::open(path).value();
    read_vm(reader);
    EXPECT_FALSE(reader.finish());
    EXPECT_EQ(reader.faults().size(), 3U);
}

TEST(settings_reader, reports_a_missing_file)
{
    const auto reader = settings_reader::open("/nonexistent/gate.toml");
    ASSERT_FALSE(reader);
    EXPECT_TRUE(reader.error().text.starts_with(
        "/nonexistent/gate.toml:0: expected a file that can be read"))
        << reader.error().text;
}

TEST(settings_reader, reports_the_line_of_a_syntax_error)
{
    const std::string path = write_file("[vm]\nid = = 3\n");
    const auto reader = settings_reader::open(path);
    ASSERT_FALSE(reader);
    EXPECT_TRUE(reader.error().text.starts_with(path + ":2: expected TOML"))
        << reader.error().text;
}

TEST(chart, reports_the_expected_fault_of_each_bad_file)
{
    int files = 0;
    const auto folder = tests_folder / "bad_charts";
    for (const auto& entry : std::filesystem::directory_iterator(folder))
    {
        ++files;
        const result<chart> loaded = chart::load(entry.path().string());
        ASSERT_FALSE(loaded) << entry.path();
        EXPECT_EQ(loaded.error().text, read_expected_fault(entry.path()));
    }
    EXPECT_EQ(files, 5);
}

TEST(chart, follows_transitions_and_rejects_impossible_events)
{
    const std::string path = write_file(
        "[chart]\nname = \"lease\"\ninitial = \"free\"\n"
        "states = [\"free\", \"held\"]\nevents = [\"take\"]\n"
        "[[transition]]\nfrom = \"free\"\nevent = \"take\"\nto = \"held\"\n"
        "[[impossible]]\nstate = \"held\"\nevent = \"take\"\n"
        "reason = \"It has a holder.\"\n");
    const result<chart> loaded = chart::load(path);
    ASSERT_TRUE(loaded) << loaded.error().text;
    const chart& lease = loaded.value();
    const std::size_t take = lease.event("take").value();
    const std::size_t held = lease.next(lease.initial(), take).value();
    EXPECT_EQ(lease.state_name(held), "held");
    EXPECT_EQ(lease.next(held, take).error().kind, error_kind::conflict);
    EXPECT_EQ(lease.state("lost").error().kind, error_kind::not_found);
}

} // namespace

} // namespace chicory
