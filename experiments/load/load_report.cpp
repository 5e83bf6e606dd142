#include "experiments/load/load_report.hpp"

#include <iomanip>
#include <set>
#include <sstream>

namespace chicory::load
{

namespace json = boost::json;

namespace
{

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

bool is_complete(const sample& value)
{
    return value.outcome == request_outcome::answered ||
           value.outcome == request_outcome::late;
}

latency_summary summarize_field(
    const load_report& report,
    const std::string& source,
    duration sample::*field)
{
    std::vector<duration> values;
    for (const sample& value : report.samples)
    {
        if (is_complete(value) && (source.empty() || value.source == source))
        {
            values.push_back(value.*field);
        }
    }
    return summarize(values);
}

void add_row(
    std::ostringstream& table,
    const std::string& name,
    const latency_summary& values)
{
    table << std::left << std::setw(22) << name << std::right << std::setw(8)
          << values.count << std::fixed << std::setprecision(1);
    for (const double value :
         {values.p50_ms,
          values.p90_ms,
          values.p99_ms,
          values.p999_ms,
          values.max_ms})
    {
        table << std::setw(10) << value;
    }
    table << "\n";
}

} // namespace

std::map<request_outcome, std::int64_t>
count_outcomes(const load_report& report, const std::string& source)
{
    std::map<request_outcome, std::int64_t> counts;
    for (const sample& value : report.samples)
    {
        if (source.empty() || value.source == source)
        {
            ++counts[value.outcome];
        }
    }
    return counts;
}

latency_summary
summarize_latency(const load_report& report, const std::string& source)
{
    return summarize_field(report, source, &sample::latency);
}

latency_summary
summarize_first_byte(const load_report& report, const std::string& source)
{
    return summarize_field(report, source, &sample::first_byte);
}

json::object to_json(const sample& value)
{
    json::object line;
    line["source"] = value.source;
    line["request"] = value.request;
    line["intended_ms"] = to_ms(value.intended);
    line["first_byte_ms"] = to_ms(value.first_byte);
    line["latency_ms"] = to_ms(value.latency);
    line["sends"] = value.sends;
    line["end"] = std::string(find_name(request_outcome_names, value.outcome));
    line["code"] = value.code;
    return line;
}

json::object to_json(const batch_result& value)
{
    json::object line;
    line["source"] = value.source;
    line["job"] = value.job;
    line["accepted"] = value.accepted;
    line["items"] = value.items;
    line["completed"] = value.completed;
    line["failed"] = value.failed;
    line["wrong_bytes"] = value.wrong_bytes;
    line["doubled"] = value.duplicates;
    line["missing"] = value.missing;
    line["took_ms"] = to_ms(value.elapsed);
    return line;
}

std::string format_table(const load_report& report)
{
    std::set<std::string> sources;
    for (const sample& value : report.samples)
    {
        sources.insert(value.source);
    }
    std::ostringstream table;
    table << "ms from intended start   count       p50       p90       p99"
             "     p99.9       max\n";
    for (const std::string& source : sources)
    {
        add_row(table, source, summarize_latency(report, source));
        add_row(
            table,
            source + " first byte",
            summarize_first_byte(report, source));
    }
    for (const std::string& source : sources)
    {
        table << source << ":";
        for (const auto& [outcome, count] : count_outcomes(report, source))
        {
            table << " " << find_name(request_outcome_names, outcome) << "="
                  << count;
        }
        table << "\n";
    }
    for (const batch_result& batch : report.batches)
    {
        table << "batch " << json::serialize(to_json(batch)) << "\n";
    }
    return table.str();
}

} // namespace chicory::load
