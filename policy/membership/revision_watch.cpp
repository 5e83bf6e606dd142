#include "policy/membership/revision_watch.hpp"

#include <algorithm>

namespace chicory::membership
{

bool revision_watch::set_own(std::int64_t revision, std::size_t transmit_limit)
{
    if (revision <= this->own_revision)
    {
        return false;
    }
    this->own_revision = revision;
    this->transmissions_left = transmit_limit;
    if (revision >= this->highest_seen)
    {
        this->highest_seen = revision;
        this->highest_holder.clear();
    }
    return true;
}

void revision_watch::on_member_revision(
    const std::string& sender, std::int64_t revision)
{
    if (revision >= this->highest_seen && revision > this->own_revision)
    {
        this->highest_seen = revision;
        this->highest_holder = sender;
    }
}

std::int64_t revision_watch::highest() const
{
    return this->highest_seen;
}

const std::string& revision_watch::holder() const
{
    return this->highest_holder;
}

bool revision_watch::has_transmissions_left() const
{
    return this->transmissions_left > 0;
}

void revision_watch::record_transmission()
{
    this->transmissions_left -=
        std::min<std::size_t>(1, this->transmissions_left);
}

} // namespace chicory::membership
