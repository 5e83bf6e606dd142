#ifndef CHICORY_POLICY_ONLINE_REQUEST_ATTEMPTS_HPP
#define CHICORY_POLICY_ONLINE_REQUEST_ATTEMPTS_HPP

#include "core/core.hpp"
#include "policy/online/request.hpp"
#include "policy/online/retry_budget.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace chicory::online
{

/// Final result of a request as reported to its caller.
enum class request_result
{
    /// The complete response was forwarded.
    answered,
    refused,
    /// It is unknown whether the request ran to its end.
    unknown,
    /// The caller disconnected.
    cancelled,
};

inline constexpr enum_table<request_result, 4> request_result_names = {{
    {request_result::answered, "answered"},
    {request_result::refused, "refused"},
    {request_result::unknown, "unknown"},
    {request_result::cancelled, "cancelled"},
}};

/// Instructs the gate to start an attempt on a runner that is not in `avoid`.
struct start_attempt
{
    std::uint32_t attempt = 0;
    std::set<std::string> avoid;
};

/// Instructs the gate to fetch the rest of the attempt's response through a
/// fresh connection.
struct resume_attempt
{
    std::uint32_t attempt = 0;
};

/// Instructs the gate to send the owner a cancellation of the attempt.
struct abandon_attempt
{
    std::uint32_t attempt = 0;
};

/// Instructs the gate to report the final result to the caller.
struct finish_request
{
    request_result result = request_result::unknown;
    /// True only when no backend server ran any part of the request.
    bool not_run = false;
    reason why = reason::outcome_unknown;
    duration retry_after = duration::zero();
};

using attempt_action = std::
    variant<start_attempt, resume_attempt, abandon_attempt, finish_request>;
using attempt_actions = std::vector<attempt_action>;

/// Properties of a request that do not change after its arrival.
struct request_rules
{
    bool not_repeatable = false;
    time_point deadline;
};

/// Manages the attempts of one request at the gate that its caller is connected
/// to. The request finishes exactly once. It is retried only if the last
/// attempt was certainly not run, or if it may run twice and no byte of its
/// response was forwarded to the caller; and only within the deadline and the
/// route's retry budget.
class request_attempts
{
public:
    static constexpr std::uint32_t max_attempts = 4;
    static constexpr std::uint32_t max_resumes = 5;

    /// The budget must outlive this object.
    request_attempts(request_rules rules, retry_budget& budget);

    attempt_actions start(time_point now);

    /// Records the runner to which an attempt was assigned.
    void assigned(std::uint32_t attempt, const std::string& runner);

    /// Records that bytes of the response were forwarded to the caller.
    void bytes_forwarded(std::uint32_t attempt);

    /// Records that the complete response was forwarded to the caller.
    attempt_actions answered(std::uint32_t attempt);

    /// Handles the end of an attempt without a complete response.
    attempt_actions attempt_ended(
        std::uint32_t attempt,
        attempt_outcome outcome,
        reason why,
        duration retry_after,
        time_point now);

    /// Handles the loss or silence of the link to the owner after the attempt
    /// was sent on it.
    attempt_actions link_lost(std::uint32_t attempt, time_point now);

    /// Handles the disconnection of the caller.
    attempt_actions caller_disconnected();

    /// Ends a request that is past its deadline.
    attempt_actions tick(time_point now);

    bool finished() const;
    std::uint32_t attempts() const;

    /// Returns the number of resumes of the current attempt.
    std::uint32_t resume_count() const;

private:
    attempt_actions
    finish(request_result result, reason why, duration retry_after);
    attempt_actions finish_with_failure(reason why, duration retry_after);
    bool may_retry(attempt_outcome outcome, reason why) const;

    request_rules rules;
    retry_budget* budget;
    std::uint32_t current_attempt = 0;
    std::uint32_t resumes = 0;
    bool is_attempt_open = false;
    bool possibly_ran = false;
    bool has_forwarded_bytes = false;
    bool is_finished = false;
    std::string runner;
    std::set<std::string> avoid;
};

} // namespace chicory::online

#endif
