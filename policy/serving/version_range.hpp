#ifndef CHICORY_POLICY_SERVING_VERSION_RANGE_HPP
#define CHICORY_POLICY_SERVING_VERSION_RANGE_HPP

#include <cstdint>

namespace chicory::serving
{

/// What a node knows about the version of a record in the store. A record that
/// was read has a known version. The response to a write states the newest
/// version of the store, which others may have raised before a slow response
/// was formed: the version of the written record is above the one that the
/// write required, and not above the stated one.
class version_range
{
public:
    /// The range of a record that does not exist.
    version_range() = default;

    /// The range of a record that was read with this version.
    static version_range of_read(std::int64_t version);

    /// The range of a record that was written on the condition that it had the
    /// version `required`, with a response that stated `newest`.
    static version_range of_write(std::int64_t required, std::int64_t newest);

    /// Returns the lowest version that the record can have.
    std::int64_t lowest() const;

    /// Returns the highest version that the record can have, unless another
    /// writer has changed it since.
    std::int64_t highest() const;

    /// Returns whether a read shows that the store stated more than the version
    /// of the written record.
    bool is_overstated_by(const version_range& read) const;

    /// Returns whether a record with the other range is a later state of this
    /// record, or the same state with a narrower range.
    bool is_replaced_by(const version_range& other) const;

    /// Returns whether a record that came with the refusal of a write replaces
    /// this one. `when_sent` is the range when the write was sent. If it has
    /// not changed since, the returned record does even with a lower version,
    /// because the store had it after that.
    bool is_corrected_by(
        const version_range& when_sent, const version_range& returned) const;

    bool operator==(const version_range& other) const;

private:
    version_range(std::int64_t first, std::int64_t last);

    std::int64_t min_version = 0;
    std::int64_t max_version = 0;
};

} // namespace chicory::serving

#endif
