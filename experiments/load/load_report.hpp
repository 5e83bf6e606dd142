#ifndef CHICORY_EXPERIMENTS_LOAD_LOAD_REPORT_HPP
#define CHICORY_EXPERIMENTS_LOAD_LOAD_REPORT_HPP

#include "core/core.hpp"
#include "experiments/load/latency_summary.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicory::load
{

/// Outcome of a request as seen by its caller.
enum class request_outcome
{
    /// The complete expected response arrived within the deadline.
    answered,
    /// The complete expected response arrived after the deadline.
    late,
    /// A typed error with `not_run` set: the request was not executed.
    refused_not_run,
    /// Any other error response.
    failed,
    /// The response is incomplete: the connection failed or timed out.
    broken,
    /// The response body differs from the expected body.
    wrong_bytes,
};

inline constexpr enum_table<request_outcome, 6> request_outcome_names = {{
    {request_outcome::answered, "answered"},
    {request_outcome::late, "late"},
    {request_outcome::refused_not_run, "refused_not_run"},
    {request_outcome::failed, "failed"},
    {request_outcome::broken, "broken"},
    {request_outcome::wrong_bytes, "wrong_bytes"},
}};

/// Measurements of one online request. Times are relative to its intended
/// start, so that the latency of a request that was sent late, because earlier
/// requests were slow, includes the time before it was sent.
struct sample
{
    std::string source;
    std::string request;
    /// Intended start, relative to the start of the load.
    duration intended{0};
    duration first_byte{0};
    duration latency{0};
    /// Number of times that the request was sent.
    std::int64_t sends = 1;
    /// Delay before the request is sent again, from the last response.
    duration retry_delay{0};
    request_outcome outcome = request_outcome::broken;
    /// Code of a typed error, "untyped" for an error response without one, the
    /// text of the error for a broken request; empty otherwise.
    std::string code;
};

/// Outcome of one batch job as seen by its caller.
struct batch_result
{
    std::string source;
    std::string job;
    bool accepted = false;
    std::int64_t items = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    /// Results of an unknown item or with a body other than the expected one.
    std::int64_t wrong_bytes = 0;
    /// Results beyond the first result of an item.
    std::int64_t duplicates = 0;
    /// Items without a result when the job ended or its deadline passed.
    std::int64_t missing = 0;
    /// Time from the submission of the job until its results were checked.
    duration elapsed{0};
};

/// Measurements of a load run.
struct load_report
{
    std::vector<sample> samples;
    std::vector<batch_result> batches;
};

/// Returns the number of requests of a source by outcome. An empty name selects
/// all sources.
std::map<request_outcome, std::int64_t>
count_outcomes(const load_report& report, const std::string& source);

/// Returns the latencies of the complete responses of a source. An empty name
/// selects all sources.
latency_summary
summarize_latency(const load_report& report, const std::string& source);

/// Returns the times to the first byte of the complete responses of a source.
/// An empty name selects all sources.
latency_summary
summarize_first_byte(const load_report& report, const std::string& source);

/// Returns a request as a JSON object, for a JSONL file.
boost::json::object to_json(const sample& value);

/// Returns a batch job as a JSON object, for a JSONL file.
boost::json::object to_json(const batch_result& value);

/// Returns a human-readable table of latencies, outcomes and batch jobs.
std::string format_table(const load_report& report);

} // namespace chicory::load

#endif
