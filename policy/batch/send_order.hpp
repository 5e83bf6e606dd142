#ifndef CHICORY_POLICY_BATCH_SEND_ORDER_HPP
#define CHICORY_POLICY_BATCH_SEND_ORDER_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace chicory::batch
{

/// Items of a chunk that are not in progress, in the order in which they are
/// sent. Items with equal prompt prefixes are adjacent.
class send_order
{
public:
    /// Adds an item or replaces its entry.
    void
    add(std::uint64_t position,
        std::uint64_t prefix,
        time_point not_before,
        bool needs_mark);

    /// Removes an item if it is present.
    void remove(std::uint64_t position, std::uint64_t prefix);

    void clear();

    /// Returns the positions of up to `slots` items that can be sent now.
    std::vector<std::uint64_t> choose(std::size_t slots, time_point now) const;

    /// Returns the positions of up to `group` items that could be sent now if
    /// they were marked. Empty when `slots` other items can be sent now.
    std::vector<std::uint64_t>
    choose_unmarked(std::size_t slots, std::size_t group, time_point now) const;

    /// Returns the number of items that can be sent now.
    std::size_t ready(time_point now) const;

    std::size_t size() const;

private:
    struct entry
    {
        time_point not_before;
        bool needs_mark = false;
    };

    /// Entries by prefix and position.
    std::map<std::pair<std::uint64_t, std::uint64_t>, entry> entries;
};

} // namespace chicory::batch

#endif
