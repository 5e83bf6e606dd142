#include "policy/serving/version_range.hpp"

#include <algorithm>

namespace chicory::serving
{

version_range::version_range(std::int64_t first, std::int64_t last)
    : min_version(first), max_version(last)
{
}

version_range version_range::of_read(std::int64_t version)
{
    return {version, version};
}

version_range
version_range::of_write(std::int64_t required, std::int64_t newest)
{
    return {required + 1, std::max(required + 1, newest)};
}

std::int64_t version_range::lowest() const
{
    return this->min_version;
}

std::int64_t version_range::highest() const
{
    return this->max_version;
}

bool version_range::is_overstated_by(const version_range& read) const
{
    return read.min_version >= this->min_version &&
           read.max_version < this->max_version;
}

bool version_range::is_replaced_by(const version_range& other) const
{
    // A record that was read is compared with the lowest version too: the first
    // write above the required version is the node's own, so that any later
    // read shows this state or a later one.
    return other.min_version > this->min_version ||
           (other.min_version == this->min_version &&
            other.max_version < this->max_version);
}

bool version_range::is_corrected_by(
    const version_range& when_sent, const version_range& returned) const
{
    return this->is_replaced_by(returned) ||
           (*this == when_sent && !(*this == returned));
}

bool version_range::operator==(const version_range& other) const
{
    return this->min_version == other.min_version &&
           this->max_version == other.max_version;
}

} // namespace chicory::serving
