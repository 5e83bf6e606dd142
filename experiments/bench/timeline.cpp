#include "experiments/bench/experiment.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace chicory::bench
{

namespace
{

constexpr double rate_per_s = 20.0;
constexpr std::int64_t online_tokens = 10;
constexpr std::int64_t batch_tokens = 60;
constexpr std::int64_t batch_items = 4000;
constexpr std::chrono::seconds arm_length(30);
const std::string picture_path =
    CHICORY_SOURCE_DIR "/docs/measurements/timeline.svg";

// Layout of the picture in SVG user units.
constexpr double left = 60.0;
constexpr double top = 40.0;
constexpr double width = 820.0;
constexpr double height = 300.0;
constexpr int rows = 4;
constexpr int seconds_per_column = 5;
const std::string alone_color = "#1f6fb4";
const std::string batch_color = "#d1631b";

load::load_plan make_arm(process::fleet& target, bool with_batch)
{
    load::load_plan plan = make_plan(target, 1);
    plan.length = arm_length;
    plan.batch_patience = std::chrono::seconds(0);
    load::online_source online = make_online(rate_per_s, online_tokens);
    online.arrivals.pattern = load::arrival_pattern::bursts;
    online.arrivals.burst_factor = 4.0;
    plan.online.push_back(online);
    if (with_batch)
    {
        plan.batches.push_back(make_batch(batch_items, batch_tokens));
    }
    return plan;
}

double to_ms(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

double find_max_first_byte_ms(const load::load_report& report)
{
    double max_ms = 0.0;
    for (const load::sample& sample : report.samples)
    {
        max_ms = std::max(max_ms, to_ms(sample.first_byte));
    }
    return max_ms;
}

std::string make_text(double x, double y, const std::string& text)
{
    std::ostringstream out;
    out << "<text x=\"" << x << "\" y=\"" << y << "\">" << text << "</text>\n";
    return out.str();
}

/// Returns an SVG path with a dot for each answered request.
std::string make_dots(
    const load::load_report& report, const std::string& color, double max_ms)
{
    const double total_ms = to_ms(arm_length);
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "<path stroke=\"" << color
        << "\" stroke-width=\"4\" stroke-linecap=\"round\" opacity=\"0.6\" "
           "d=\"";
    for (const load::sample& sample : report.samples)
    {
        if (sample.outcome == load::request_outcome::answered)
        {
            const double relative_y = 1.0 - to_ms(sample.first_byte) / max_ms;
            out << "M" << left + width * to_ms(sample.intended) / total_ms
                << " " << top + height * relative_y << "h0";
        }
    }
    out << "\"/>\n";
    return out.str();
}

/// Returns the SVG grid lines with their labels.
std::string make_grid(double max_ms)
{
    std::ostringstream out;
    for (int row = 0; row <= rows; ++row)
    {
        const double share = static_cast<double>(row) / rows;
        const double y = top + height * (1.0 - share);
        out << "<path stroke=\"#cccccc\" d=\"M" << left << " " << y << "h"
            << width << "\"/>\n"
            << make_text(8, y + 4, std::to_string(std::lround(max_ms * share)));
    }
    const auto total_s = static_cast<int>(arm_length.count());
    for (int second = 0; second <= total_s; second += seconds_per_column)
    {
        const double x = left + width * second / total_s;
        out << make_text(x - 6, top + height + 18, std::to_string(second));
    }
    return out.str();
}

std::string
make_picture(const load::load_report& alone, const load::load_report& shared)
{
    const double max_ms =
        std::max(find_max_first_byte_ms(alone), find_max_first_byte_ms(shared));
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 900 390\" "
           "font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"900\" height=\"390\" fill=\"white\"/>\n"
        << make_grid(max_ms) << make_dots(alone, alone_color, max_ms)
        << make_dots(shared, batch_color, max_ms)
        << make_text(8, 20, "ms to the first byte") << "<g fill=\""
        << alone_color << "\">" << make_text(500, 20, "online alone")
        << "</g><g fill=\"" << batch_color << "\">"
        << make_text(620, 20, "with a batch job") << "</g>\n"
        << make_text(left, top + height + 38, "s since the start of the load")
        << "</svg>\n";
    return out.str();
}

} // namespace

/// Measures the time to the first byte of each online request of a bursty load,
/// with and without a batch job, and plots it over the time of the load in
/// docs/measurements/timeline.svg.
void run_timeline(experiment_report& report)
{
    fleet_plan sizes;
    sizes.options.first_token_ms = 20;
    sizes.options.token_ms = 10;
    const auto target = start_fleet("timeline", sizes);
    if (target == nullptr)
    {
        report.add_line("the fleet did not start serving requests");
        return;
    }
    const load::load_report alone = run_load_or_exit(make_arm(*target, false));
    const load::load_report shared = run_load_or_exit(make_arm(*target, true));
    std::ofstream(picture_path) << make_picture(alone, shared);
    const load::latency_summary alone_first_byte =
        load::summarize_first_byte(alone, "");
    const load::latency_summary shared_first_byte =
        load::summarize_first_byte(shared, "");
    report.add_line("without batch:\n" + load::format_table(alone));
    report.add_line("with batch:\n" + load::format_table(shared));
    report.add_figure("first_byte_p50_alone_ms", alone_first_byte.p50_ms);
    report.add_figure("first_byte_p50_with_batch_ms", shared_first_byte.p50_ms);
    report.add_figure("first_byte_p99_alone_ms", alone_first_byte.p99_ms);
    report.add_figure("first_byte_p99_with_batch_ms", shared_first_byte.p99_ms);
}

} // namespace chicory::bench
