#ifndef CHICORY_TESTS_STANDINS_LAGGING_VALUE_HPP
#define CHICORY_TESTS_STANDINS_LAGGING_VALUE_HPP

#include "core/core.hpp"

#include <deque>
#include <utility>

namespace chicory::standin
{

/// A value whose changes become visible a fixed time after they are set.
template <class T>
class lagging_value
{
public:
    /// Starts with a value that is visible immediately.
    explicit lagging_value(T initial)
    {
        this->history.emplace_back(time_point::min(), std::move(initial));
    }

    /// Sets the time until a new value becomes visible.
    void set_lag(duration value)
    {
        this->lag = value;
    }

    /// Sets a new value at the time `now`.
    void set(time_point now, T value)
    {
        this->history.emplace_back(now, std::move(value));
    }

    /// Returns the value that was set last at or before `now` minus the lag.
    const T& get(time_point now)
    {
        while (this->history.size() > 1 &&
               this->history[1].first <= now - this->lag)
        {
            this->history.pop_front();
        }
        return this->history.front().second;
    }

private:
    std::deque<std::pair<time_point, T>> history;
    duration lag{0};
};

} // namespace chicory::standin

#endif
