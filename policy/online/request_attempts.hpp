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

/// What a request's caller is told in the end.
enum class request_result
{
    /// The whole answer was passed on.
    answered,
    refused,
    /// It is not known whether the request ran to its end.
    unknown,
    /// The caller went away.
    cancelled,
};

inline constexpr enum_table<request_result, 4> request_result_names = {{
    {request_result::answered, "answered"},
    {request_result::refused, "refused"},
    {request_result::unknown, "unknown"},
    {request_result::cancelled, "cancelled"},
}};

/// Start an attempt on a runner outside of `avoid`.
struct start_attempt
{
    std::uint32_t attempt = 0;
    std::set<std::string> avoid;
};

/// Fetch the rest of the attempt's answer through a fresh connection.
struct resume_attempt
{
    std::uint32_t attempt = 0;
};

/// Tell the owner to cancel the attempt.
struct abandon_attempt
{
    std::uint32_t attempt = 0;
};

/// Tell the caller how it ended.
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

/// What is fixed when a request comes in.
struct request_rules
{
    bool not_repeatable = false;
    time_point deadline;
};

/// The attempts of one request at the gate that its caller is connected to.
/// It finishes exactly once. It is tried again only if the last attempt was
/// certainly not run, or if it may run twice and no byte of its answer went to
/// the caller; and only within the deadline and the route's retry budget.
class request_attempts
{
public:
    static constexpr std::uint32_t max_attempts = 4;
    static constexpr std::uint32_t max_resumes = 5;

    /// The budget must outlive this object.
    request_attempts(request_rules rules, retry_budget& budget);

    attempt_actions start(time_point now);

    /// Takes the runner that an attempt was given.
    void assigned(std::uint32_t attempt, const std::string& runner);

    /// Takes that bytes of the answer went to the caller.
    void bytes_forwarded(std::uint32_t attempt);

    /// Takes that the whole answer went to the caller.
    attempt_actions answered(std::uint32_t attempt);

    /// Takes that an attempt gave no whole answer.
    attempt_actions attempt_ended(
        std::uint32_t attempt,
        attempt_outcome outcome,
        reason why,
        duration retry_after,
        time_point now);

    /// Takes that the link to the owner broke or went silent after the
    /// attempt was sent on it.
    attempt_actions link_lost(std::uint32_t attempt, time_point now);

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
    attempt_actions give_up(reason why, duration retry_after);
    bool may_retry(attempt_outcome outcome, reason why) const;

    request_rules rules;
    retry_budget* budget;
    std::uint32_t current = 0;
    std::uint32_t resumes = 0;
    bool open = false;
    bool possibly_ran = false;
    bool passed = false;
    bool done = false;
    std::string runner;
    std::set<std::string> avoid;
};

} // namespace chicory::online

#endif
