#include "tests/process/child_process.hpp"
#include "tests/process/http_call.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace chicory::process
{

namespace
{

constexpr int success = 0;
constexpr int refused = 1;
constexpr int conflict = 3;
constexpr int not_found = 5;
constexpr int unavailable = 6;
constexpr int bad_usage = 64;

const std::string binary_folder = CHICORY_BINARY_DIR;

/// Runs the program chicoryctl against a stand-in of the platform.
class chicoryctl_test : public testing::Test
{
protected:
    void SetUp() override
    {
        this->platform = std::make_unique<child_process>(
            binary_folder + "/tests/standin-platform",
            std::vector<std::string>{},
            this->path("platform.log"));
        this->port = this->platform->wait_for_port();
        ASSERT_NE(this->port, 0);
        std::ofstream file(this->path("chicoryctl.toml"));
        file << "operator = \"anna\"\ngates = [\"127.0.0.1:" << find_free_port()
             << "\"]\n[platform]\n";
        for (const std::string service :
             {"table_service", "object_store", "vm_list"})
        {
            file << service << "_address = \"127.0.0.1\"\n"
                 << service << "_port = " << this->port << "\n";
        }
    }

    static std::string path(const std::string& name)
    {
        const testing::TestInfo* const test =
            testing::UnitTest::GetInstance()->current_test_info();
        return testing::TempDir() + "chicoryctl_" + test->name() + "_" + name;
    }

    std::unique_ptr<child_process>
    start(std::vector<std::string> arguments, const std::string& log)
    {
        arguments.insert(
            arguments.begin(), {"--settings", this->path("chicoryctl.toml")});
        return std::make_unique<child_process>(
            binary_folder + "/chicoryctl",
            std::move(arguments),
            this->path(log));
    }

    int run(std::vector<std::string> arguments)
    {
        const auto process = this->start(std::move(arguments), "run.log");
        const int code = process->wait();
        this->printed = process->output();
        return code;
    }

    int set_pool(std::vector<std::string> more)
    {
        std::vector<std::string> arguments = {"pool", "set", "llm"};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return this->run(std::move(arguments));
    }

    std::unique_ptr<child_process> platform;
    std::uint16_t port = 0;
    std::string printed;
};

TEST_F(chicoryctl_test, edits_and_shows_rows)
{
    EXPECT_EQ(this->set_pool({"service=llm"}), success) << this->printed;
    EXPECT_EQ(this->run({"--json", "pool", "show", "llm"}), success);
    boost::json::value shown = boost::json::parse(this->printed);
    EXPECT_EQ(shown.at("service").as_string(), "llm");
    EXPECT_EQ(
        this->run({"route", "set", "chat", "member=a", "pool=llm"}), success);
    EXPECT_EQ(this->run({"pool", "delete", "llm"}), conflict);
    EXPECT_EQ(this->run({"route", "set", "b", "member=a", "pool=x"}), refused);
    EXPECT_EQ(this->run({"route", "delete", "none"}), not_found);
    EXPECT_EQ(this->run({"--json", "history"}), success);
    boost::json::value history = boost::json::parse(this->printed);
    EXPECT_EQ(history.at("entries").as_array().size(), 2U);
    EXPECT_EQ(this->run({"undo", "2"}), success) << this->printed;
    EXPECT_EQ(this->run({"route", "show", "chat"}), not_found);
}

TEST_F(chicoryctl_test, commits_one_of_several_concurrent_edits)
{
    ASSERT_EQ(this->set_pool({"service=llm"}), success);
    this->run({"--json", "pool", "show", "llm"});
    const std::string revision = boost::json::serialize(
        boost::json::parse(this->printed).at("revision"));
    std::vector<std::unique_ptr<child_process>> editors;
    for (const std::string weight : {"10", "20", "30", "40"})
    {
        editors.push_back(this->start(
            {"pool",
             "set",
             "llm",
             "harm_weight=" + weight,
             "--expect-revision",
             revision},
            "editor" + weight + ".log"));
    }
    std::vector<int> codes;
    for (const auto& editor : editors)
    {
        codes.push_back(editor->wait());
    }
    EXPECT_EQ(std::count(codes.begin(), codes.end(), success), 1);
    EXPECT_EQ(std::count(codes.begin(), codes.end(), conflict), 3);
    this->run({"--json", "history"});
    boost::json::value history = boost::json::parse(this->printed);
    EXPECT_EQ(history.at("entries").as_array().size(), 2U);
}

TEST_F(chicoryctl_test, reports_an_unavailable_platform_or_gate)
{
    EXPECT_EQ(this->run({"vm", "list"}), success);
    EXPECT_EQ(this->run({"status"}), unavailable);
    EXPECT_NE(this->printed.find("no answer"), std::string::npos);
    post(
        this->port,
        "/control/faults",
        R"({"service":"table","mode":"down","delay_ms":0,"count":0})");
    EXPECT_EQ(this->set_pool({"service=llm"}), unavailable);
    EXPECT_EQ(this->run({"job", "list"}), unavailable);
}

TEST_F(chicoryctl_test, rejects_unknown_commands)
{
    EXPECT_EQ(this->run({"pool", "paint", "llm"}), bad_usage);
    EXPECT_EQ(this->run({}), bad_usage);
    EXPECT_EQ(this->run({"--help"}), success);
    EXPECT_EQ(this->run({"--version"}), success);
}

} // namespace

} // namespace chicory::process
