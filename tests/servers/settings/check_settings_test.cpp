#include "tests/process/child_process.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace chicory::process
{

namespace
{

namespace fs = std::filesystem;

constexpr int bad_settings_code = 2;
const fs::path source_folder = CHICORY_SOURCE_DIR;
const fs::path binary_folder = CHICORY_BINARY_DIR;

/// Output and exit code of a program.
struct run_outcome
{
    int exit_code = 0;
    std::string output;
};

run_outcome check_settings(const std::string& program, const fs::path& file)
{
    child_process process(
        (binary_folder / program).string(),
        {"--settings", file.string(), "--check-settings"},
        testing::TempDir() + "chicory_check_settings.log");
    run_outcome outcome;
    outcome.exit_code = process.wait();
    outcome.output = process.output();
    return outcome;
}

/// Returns the message expected for a file, made from the fault in its first
/// line.
std::string read_expected_fault(const fs::path& path)
{
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    const std::string prefix = "# fault: ";
    EXPECT_TRUE(line.starts_with(prefix)) << path;
    return path.string() + ":" + line.substr(prefix.size()) + "\n";
}

std::vector<fs::path> list_files(const fs::path& folder)
{
    std::vector<fs::path> files;
    for (const auto& entry : fs::recursive_directory_iterator(folder))
    {
        if (entry.path().extension() == ".toml")
        {
            files.push_back(entry.path());
        }
    }
    EXPECT_FALSE(files.empty()) << folder;
    return files;
}

/// Checks that a program reports the expected fault of each file of a folder.
void expect_faults(const std::string& program, const std::string& folder)
{
    const fs::path files = source_folder / "tests/servers/settings" / folder;
    for (const fs::path& file : list_files(files))
    {
        const run_outcome outcome = check_settings(program, file);
        EXPECT_EQ(outcome.exit_code, bad_settings_code) << program << file;
        EXPECT_NE(
            outcome.output.find(read_expected_fault(file)), std::string::npos)
            << program << " wrote: " << outcome.output;
    }
}

TEST(check_settings, reports_the_fault_of_each_bad_file_of_an_entry_vm)
{
    for (const std::string program :
         {"chicory-gate", "chicory-batch", "chicory-control"})
    {
        expect_faults(program, "bad");
    }
}

TEST(check_settings, reports_the_fault_of_each_bad_file_of_the_client)
{
    expect_faults("chicoryctl", "bad_client");
}

TEST(check_settings, reports_an_invalid_chart)
{
    const fs::path folder = source_folder / "tests/servers/settings/bad_charts";
    const fs::path file = folder / "settings.toml";
    // Paths of charts are relative to the working directory of the program.
    const run_outcome outcome = check_settings("chicory-batch", file);
    EXPECT_EQ(outcome.exit_code, bad_settings_code);
    EXPECT_NE(
        outcome.output.find(
            "tests/servers/settings/bad_charts/job.toml:2: initial names the "
            "unknown \"received\""),
        std::string::npos)
        << outcome.output;
    // Only the batch process reads charts.
    EXPECT_EQ(check_settings("chicory-gate", file).exit_code, 0);
}

TEST(check_settings, reports_a_missing_file)
{
    for (const std::string program :
         {"chicory-gate", "chicory-batch", "chicory-control", "chicoryctl"})
    {
        const run_outcome outcome = check_settings(program, "/no/such.toml");
        EXPECT_EQ(outcome.exit_code, bad_settings_code) << program;
        EXPECT_NE(outcome.output.find("/no/such.toml:0:"), std::string::npos)
            << outcome.output;
    }
}

TEST(check_settings, accepts_the_examples)
{
    for (const fs::path& file : list_files(source_folder / "examples"))
    {
        const bool is_client = file.filename() == "chicoryctl.toml";
        const std::vector<std::string> programs =
            is_client ? std::vector<std::string>{"chicoryctl"}
                      : std::vector<std::string>{
                            "chicory-gate", "chicory-batch", "chicory-control"};
        for (const std::string& program : programs)
        {
            const run_outcome outcome = check_settings(program, file);
            EXPECT_EQ(outcome.exit_code, 0) << file << outcome.output;
        }
    }
}

} // namespace

} // namespace chicory::process
