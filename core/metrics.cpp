#include "core/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>
#include <string>

namespace chicory
{

namespace
{

namespace accumulators = boost::accumulators;

/// Exported quantiles of a latency. They are the supports of the extended
/// P-square estimator, which needs the lowest and the highest quantile among
/// them.
constexpr std::array<double, 5> quantiles = {0.5, 0.9, 0.95, 0.99, 0.999};

using latency_set = accumulators::accumulator_set<
    double,
    accumulators::stats<
        accumulators::tag::count,
        accumulators::tag::sum,
        accumulators::tag::extended_p_square_quantile>>;

latency_set make_latency_set()
{
    return latency_set(
        accumulators::extended_p_square_probabilities = quantiles);
}

void write_latency(
    std::ostream& text, const std::string& name, const latency_set& set)
{
    const std::string full = "chicory_" + name + "_seconds";
    text << "# TYPE " << full << " summary\n";
    // P-square has no estimate until it has seen as many values as it has
    // markers.
    constexpr std::size_t min_count = 2 * quantiles.size() + 3;
    if (accumulators::count(set) >= min_count)
    {
        for (const double quantile : quantiles)
        {
            text << full << "{quantile=\"" << quantile << "\"} "
                 << accumulators::quantile(
                        set, accumulators::quantile_probability = quantile)
                 << "\n";
        }
    }
    text << full << "_sum " << accumulators::sum(set) << "\n";
    text << full << "_count " << accumulators::count(set) << "\n";
}

void write_reasons(
    std::ostream& text,
    std::string_view name,
    const std::array<std::int64_t, reason_names.size()>& counts)
{
    text << "# TYPE " << name << " counter\n";
    for (std::size_t index = 0; index < counts.size(); ++index)
    {
        text << name << "{reason=\"" << reason_names.at(index).name << "\"} "
             << counts.at(index) << "\n";
    }
}

/// Writes a text as the value of a label.
void write_label(std::ostream& text, std::string_view value)
{
    for (const char letter : value)
    {
        if (letter == '\\' || letter == '"')
        {
            text << '\\';
        }
        if (letter == '\n')
        {
            text << "\\n";
            continue;
        }
        text << letter;
    }
}

} // namespace

struct metrics::state
{
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::int64_t>>
        organisation_gauges;
    std::array<std::int64_t, reason_names.size()> refusals{};
    std::array<std::int64_t, reason_names.size()> retries{};
    /// Refusals by name of the organisation and by reason.
    std::map<std::string, std::map<reason, std::int64_t>, std::less<>>
        organisation_refusals;
    std::map<std::string, std::int64_t, std::less<>> counters;
    std::map<std::string, std::int64_t, std::less<>> gauges;
    std::map<std::string, latency_set, std::less<>> latencies;
};

namespace
{

std::string escape_label(const std::string& value)
{
    std::string escaped;
    for (const char letter : value)
    {
        if (letter == '\\' || letter == '"')
        {
            escaped += '\\';
        }
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped;
}

} // namespace

metrics::metrics() : values(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::count_refusal(reason why)
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    ++this->values->refusals.at(static_cast<std::size_t>(why));
}

void metrics::count_organisation_refusal(
    std::string_view organisation, reason why)
{
    if (organisation.empty())
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    auto& refusals = this->values->organisation_refusals;
    auto entry = refusals.find(organisation);
    if (entry == refusals.end())
    {
        const bool is_full = refusals.size() >= max_organisations;
        entry =
            refusals
                .try_emplace(
                    is_full ? std::string("other") : std::string(organisation))
                .first;
    }
    ++entry->second[why];
}

void metrics::count_retry(reason why)
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    ++this->values->retries.at(static_cast<std::size_t>(why));
}

void metrics::add(std::string_view counter, std::int64_t amount)
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    this->values->counters.try_emplace(std::string(counter)).first->second +=
        amount;
}

void metrics::set(std::string_view gauge, std::int64_t value)
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    this->values->gauges.insert_or_assign(std::string(gauge), value);
}

void metrics::set_of_organisation(
    std::string_view gauge, const std::string& organisation, std::int64_t value)
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    this->values->organisation_gauges[std::string(gauge)][organisation] = value;
}

void metrics::observe(std::string_view latency, duration length)
{
    using seconds = std::chrono::duration<double>;
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    auto entry = this->values->latencies.find(latency);
    if (entry == this->values->latencies.end())
    {
        entry = this->values->latencies
                    .emplace(std::string(latency), make_latency_set())
                    .first;
    }
    entry->second(std::chrono::duration_cast<seconds>(length).count());
}

std::string metrics::render() const
{
    const std::lock_guard<std::mutex> lock(this->values->mutex);
    std::ostringstream text;
    write_reasons(text, "chicory_refusals_total", this->values->refusals);
    write_reasons(text, "chicory_retries_total", this->values->retries);
    if (!this->values->organisation_refusals.empty())
    {
        text << "# TYPE chicory_organisation_refusals_total counter\n";
    }
    for (const auto& [name, reasons] : this->values->organisation_refusals)
    {
        for (const auto& [why, count] : reasons)
        {
            text << "chicory_organisation_refusals_total{organisation=\"";
            write_label(text, name);
            text << "\",reason=\"" << name_of(why) << "\"} " << count << "\n";
        }
    }
    for (const auto& [name, value] : this->values->counters)
    {
        text << "# TYPE chicory_" << name << " counter\n";
        text << "chicory_" << name << " " << value << "\n";
    }
    for (const auto& [name, value] : this->values->gauges)
    {
        text << "# TYPE chicory_" << name << " gauge\n";
        text << "chicory_" << name << " " << value << "\n";
    }
    for (const auto& [name, values] : this->values->organisation_gauges)
    {
        text << "# TYPE chicory_" << name << " gauge\n";
        for (const auto& [organisation, value] : values)
        {
            text << "chicory_" << name << "{organisation=\""
                 << escape_label(organisation) << "\"} " << value << "\n";
        }
    }
    for (const auto& [name, set] : this->values->latencies)
    {
        write_latency(text, name, set);
    }
    return text.str();
}

} // namespace chicory
