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

/// How a request ended for its caller.
enum class request_end
{
    /// The whole expected answer within the deadline.
    answered,
    /// The whole expected answer after the deadline.
    late,
    /// A typed refusal that says that nothing ran.
    refused_not_run,
    /// A typed error of another kind.
    failed,
    /// No whole answer: the connection broke or the time ran out.
    broken,
    /// An answer with other bytes than the request must give.
    wrong_bytes,
};

inline constexpr enum_table<request_end, 6> request_end_names = {{
    {request_end::answered, "answered"},
    {request_end::late, "late"},
    {request_end::refused_not_run, "refused_not_run"},
    {request_end::failed, "failed"},
    {request_end::broken, "broken"},
    {request_end::wrong_bytes, "wrong_bytes"},
}};

/// One online request. Times count from its intended start, so that a request
/// that was sent late, because earlier ones were slow, shows the whole wait.
struct sample
{
    std::string source;
    std::string request;
    /// Intended start, counted from the start of the load.
    duration intended{0};
    duration first_byte{0};
    duration latency{0};
    std::int64_t sends = 1;
    /// How long a refused caller was told to stay away.
    duration pause{0};
    request_end end = request_end::broken;
    /// Code of a typed error; empty otherwise.
    std::string code;
};

/// One batch job as its caller saw it.
struct batch_result
{
    std::string source;
    std::string job;
    bool accepted = false;
    std::int64_t items = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    /// Results with other bytes than the item must give.
    std::int64_t wrong_bytes = 0;
    /// Results beyond the first for one item.
    std::int64_t duplicates = 0;
    /// Items without a result when the job was over or given up on.
    std::int64_t missing = 0;
    /// From sending the job to its last result.
    duration took{0};
};

/// What a load run saw.
struct load_report
{
    std::vector<sample> samples;
    std::vector<batch_result> batches;
};

/// Counts ends of one source; an empty name means all.
std::map<request_end, std::int64_t>
count_ends(const load_report& report, const std::string& source);

/// Latencies of a source's whole answers; an empty name means all.
latency_summary
summarize_latency(const load_report& report, const std::string& source);

/// Times to the first byte of a source's whole answers.
latency_summary
summarize_first_byte(const load_report& report, const std::string& source);

/// Returns one JSON object for a request, for a file of JSON lines.
boost::json::object to_json(const sample& value);

/// Returns one JSON object for a batch job.
boost::json::object to_json(const batch_result& value);

/// Returns a table for people.
std::string format_table(const load_report& report);

} // namespace chicory::load

#endif
