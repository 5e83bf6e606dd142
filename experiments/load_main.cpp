#include "experiments/load/load_run.hpp"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

constexpr int bad_use = 2;
constexpr int wrong_answers = 3;

/// Parses every source; prints what is wrong and returns false otherwise.
bool parse_sources(
    const std::vector<std::string>& online,
    const std::vector<std::string>& batches,
    chicory::load::load_plan& plan)
{
    for (const std::string& text : online)
    {
        const auto source = chicory::load::parse_online_source(text);
        if (!source)
        {
            std::cerr << "--online: " << source.error().text << "\n";
            return false;
        }
        plan.online.push_back(source.value());
    }
    for (const std::string& text : batches)
    {
        const auto source = chicory::load::parse_batch_source(text);
        if (!source)
        {
            std::cerr << "--batch: " << source.error().text << "\n";
            return false;
        }
        plan.batches.push_back(source.value());
    }
    return true;
}

void write_samples(
    const chicory::load::load_report& report, const std::string& file_name)
{
    std::ofstream file(file_name);
    for (const chicory::load::sample& value : report.samples)
    {
        file << boost::json::serialize(chicory::load::to_json(value)) << "\n";
    }
    for (const chicory::load::batch_result& value : report.batches)
    {
        file << boost::json::serialize(chicory::load::to_json(value)) << "\n";
    }
}

/// True when some caller got bytes that its request must not give.
bool has_wrong_answers(const chicory::load::load_report& report)
{
    const auto ends = chicory::load::count_ends(report, "");
    bool wrong = ends.count(chicory::load::request_end::wrong_bytes) > 0;
    for (const chicory::load::batch_result& batch : report.batches)
    {
        wrong = wrong || batch.wrong_bytes > 0 || batch.duplicates > 0;
    }
    return wrong;
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Sends an open-loop load to a fleet and checks each answer");
    std::vector<std::string> entries;
    std::vector<std::string> online;
    std::vector<std::string> batches;
    std::string samples_file;
    double seconds = 10.0;
    double patience_s = 60.0;
    chicory::load::load_plan plan;
    app.add_option("--entry", entries, "ADDRESS:PORT of a gate")->required();
    app.add_option(
        "--online",
        online,
        "name=,route=,key=,path=,pattern=poisson|bursts,rate=,burst_factor=,"
        "burst_ms=,period_ms=,tokens=,stream=,deadline_ms=,prompt=,resends=");
    app.add_option(
        "--batch",
        batches,
        "name=,route=,key=,items=,tokens=,start_ms=,prompt=");
    app.add_option("--seconds", seconds, "How long online requests arrive");
    app.add_option("--batch-patience", patience_s, "Seconds to follow jobs");
    app.add_option("--seed", plan.seed, "Seed of arrivals and names");
    app.add_option("--samples", samples_file, "File for JSON lines");
    CLI11_PARSE(app, argument_count, arguments);
    if (!parse_sources(online, batches, plan))
    {
        return bad_use;
    }
    for (const std::string& entry : entries)
    {
        const std::size_t colon = entry.rfind(':');
        plan.entries.push_back(
            {entry.substr(0, colon),
             static_cast<std::uint16_t>(std::atoi(entry.c_str() + colon + 1))});
    }
    plan.length = std::chrono::duration_cast<chicory::duration>(
        std::chrono::duration<double>(seconds));
    plan.batch_patience = std::chrono::duration_cast<chicory::duration>(
        std::chrono::duration<double>(patience_s));
    plan.show_progress = ::isatty(STDERR_FILENO) != 0;
    const chicory::result<chicory::load::load_report> report =
        chicory::load::run_load(plan);
    if (!report)
    {
        std::cerr << report.error().text << "\n";
        return 1;
    }
    if (!samples_file.empty())
    {
        write_samples(report.value(), samples_file);
    }
    std::cout << chicory::load::format_table(report.value());
    return has_wrong_answers(report.value()) ? wrong_answers : 0;
}
