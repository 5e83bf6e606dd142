#include "policy/orders/token_bucket.hpp"

#include <algorithm>

namespace chicory::orders
{

token_bucket::token_bucket(double per_second, double at_once, time_point now)
    : rate(per_second), burst(at_once), tokens(at_once), last(now)
{
}

void token_bucket::set_rate(time_point now, double per_second, double at_once)
{
    this->refill(now);
    this->rate = per_second;
    this->burst = at_once;
    this->tokens = std::min(this->tokens, this->burst);
}

void token_bucket::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    this->tokens =
        std::min(this->tokens + passed.count() * this->rate, this->burst);
}

bool token_bucket::try_consume(time_point now)
{
    this->refill(now);
    if (this->tokens < 1.0)
    {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

void token_bucket::on_rate_limited(time_point now)
{
    this->refill(now);
    this->tokens = 0.0;
}

} // namespace chicory::orders
