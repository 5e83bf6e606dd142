#include "policy/online/request_attempts.hpp"

namespace chicory::online
{

request_attempts::request_attempts(request_rules rules, retry_budget& budget)
    : rules(rules), budget(&budget)
{
}

attempt_actions request_attempts::start(time_point now)
{
    if (this->current > 0 || this->done)
    {
        return {};
    }
    if (now >= this->rules.deadline)
    {
        return this->give_up(reason::deadline_too_short, duration::zero());
    }
    this->budget->first_attempt();
    this->current = 1;
    this->open = true;
    return {start_attempt{this->current, {}}};
}

void request_attempts::assigned(
    std::uint32_t attempt, const std::string& new_runner)
{
    if (attempt == this->current)
    {
        this->runner = new_runner;
    }
}

void request_attempts::bytes_forwarded(std::uint32_t attempt)
{
    if (attempt == this->current && this->open)
    {
        this->passed = true;
        this->possibly_ran = true;
    }
}

attempt_actions request_attempts::answered(std::uint32_t attempt)
{
    if (attempt != this->current || !this->open)
    {
        return {};
    }
    this->open = false;
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
    if (attempt != this->current || !this->open)
    {
        return {};
    }
    this->open = false;
    // After a resume, "not sent" speaks of the resume and not of the request.
    if (this->resumes > 0)
    {
        outcome = attempt_outcome::unknown;
    }
    const bool certain = outcome == attempt_outcome::not_sent ||
                         outcome == attempt_outcome::refused_not_run;
    this->possibly_ran |= !certain;
    if (!this->may_retry(outcome, why))
    {
        return this->give_up(why, retry_after);
    }
    if (now >= this->rules.deadline)
    {
        return this->give_up(reason::deadline_too_short, retry_after);
    }
    if (!this->budget->try_retry())
    {
        return this->give_up(reason::retry_budget_spent, retry_after);
    }
    if (!this->runner.empty())
    {
        this->avoid.insert(this->runner);
    }
    this->runner.clear();
    this->resumes = 0;
    this->current += 1;
    this->open = true;
    return {start_attempt{this->current, this->avoid}};
}

bool request_attempts::may_retry(attempt_outcome outcome, reason why) const
{
    if (this->passed || this->current >= max_attempts)
    {
        return false;
    }
    // There is no other place to go, or the verdict holds everywhere.
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
        // Reached a backend server, which a not repeatable one does once.
        return !this->rules.not_repeatable || why != reason::runner_refused;
    }
    return outcome == attempt_outcome::unknown && !this->rules.not_repeatable;
}

attempt_actions
request_attempts::link_lost(std::uint32_t attempt, time_point now)
{
    if (attempt != this->current || !this->open)
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
    if (this->done)
    {
        return {};
    }
    return this->finish(request_result::cancelled, reason::caller_gone, {});
}

attempt_actions request_attempts::tick(time_point now)
{
    if (this->done || now < this->rules.deadline)
    {
        return {};
    }
    return this->give_up(reason::deadline_too_short, duration::zero());
}

attempt_actions request_attempts::give_up(reason why, duration retry_after)
{
    const bool certain = !this->possibly_ran && !this->open;
    const request_result result =
        certain ? request_result::refused : request_result::unknown;
    return this->finish(result, why, retry_after);
}

attempt_actions request_attempts::finish(
    request_result result, reason why, duration retry_after)
{
    attempt_actions actions;
    const bool certain = !this->possibly_ran && !this->open;
    if (this->open)
    {
        actions.emplace_back(abandon_attempt{this->current});
    }
    this->open = false;
    this->done = true;
    actions.emplace_back(finish_request{result, certain, why, retry_after});
    return actions;
}

bool request_attempts::finished() const
{
    return this->done;
}

std::uint32_t request_attempts::attempts() const
{
    return this->current;
}

std::uint32_t request_attempts::resume_count() const
{
    return this->resumes;
}

} // namespace chicory::online
