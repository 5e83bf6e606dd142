#include "policy/orders/token_bucket.hpp"

#include <algorithm>

namespace chicory::orders
{

token_bucket::token_bucket(
    double initial_rate, double initial_burst, time_point now)
    : rate(initial_rate), burst(initial_burst), tokens(initial_burst),
      last_refill(now)
{
}

void token_bucket::set_rate(time_point now, double new_rate, double new_burst)
{
    this->refill(now);
    this->rate = new_rate;
    this->burst = new_burst;
    this->tokens = std::min(this->tokens, this->burst);
}

void token_bucket::refill(time_point now)
{
    const std::chrono::duration<double> elapsed = now - this->last_refill;
    this->last_refill = now;
    this->tokens =
        std::min(this->tokens + elapsed.count() * this->rate, this->burst);
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
