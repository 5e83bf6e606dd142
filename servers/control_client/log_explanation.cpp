#include "servers/control_client/log_explanation.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <optional>
#include <set>
#include <utility>

namespace chicory::control
{

namespace
{

/// Number of characters of a time such as 2026-12-04T03:45:44.123456Z.
constexpr std::size_t time_length = 27;
constexpr std::int64_t microseconds_per_second = 1000000;

/// Events that end a request, an item or a job.
constexpr std::array<std::string_view, 10> final_events = {
    "access_refused",
    "request_refused",
    "request_failed",
    "request_completed",
    "request_abandoned",
    "request_cut_off",
    "item_finished",
    "item_failed",
    "job_completed",
    "job_cancelled"};

std::optional<std::int64_t> parse_time(std::string_view text)
{
    std::tm parts{};
    int micro = 0;
    int used = 0;
    const std::string copy(text.substr(0, time_length));
    const int found = std::sscanf(
        copy.c_str(),
        "%4d-%2d-%2dT%2d:%2d:%2d.%6dZ%n",
        &parts.tm_year,
        &parts.tm_mon,
        &parts.tm_mday,
        &parts.tm_hour,
        &parts.tm_min,
        &parts.tm_sec,
        &micro,
        &used);
    if (found != 7 || used != static_cast<int>(time_length))
    {
        return std::nullopt;
    }
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return static_cast<std::int64_t>(timegm(&parts)) * microseconds_per_second +
           micro;
}

/// Removes an unquoted or quoted value from the front of a text and returns it
/// without quotes.
std::string extract_value(std::string_view& rest)
{
    std::string value;
    if (!rest.starts_with('"'))
    {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"')
    {
        if (rest.front() == '\\' && rest.size() > 1)
        {
            rest.remove_prefix(1);
        }
        value.push_back(rest.front());
        rest.remove_prefix(1);
    }
    rest.remove_prefix(std::min<std::size_t>(1, rest.size()));
    return value;
}

std::string find_field(const log_line& line, std::string_view name)
{
    for (const auto& [field, value] : line.fields)
    {
        if (field == name)
        {
            return value;
        }
    }
    return std::string();
}

bool contains_id(const log_line& line, const std::string& id)
{
    return std::any_of(
        line.fields.begin(),
        line.fields.end(),
        [&id](const auto& field)
        {
            return field.second == id;
        });
}

/// Identifies a slot by the node that requested it and its number at that node.
using slot_key = std::pair<std::string, std::string>;

slot_key find_slot(const log_line& line)
{
    const std::string node = find_field(line, "node");
    return {node.empty() ? line.vm : node, find_field(line, "slot")};
}

bool is_from_coordinator(const log_line& line)
{
    return !find_field(line, "node").empty();
}

struct parsed_logs
{
    std::vector<log_line> lines;
    std::size_t unreadable = 0;
};

parsed_logs parse_files(const std::vector<log_file>& files)
{
    parsed_logs logs;
    for (const log_file& file : files)
    {
        std::string_view rest = file.text;
        while (!rest.empty())
        {
            const std::size_t end = std::min(rest.find('\n'), rest.size());
            const std::string_view text = rest.substr(0, end);
            rest.remove_prefix(std::min(end + 1, rest.size()));
            result<log_line> line = parse_log_line(text);
            if (line)
            {
                logs.lines.push_back(std::move(line.value()));
            }
            else if (!text.empty())
            {
                ++logs.unreadable;
            }
        }
    }
    return logs;
}

/// Corrects the clocks of coordinators, so that each of their lines comes
/// before the lines of the nodes that show its effect.
void align_clocks(std::vector<log_line>& lines)
{
    std::map<std::string, std::int64_t> corrections;
    for (const log_line& decision : lines)
    {
        if (!is_from_coordinator(decision))
        {
            continue;
        }
        for (const log_line& effect : lines)
        {
            if (!is_from_coordinator(effect) &&
                find_slot(effect) == find_slot(decision) &&
                decision.time_us >= effect.time_us)
            {
                std::int64_t& correction = corrections[decision.vm];
                correction =
                    std::max(correction, decision.time_us - effect.time_us + 1);
            }
        }
    }
    for (log_line& line : lines)
    {
        if (const auto found = corrections.find(line.vm);
            found != corrections.end())
        {
            line.time_us -= found->second;
        }
    }
}

std::string format_line(const log_line& line, std::int64_t first_us)
{
    std::array<char, 32> offset{};
    std::snprintf(
        offset.data(),
        offset.size(),
        "%+10.3f s  ",
        static_cast<double>(line.time_us - first_us) /
            static_cast<double>(microseconds_per_second));
    std::string text = offset.data() + line.vm + "  " + line.event;
    for (const auto& [name, value] : line.fields)
    {
        if (name != "program" && name != "vm")
        {
            text += "  " + name + "=" + value;
        }
    }
    return text + "\n";
}

/// Counts the reports of dropped lines by VMs of the found lines, from one
/// second before the first found line to one second after the last.
std::size_t
count_gaps(const std::vector<log_line>& all, const std::vector<log_line>& found)
{
    std::set<std::string> vms;
    for (const log_line& line : found)
    {
        vms.insert(line.vm);
    }
    const std::int64_t from = found.front().time_us - microseconds_per_second;
    const std::int64_t to = found.back().time_us + microseconds_per_second;
    return static_cast<std::size_t>(std::count_if(
        all.begin(),
        all.end(),
        [&](const log_line& line)
        {
            return line.event == "lines_left_out" && vms.contains(line.vm) &&
                   line.time_us >= from && line.time_us <= to;
        }));
}

/// Returns why no run of an item began after its last line, and what would end
/// that; empty if the last line does not say that the item is held.
std::string describe_hold(const std::vector<log_line>& found)
{
    constexpr std::array<std::pair<std::string_view, std::string_view>, 3>
        causes = {{
            {"exceeds_memory",
             "larger than the memory of every runner by the configuration; it "
             "runs once kv_capacity of its service is at least its tokens"},
            {"other_weights",
             "no runner that was tried has the weights that it names; it runs "
             "once a runner of its service has them"},
            {"refused",
             "the runners that were tried refused it while they had idle "
             "slots, mostly because their memory is too small; it is tried "
             "again, and at once when a runner is added or restarted"},
        }};
    if (found.back().event != "item_held")
    {
        return "";
    }
    const std::string reason = find_field(found.back(), "reason");
    for (const auto& [name, text] : causes)
    {
        if (name == reason)
        {
            return "Held: " + std::string(text) + "\n";
        }
    }
    return "Held: " + reason + "\n";
}

} // namespace

result<log_line> parse_log_line(std::string_view text)
{
    for (std::size_t at = text.find("20"); at != std::string_view::npos;
         at = text.find("20", at + 1))
    {
        const std::optional<std::int64_t> time = parse_time(text.substr(at));
        if (!time)
        {
            continue;
        }
        std::string_view rest = text.substr(at + time_length);
        log_line line;
        line.time_us = *time;
        std::vector<std::string> words;
        while (!rest.empty())
        {
            rest.remove_prefix(
                std::min(rest.find_first_not_of(' '), rest.size()));
            const std::size_t end =
                std::min(rest.find_first_of(" ="), rest.size());
            std::string name(rest.substr(0, end));
            rest.remove_prefix(end);
            if (!rest.starts_with('='))
            {
                words.push_back(std::move(name));
                continue;
            }
            rest.remove_prefix(1);
            std::string value = extract_value(rest);
            if (name == "vm" && line.vm.empty())
            {
                line.vm = value;
            }
            line.fields.emplace_back(std::move(name), std::move(value));
        }
        // The words are the severity, the number and the name of the event.
        if (words.size() >= 3)
        {
            line.event = words[2];
            return line;
        }
    }
    return make_error(
        error_kind::invalid_input,
        "log: expected a time, a severity, a number and an event, found " +
            std::string(text.substr(0, 60)));
}

result<command_report>
explain_log(const std::string& id, const std::vector<log_file>& files)
{
    const parsed_logs logs = parse_files(files);
    if (logs.lines.empty())
    {
        return make_error(
            error_kind::invalid_input,
            "logs: expected lines of events, found none in " +
                std::to_string(files.size()) + " files");
    }
    std::vector<log_line> found;
    std::set<slot_key> slots;
    for (const log_line& line : logs.lines)
    {
        if (contains_id(line, id))
        {
            found.push_back(line);
            if (const slot_key slot = find_slot(line);
                !slot.second.empty() && slot.second != "0")
            {
                slots.insert(slot);
            }
        }
    }
    if (found.empty())
    {
        return make_error(
            error_kind::not_found,
            "logs: expected a line that names " + id + ", found none in " +
                std::to_string(logs.lines.size()) + " lines");
    }
    for (const log_line& line : logs.lines)
    {
        if (is_from_coordinator(line) && !contains_id(line, id) &&
            slots.contains(find_slot(line)))
        {
            found.push_back(line);
        }
    }
    align_clocks(found);
    std::stable_sort(
        found.begin(),
        found.end(),
        [](const log_line& left, const log_line& right)
        {
            return left.time_us < right.time_us;
        });
    command_report report;
    const log_line* final_line = nullptr;
    for (const log_line& line : found)
    {
        report.text += format_line(line, found.front().time_us);
        if (std::find(final_events.begin(), final_events.end(), line.event) !=
            final_events.end())
        {
            final_line = &line;
        }
    }
    report.text += final_line == nullptr ? "Ended: no line shows how\n"
                                         : "Ended by " + final_line->event +
                                               " at " + final_line->vm + "\n";
    report.text += describe_hold(found);
    if (const std::size_t gaps = count_gaps(logs.lines, found); gaps > 0)
    {
        report.text += "Lines may be missing: " + std::to_string(gaps) +
                       " times lines were left out meanwhile\n";
    }
    if (logs.unreadable > 0)
    {
        report.text += std::to_string(logs.unreadable) +
                       " lines could not be read and were passed over\n";
    }
    report.content["id"] = id;
    report.content["lines"] = found.size();
    report.content["ended_by"] = final_line == nullptr ? "" : final_line->event;
    report.content["unreadable"] = logs.unreadable;
    return report;
}

} // namespace chicory::control
