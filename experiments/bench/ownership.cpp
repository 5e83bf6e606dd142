#include "experiments/bench/experiment.hpp"
#include "experiments/bench/ownership_arms.hpp"

#include <iomanip>
#include <sstream>

namespace chicory::bench
{

namespace
{

/// Latency that gate and owner add to a request at p99; see the experiment
/// `overhead`.
constexpr duration measured_hop = std::chrono::microseconds(1700);
constexpr duration short_lag = std::chrono::milliseconds(500);
constexpr duration long_lag = std::chrono::seconds(2);

double compute_share(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) /
           static_cast<double>(std::max<std::int64_t>(1, whole));
}

/// Adds the row of an arm to the table. Adds its figures too unless the prefix
/// is empty.
void add_arm_row(
    experiment_report& report,
    const std::string& name,
    const std::string& prefix,
    const model_figures& measured)
{
    const load::latency_summary first = load::summarize(measured.first_bytes);
    const load::latency_summary gap = load::summarize(measured.token_gaps);
    const load::latency_summary overfull_time =
        load::summarize(measured.overfull_times);
    const double overfull = compute_share(measured.overfull, measured.online);
    const double in_time = compute_share(
        measured.in_time,
        static_cast<std::int64_t>(measured.token_gaps.size()));
    const double refused = compute_share(measured.refused, measured.online);
    std::ostringstream line;
    line << std::fixed << std::setprecision(1) << std::left << std::setw(35)
         << name << std::right << std::setw(8) << first.p50_ms << std::setw(8)
         << first.p99_ms << std::setw(7) << gap.p99_ms << std::setw(9)
         << in_time * 100.0 << std::setw(10) << overfull * 100.0 << std::setw(8)
         << overfull_time.p99_ms << std::setw(8) << measured.batch_completed
         << std::setw(9) << refused * 100.0;
    report.add_line(line.str());
    if (prefix.empty())
    {
        return;
    }
    report.add_figure(prefix + "_p50_ms", first.p50_ms);
    report.add_figure(prefix + "_p99_ms", first.p99_ms);
    report.add_figure(prefix + "_token_gap_p99_ms", gap.p99_ms);
    report.add_figure(prefix + "_in_time", in_time);
    report.add_figure(prefix + "_overfull", overfull);
    report.add_figure(prefix + "_slots_back_p99_ms", overfull_time.p99_ms);
    report.add_figure(
        prefix + "_batch_items", static_cast<double>(measured.batch_completed));
    report.add_figure(prefix + "_refused", refused);
}

void compare(experiment_report& report, model_size size)
{
    const std::string sizes =
        std::to_string(size.gates) + "x" + std::to_string(size.runners);
    for (const bool with_batch : {false, true})
    {
        size.with_batch = with_batch;
        const std::string load =
            sizes + (with_batch ? " with batch, " : " online alone, ");
        const auto prefix = [&sizes, with_batch](const std::string& arm)
        {
            return with_batch ? arm + "_" + sizes : std::string();
        };
        add_arm_row(
            report, load + "B", prefix("owned"), run_owned(size, measured_hop));
        add_arm_row(
            report,
            load + "A, 0.5 s late",
            prefix("direct500"),
            run_direct(size, short_lag));
        add_arm_row(
            report,
            load + "A, 2 s late",
            prefix("direct2000"),
            run_direct(size, long_lag));
    }
}

} // namespace

/// Compares one owner gate per runner (B) with gates that send directly to all
/// runners and rely on delayed load reports (A), on a simulated clock and with
/// the same requests. With more than 16 runs a runner shares its speed among
/// them. Columns: time to the first byte in ms (minimum 200); time between
/// tokens at p99 in ms (minimum 25); percentage of online responses with the
/// first byte within 870 ms and at most 29 ms between tokens; percentage of
/// online runs that started on an overfull runner; time in ms until such a
/// runner is no longer overfull or has no batch runs, at p99; batch items
/// completed; percentage of online requests refused.
void run_ownership(experiment_report& report)
{
    report.add_line(
        "                                        p50     p99    gap in time%"
        " overfull%  back99   batch refused%");
    model_size today;
    compare(report, today);
    model_size expected;
    expected.gates = 340;
    expected.runners = 600;
    expected.length = std::chrono::seconds(15);
    compare(report, expected);
}

} // namespace chicory::bench
