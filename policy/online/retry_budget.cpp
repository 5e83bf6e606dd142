#include "policy/online/retry_budget.hpp"

#include <algorithm>

namespace chicory::online
{

retry_budget::retry_budget(std::int64_t percent) : percent(percent)
{
}

void retry_budget::set_percent(std::int64_t new_percent)
{
    this->percent = new_percent;
}

void retry_budget::first_attempt()
{
    const double earned_retries = static_cast<double>(this->percent) / 100.0;
    this->saved_retries =
        std::min(max_saved, this->saved_retries + earned_retries);
}

bool retry_budget::try_retry()
{
    if (this->percent <= 0 || this->saved_retries < 1)
    {
        return false;
    }
    this->saved_retries -= 1;
    return true;
}

} // namespace chicory::online
