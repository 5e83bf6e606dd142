#ifndef CHICORY_POLICY_ONLINE_REQUEST_HPP
#define CHICORY_POLICY_ONLINE_REQUEST_HPP

#include "core/core.hpp"

namespace chicory::online
{

/// Whether a caller waits for the response (online) or not (batch).
enum class work_class
{
    online,
    batch,
};

/// What is known about an attempt that has ended.
enum class attempt_outcome
{
    not_sent,
    refused_not_run,
    completed,
    unknown,
    cancelled,
};

inline constexpr enum_table<attempt_outcome, 5> attempt_outcome_names = {{
    {attempt_outcome::not_sent, "not_sent"},
    {attempt_outcome::refused_not_run, "refused_not_run"},
    {attempt_outcome::completed, "completed"},
    {attempt_outcome::unknown, "unknown"},
    {attempt_outcome::cancelled, "cancelled"},
}};

} // namespace chicory::online

#endif
