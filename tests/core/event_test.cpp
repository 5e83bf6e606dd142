#include "core/core.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace chicory
{

namespace
{

std::string read_source(const std::string& name)
{
    std::ifstream file(std::string(CHICORY_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns "number name" for each match of a pattern with two groups, one for
/// the number and one for the name. Fails the test if a match repeats.
std::set<std::string>
find_all(const std::string& text, const std::string& pattern, bool name_first)
{
    std::set<std::string> found;
    const std::regex expression(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end;
         match != end;
         ++match)
    {
        const std::string number = match->str(name_first ? 2 : 1);
        const std::string name = match->str(name_first ? 1 : 2);
        EXPECT_TRUE(found.insert(number + " " + name).second) << name;
    }
    return found;
}

std::set<std::string> list_catalogue()
{
    std::set<std::string> lines;
    for (const event_entry& entry : event_catalogue())
    {
        const int number = static_cast<int>(entry.value);
        lines.insert(std::to_string(number) + " " + std::string(entry.name));
    }
    return lines;
}

TEST(event, has_a_catalogue_entry_for_each_enumerator)
{
    const auto enumerators = find_all(
        read_source("core/event.hpp"), "\n    ([a-z_]+) = ([0-9]+),", true);
    EXPECT_EQ(enumerators, list_catalogue());
}

TEST(event, matches_the_documented_catalogue)
{
    std::set<std::string> table;
    for (const event_entry& entry : event_catalogue())
    {
        std::ostringstream line;
        line << "| " << static_cast<int>(entry.value) << " | `" << entry.name
             << "` | " << name_of(entry.level) << " | " << entry.text << " |";
        table.insert(line.str());
    }
    std::set<std::string> documented;
    std::istringstream text(read_source("docs/EVENTS.md"));
    for (std::string line; std::getline(text, line);)
    {
        if (std::regex_search(line, std::regex("^\\| [0-9]")))
        {
            documented.insert(line);
        }
    }
    EXPECT_EQ(documented, table);
}

TEST(event, is_formatted_with_quoted_values)
{
    EXPECT_EQ(
        format_event(
            event::listening, {{"port", 80}, {"text", std::string("a \"b\"")}}),
        "info 104 listening port=80 text=\"a \\\"b\\\"\"");
}

TEST(reason, has_a_name_for_each_value_in_order)
{
    for (std::size_t index = 0; index < reason_names.size(); ++index)
    {
        EXPECT_EQ(
            static_cast<std::size_t>(reason_names.at(index).value), index);
    }
}

TEST(metrics, renders_counters_gauges_and_latencies)
{
    metrics values;
    values.count_refusal(reason::route_limit);
    values.count_retry(reason::runner_crashed);
    values.add("requests_total", 2);
    values.set("requests_in_progress", 5);
    for (int count = 1; count <= 100; ++count)
    {
        values.observe("first_byte", std::chrono::milliseconds(count));
    }
    const std::string text = values.render();
    for (const std::string line :
         {"chicory_refusals_total{reason=\"route_limit\"} 1\n",
          "chicory_refusals_total{reason=\"queue_time\"} 0\n",
          "chicory_retries_total{reason=\"runner_crashed\"} 1\n",
          "chicory_requests_total 2\n",
          "chicory_requests_in_progress 5\n",
          "chicory_first_byte_seconds_count 100\n"})
    {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
    const std::regex median("quantile=\"0.5\"\\} (0\\.[0-9]+)");
    std::smatch match;
    ASSERT_TRUE(std::regex_search(text, match, median)) << text;
    EXPECT_NEAR(std::stod(match[1]), 0.05, 0.005);
}

TEST(program, parses_the_command_line)
{
    const std::array<const char*, 4> arguments = {
        "gate", "--settings", "a.toml", "--check-settings"};
    const program_options options =
        parse_command_line(4, arguments.data(), "gate", "text");
    EXPECT_EQ(options.settings, "a.toml");
    EXPECT_TRUE(options.check_settings);
    EXPECT_FALSE(options.exit);
}

TEST(program, exits_after_a_usage_error_and_after_help)
{
    const std::array<const char*, 2> unknown = {"gate", "--colour"};
    EXPECT_EQ(
        parse_command_line(2, unknown.data(), "gate", "text").exit,
        exit_code::bad_usage);
    const std::array<const char*, 2> help = {"gate", "--help"};
    EXPECT_EQ(
        parse_command_line(2, help.data(), "gate", "text").exit,
        exit_code::success);
}

} // namespace

} // namespace chicory
