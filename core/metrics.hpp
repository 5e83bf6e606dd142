#ifndef CHICORY_CORE_METRICS_HPP
#define CHICORY_CORE_METRICS_HPP

#include "core/reason.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chicory
{

/// Counters, gauges and latencies of one process. Safe for concurrent use by
/// several threads.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a refused request or job by reason.
    void count_refusal(reason why);

    /// Counts a refused request or job of an organisation by reason, in
    /// addition to `count_refusal`. The first `max_organisations` names get
    /// counters of their own; the others share the name "other". Does nothing
    /// for an empty name.
    void count_organisation_refusal(std::string_view organisation, reason why);

    static constexpr std::size_t max_organisations = 64;

    /// Counts a retried attempt by reason.
    void count_retry(reason why);

    /// Adds to a counter, such as "requests_total"; a new counter starts at 0.
    void add(std::string_view counter, std::int64_t amount = 1);

    /// Sets a gauge, such as "requests_in_progress".
    void set(std::string_view gauge, std::int64_t value);

    /// Sets a gauge of an organisation. The caller bounds the number of names.
    void set_of_organisation(
        std::string_view gauge,
        const std::string& organisation,
        std::int64_t value);

    /// Records one observation of a latency, such as "first_byte".
    void observe(std::string_view latency, duration length);

    /// Returns all values in the Prometheus text format. Names get the prefix
    /// "chicory_"; latencies are written as summaries in seconds.
    std::string render() const;

private:
    struct state;
    std::unique_ptr<state> values;
};

} // namespace chicory

#endif
