#ifndef CHICORY_POLICY_ORDERS_TOKEN_BUCKET_HPP
#define CHICORY_POLICY_ORDERS_TOKEN_BUCKET_HPP

#include "core/core.hpp"

namespace chicory::orders
{

/// Bounds the rate of fetches from the weight store.
class token_bucket
{
public:
    /// Allows `rate` fetches a second and `burst` at once.
    token_bucket(double rate, double burst, time_point now);

    /// Changes both; tokens above the new burst are lost.
    void set_rate(time_point now, double rate, double burst);

    /// Takes one token if there is one.
    bool try_consume(time_point now);

    /// Empties the bucket after the weight store refused a fetch.
    void on_rate_limited(time_point now);

private:
    void refill(time_point now);

    double rate;
    double burst;
    double tokens;
    time_point last;
};

} // namespace chicory::orders

#endif
