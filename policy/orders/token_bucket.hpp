#ifndef CHICORY_POLICY_ORDERS_TOKEN_BUCKET_HPP
#define CHICORY_POLICY_ORDERS_TOKEN_BUCKET_HPP

#include "core/core.hpp"

namespace chicory::orders
{

/// Limits the rate of fetches from the weight store.
class token_bucket
{
public:
    /// Allows `initial_rate` fetches per second and up to `initial_burst`
    /// fetches at the same time.
    token_bucket(double initial_rate, double initial_burst, time_point now);

    /// Changes the rate, in fetches per second, and the burst. Tokens above the
    /// new burst are discarded.
    void set_rate(time_point now, double new_rate, double new_burst);

    /// Consumes one token and returns true, or returns false when none is
    /// available.
    bool try_consume(time_point now);

    /// Discards all tokens after the weight store has refused a fetch.
    void on_rate_limited(time_point now);

private:
    void refill(time_point now);

    double rate;
    double burst;
    double tokens;
    time_point last_refill;
};

} // namespace chicory::orders

#endif
