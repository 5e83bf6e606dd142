#include "policy/online/request_attempts.hpp"

namespace chicory::online
{

request_attempts::request_attempts(request_rules rules, retry_budget& budget)
    : rules(rules), budget(&budget)
{
}

attempt_actions request_attempts::start(time_point now)
{
    if (this->current_attempt > 0 || this->is_finished)
    {
        return {};
    }
    if (now >= this->rules.deadline)
    {
        return this->finish_with_failure(
            reason::deadline_too_short, duration::zero());
    }
    this->budget->first_attempt();
    this->current_attempt = 1;
    this->is_attempt_open = true;
    return {start_attempt{this->current_attempt, {}}};
}

void request_attempts::assigned(
    std::uint32_t attempt, const std::string& new_runner)
{
    if (attempt == this->current_attempt)
    {
        this->runner = new_runner;
    }
}

void request_attempts::bytes_forwarded(std::uint32_t attempt)
{
    if (attempt == this->current_attempt && this->is_attempt_open)
    {
        this->has_forwarded_bytes = true;
        this->possibly_ran = true;
    }
}

attempt_actions request_attempts::answered(std::uint32_t attempt)
{
    if (attempt != this->current_attempt || !this->is_attempt_open)
    {
        return {};
    }
    this->is_attempt_open = false;
    this->possibly_ran = true;
    return this->finish(
        request_result::answered, reason::outcome_unknown, duration::zero());
}

attempt_actions request_attempts::attempt_ended(
    std::uint32_t attempt,
    attempt_outcome outcome,
    reason why,
    duration retry_after,
    time_point now)
{
    if (attempt != this->current_attempt || !this->is_attempt_open)
    {
        return {};
    }
    this->is_attempt_open = false;
    // After a resume, "not sent" refers to the resume and not to the request.
    if (this->resumes > 0)
    {
        outcome = attempt_outcome::unknown;
    }
    const bool certainly_not_run = outcome == attempt_outcome::not_sent ||
                                   outcome == attempt_outcome::refused_not_run;
    this->possibly_ran |= !certainly_not_run;
    if (!this->may_retry(outcome, why))
    {
        return this->finish_with_failure(why, retry_after);
    }
    if (now >= this->rules.deadline)
    {
        return this->finish_with_failure(
            reason::deadline_too_short, retry_after);
    }
    if (!this->budget->try_retry())
    {
        return this->finish_with_failure(
            reason::retry_budget_spent, retry_after);
    }
    if (!this->runner.empty())
    {
        this->avoid.insert(this->runner);
    }
    this->runner.clear();
    this->resumes = 0;
    this->current_attempt += 1;
    this->is_attempt_open = true;
    return {start_attempt{this->current_attempt, this->avoid}};
}

bool request_attempts::may_retry(attempt_outcome outcome, reason why) const
{
    if (this->has_forwarded_bytes || this->current_attempt >= max_attempts)
    {
        return false;
    }
    // Either no other runner is available, or the quarantine applies to all
    // runners.
    if (why == reason::no_runner || why == reason::quarantined)
    {
        return false;
    }
    if (outcome == attempt_outcome::not_sent)
    {
        return true;
    }
    if (outcome == attempt_outcome::refused_not_run)
    {
        // The request reached a backend server, which a request that must not
        // be repeated may do only once.
        return !this->rules.not_repeatable || why != reason::runner_refused;
    }
    return outcome == attempt_outcome::unknown && !this->rules.not_repeatable;
}

attempt_actions
request_attempts::link_lost(std::uint32_t attempt, time_point now)
{
    if (attempt != this->current_attempt || !this->is_attempt_open)
    {
        return {};
    }
    if (this->resumes < max_resumes && now < this->rules.deadline)
    {
        this->resumes += 1;
        return {resume_attempt{attempt}};
    }
    return this->attempt_ended(
        attempt,
        attempt_outcome::unknown,
        reason::stream_broken,
        duration::zero(),
        now);
}

attempt_actions request_attempts::caller_disconnected()
{
    if (this->is_finished)
    {
        return {};
    }
    return this->finish(request_result::cancelled, reason::caller_gone, {});
}

attempt_actions request_attempts::tick(time_point now)
{
    if (this->is_finished || now < this->rules.deadline)
    {
        return {};
    }
    return this->finish_with_failure(
        reason::deadline_too_short, duration::zero());
}

attempt_actions
request_attempts::finish_with_failure(reason why, duration retry_after)
{
    const bool certainly_not_run =
        !this->possibly_ran && !this->is_attempt_open;
    const request_result result =
        certainly_not_run ? request_result::refused : request_result::unknown;
    return this->finish(result, why, retry_after);
}

attempt_actions request_attempts::finish(
    request_result result, reason why, duration retry_after)
{
    attempt_actions actions;
    const bool certainly_not_run =
        !this->possibly_ran && !this->is_attempt_open;
    if (this->is_attempt_open)
    {
        actions.emplace_back(abandon_attempt{this->current_attempt});
    }
    this->is_attempt_open = false;
    this->is_finished = true;
    actions.emplace_back(
        finish_request{result, certainly_not_run, why, retry_after});
    return actions;
}

bool request_attempts::finished() const
{
    return this->is_finished;
}

std::uint32_t request_attempts::attempts() const
{
    return this->current_attempt;
}

std::uint32_t request_attempts::resume_count() const
{
    return this->resumes;
}

} // namespace chicory::online
