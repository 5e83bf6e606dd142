#include "experiments/load/load_run.hpp"

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

constexpr int exit_usage_error = 2;
constexpr int exit_wrong_responses = 3;

/// Parses all sources into the plan. Prints the error and returns false when
/// one is malformed.
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

/// Returns whether a response had a wrong body or an item had two results.
bool has_wrong_responses(const chicory::load::load_report& report)
{
    const auto outcomes = chicory::load::count_outcomes(report, "");
    bool has_wrong =
        outcomes.count(chicory::load::request_outcome::wrong_bytes) > 0;
    for (const chicory::load::batch_result& batch : report.batches)
    {
        has_wrong = has_wrong || batch.wrong_bytes > 0 || batch.duplicates > 0;
    }
    return has_wrong;
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Sends an open-loop load to a fleet and checks each response");
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
    app.add_option(
        "--seconds", seconds, "Seconds in which online requests arrive");
    app.add_option(
        "--batch-patience", patience_s, "Seconds to poll jobs after the load");
    app.add_option(
        "--seed", plan.seed, "Seed of arrival times and request names");
    app.add_option(
        "--samples", samples_file, "Output file for samples (JSONL)");
    CLI11_PARSE(app, argument_count, arguments);
    if (!parse_sources(online, batches, plan))
    {
        return exit_usage_error;
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
    return has_wrong_responses(report.value()) ? exit_wrong_responses : 0;
}
