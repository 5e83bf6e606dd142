#include "experiments/bench/experiment.hpp"

#include "tests/process/http_call.hpp"

#include <boost/json.hpp>

#include <chrono>

namespace chicory::bench
{

namespace
{

constexpr double low_rate_per_s = 100.0;
constexpr double high_rate_per_s = 600.0;
constexpr double writes_per_s = 400.0;
constexpr std::int64_t backlog_ms = 1000;
constexpr std::chrono::seconds arm_length(8);

/// Rate limits of the table service; zero means no limit.
struct table_limit
{
    double transactions_per_s = 0.0;
    double rows_per_s = 0.0;
};

/// Claim counters, summed over all gates.
struct claim_counts
{
    double claims = 0.0;
    double transactions = 0.0;
};

/// Measurements of one arm.
struct claims_arm
{
    load::latency_summary unkeyed;
    load::latency_summary keyed;
    double transactions_per_claim_low = 0.0;
    double transactions_per_claim_high = 0.0;
    /// With more claims than the limit of transactions allows.
    double refused_share = 0.0;
    load::latency_summary high_load;
    /// With more claims than the limit of rows allows.
    double refused_share_rows = 0.0;
    load::latency_summary high_load_rows;
};

claim_counts count_claims(process::fleet& target)
{
    claim_counts counts;
    for (std::size_t index = 0; index < target.entry_count(); ++index)
    {
        const std::string text =
            process::get(target.entry(index).gate_http, "/metrics").body;
        counts.claims += read_counter(text, "chicory_claims_total");
        counts.transactions +=
            read_counter(text, "chicory_claim_transactions_total");
    }
    return counts;
}

double
transactions_per_claim(const claim_counts& before, const claim_counts& after)
{
    return (after.transactions - before.transactions) /
           std::max(1.0, after.claims - before.claims);
}

void set_limit(process::fleet& target, const table_limit& limit)
{
    const boost::json::object body{
        {"transactions_per_s", limit.transactions_per_s},
        {"rows_per_s", limit.rows_per_s},
        {"backlog_ms", backlog_ms}};
    process::post(
        target.platform_port(),
        "/control/limits",
        boost::json::serialize(body));
}

load::load_report run_online_load(
    process::fleet& target, std::uint64_t seed, double rate_per_s, bool keyed)
{
    load::load_plan plan = make_plan(target, seed);
    plan.length = arm_length;
    load::online_source source = make_online(rate_per_s, 1);
    source.streaming = false;
    source.keyed = keyed;
    source.name = "online-" + std::to_string(seed);
    plan.online.push_back(source);
    return run_load_or_exit(plan);
}

double compute_refused_share(const load::load_report& report)
{
    const double refused = static_cast<double>(load::count_outcomes(
        report, "")[load::request_outcome::refused_not_run]);
    return refused / static_cast<double>(report.samples.size());
}

claims_arm measure_arm(process::fleet& target)
{
    claims_arm arm;
    set_limit(target, {writes_per_s, 0.0});
    arm.unkeyed = load::summarize_first_byte(
        run_online_load(target, 1, low_rate_per_s, false), "");
    const claim_counts start = count_claims(target);
    arm.keyed = load::summarize_first_byte(
        run_online_load(target, 2, low_rate_per_s, true), "");
    const claim_counts middle = count_claims(target);
    arm.transactions_per_claim_low = transactions_per_claim(start, middle);
    const load::load_report high_load =
        run_online_load(target, 3, high_rate_per_s, true);
    arm.transactions_per_claim_high =
        transactions_per_claim(middle, count_claims(target));
    arm.refused_share = compute_refused_share(high_load);
    arm.high_load = load::summarize_first_byte(high_load, "");
    set_limit(target, {0.0, writes_per_s});
    const load::load_report rows =
        run_online_load(target, 4, high_rate_per_s, true);
    arm.refused_share_rows = compute_refused_share(rows);
    arm.high_load_rows = load::summarize_first_byte(rows, "");
    return arm;
}

void add_arm_figures(
    experiment_report& report, const std::string& name, const claims_arm& arm)
{
    const double added_p50 = arm.keyed.p50_ms - arm.unkeyed.p50_ms;
    const double added_p99 = arm.keyed.p99_ms - arm.unkeyed.p99_ms;
    report.add_line(
        name + ": without keys p50 " + std::to_string(arm.unkeyed.p50_ms) +
        " ms, p99 " + std::to_string(arm.unkeyed.p99_ms) +
        " ms; with keys p50 " + std::to_string(arm.keyed.p50_ms) + " ms, p99 " +
        std::to_string(arm.keyed.p99_ms) + " ms");
    report.add_line(
        name + " at 600/s: p50 " + std::to_string(arm.high_load.p50_ms) +
        " ms, p99 " + std::to_string(arm.high_load.p99_ms) +
        " ms of those answered");
    report.add_line(
        name + " at 600/s, 400 rows/s: p50 " +
        std::to_string(arm.high_load_rows.p50_ms) + " ms, p99 " +
        std::to_string(arm.high_load_rows.p99_ms) + " ms of those answered");
    report.add_figure(name + "_added_p50_ms", added_p50);
    report.add_figure(name + "_added_p99_ms", added_p99);
    report.add_figure(
        name + "_transactions_per_claim", arm.transactions_per_claim_low);
    report.add_figure(
        name + "_transactions_per_claim_600", arm.transactions_per_claim_high);
    report.add_figure(name + "_refused_600", arm.refused_share);
    report.add_figure(name + "_p99_600_ms", arm.high_load.p99_ms);
    report.add_figure(name + "_refused_600_rows", arm.refused_share_rows);
    report.add_figure(name + "_p99_600_rows_ms", arm.high_load_rows.p99_ms);
}

} // namespace

/// Compares idempotency-key claims grouped in transactions with one transaction
/// per claim, for the same requests. The table service processes 400
/// transactions per second, one after the other. For the `_rows` figures it
/// processes 400 rows per second instead. A claim consists of two writes: key
/// and outcome.
void run_claims(experiment_report& report)
{
    for (const bool grouped : {true, false})
    {
        fleet_plan sizes;
        sizes.options.slots = 64;
        sizes.options.first_token_ms = 0;
        sizes.options.token_ms = 0;
        sizes.gate_lines = std::string("group_claims = ") +
                           (grouped ? "true" : "false") + "\n";
        const auto target = start_fleet("claims", sizes);
        if (target == nullptr)
        {
            report.add_line("the fleet did not start serving requests");
            return;
        }
        add_arm_figures(
            report, grouped ? "grouped" : "single", measure_arm(*target));
    }
    report.add_figure("limit_per_s", writes_per_s);
}

} // namespace chicory::bench
