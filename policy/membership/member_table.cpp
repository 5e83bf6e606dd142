#include "policy/membership/member_table.hpp"

#include <algorithm>

namespace chicory::membership
{

namespace
{

/// Returns whether two VMs differ in more than incarnation and state.
bool is_elsewhere(const vm& left, const vm& right)
{
    vm aligned = left;
    aligned.incarnation = right.incarnation;
    aligned.state = right.state;
    return aligned != right;
}

} // namespace

member_table::member_table(std::uint64_t order_salt) : salt(order_salt)
{
}

bool member_table::apply(
    const member_update& heard, time_point now, update_source source)
{
    const auto found = this->members.find(heard.id);
    if (found == this->members.end())
    {
        if (!heard.details)
        {
            return false;
        }
        member_record record{*heard.details, heard.status, now};
        record.details.id = heard.id;
        record.details.state = heard.status.state;
        record.details.incarnation = heard.status.incarnation;
        this->count(record.details, heard.status.state, 1);
        this->members.emplace(heard.id, std::move(record));
        ++this->changes;
        if (source == update_source::member)
        {
            this->add_news(heard.id, true);
        }
        return true;
    }
    member_record& record = found->second;
    if (heard.status <= record.status)
    {
        return false;
    }
    const bool moved =
        heard.details && is_elsewhere(*heard.details, record.details);
    this->count(record.details, record.status.state, -1);
    if (heard.details)
    {
        record.details = *heard.details;
        record.details.id = heard.id;
    }
    record.status = heard.status;
    record.details.state = heard.status.state;
    record.details.incarnation = heard.status.incarnation;
    record.since = now;
    this->count(record.details, record.status.state, 1);
    ++this->changes;
    if (source == update_source::member)
    {
        this->add_news(heard.id, moved);
    }
    return true;
}

void member_table::count(const vm& details, vm_state state, int change)
{
    if (details.role != vm_role::entry)
    {
        return;
    }
    this->known += static_cast<std::size_t>(change);
    if (state != vm_state::dead)
    {
        this->live += static_cast<std::size_t>(change);
    }
}

void member_table::add_news(const std::string& id, bool with_details)
{
    const member_record& record = this->members.at(id);
    if (!this->is_told(record))
    {
        this->drop_news(id);
        return;
    }
    news_item& item = this->news[id];
    this->order.erase(this->make_key(item, id));
    item.with_details = item.with_details || with_details;
    item.told = 0;
    item.is_alive = record.status.state == vm_state::alive;
    this->order.insert(this->make_key(item, id));
}

member_table::news_key
member_table::make_key(const news_item& item, const std::string& id) const
{
    return {
        item.is_alive, item.told, hash_bytes(id, this->salt + item.told), id};
}

bool member_table::is_told(const member_record& record) const
{
    const bool doubted = record.status.state == vm_state::suspect ||
                         record.status.state == vm_state::dead;
    return !this->quiet || !doubted || record.details.role != vm_role::entry;
}

void member_table::drop_news(const std::string& id)
{
    const auto found = this->news.find(id);
    if (found == this->news.end())
    {
        return;
    }
    this->order.erase(this->make_key(found->second, id));
    this->news.erase(found);
}

void member_table::set_quiet(bool wanted)
{
    if (this->quiet == wanted)
    {
        return;
    }
    this->quiet = wanted;
    for (const auto& [id, record] : this->members)
    {
        if (!this->is_told(record))
        {
            this->drop_news(id);
        }
    }
}

bool member_table::is_quiet() const
{
    return this->quiet;
}

void member_table::revive(const std::string& id, time_point now)
{
    member_record& record = this->members.at(id);
    this->count(record.details, record.status.state, -1);
    record.status.state = vm_state::alive;
    record.details.state = vm_state::alive;
    record.since = now;
    this->count(record.details, record.status.state, 1);
    ++this->changes;
}

void member_table::revive_since(time_point since, time_point now)
{
    for (const auto& [id, record] : this->members)
    {
        const bool doubted = record.status.state == vm_state::suspect ||
                             record.status.state == vm_state::dead;
        const bool taken_back = doubted && record.since >= since &&
                                record.details.role == vm_role::entry;
        if (taken_back)
        {
            this->revive(id, now);
        }
    }
}

const std::map<std::string, member_record>& member_table::records() const
{
    return this->members;
}

const member_record* member_table::find(const std::string& id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

std::uint64_t member_table::version() const
{
    return this->changes;
}

std::size_t member_table::live_entries() const
{
    return this->live;
}

std::size_t member_table::known_entries() const
{
    return this->known;
}

member_update
member_table::make_update(const std::string& id, bool with_details) const
{
    const member_record& record = this->members.at(id);
    member_update told{id, record.status, std::nullopt};
    if (with_details)
    {
        told.details = record.details;
    }
    return told;
}

void member_table::take_news(
    std::vector<member_update>& list, std::size_t& room, std::size_t limit)
{
    std::vector<std::string> taken;
    for (const auto& [alive, told, mixed, id] : this->order)
    {
        member_update next =
            this->make_update(id, this->news.at(id).with_details);
        const std::size_t size = encoded_size(next);
        if (size > room)
        {
            break;
        }
        room -= size;
        list.push_back(std::move(next));
        taken.push_back(id);
    }
    for (const std::string& id : taken)
    {
        news_item& item = this->news.at(id);
        this->order.erase(this->make_key(item, id));
        ++item.told;
        if (item.told >= limit)
        {
            this->news.erase(id);
            continue;
        }
        this->order.insert(this->make_key(item, id));
    }
}

bool member_table::has_news(std::size_t times) const
{
    const auto is_fresh = [this, times](bool alive)
    {
        const auto first = this->order.lower_bound({alive, 0, 0, ""});
        return first != this->order.end() && std::get<0>(*first) == alive &&
               std::get<1>(*first) < times;
    };
    return is_fresh(false) || is_fresh(true);
}

void member_table::take_turn(
    std::vector<member_update>& list, std::size_t& room, std::size_t count)
{
    const std::size_t most = std::min(count, this->members.size());
    for (std::size_t taken = 0; taken < most; ++taken)
    {
        auto next = this->members.upper_bound(this->turn);
        if (next == this->members.end())
        {
            next = this->members.begin();
        }
        member_update told = this->make_update(next->first, false);
        const std::size_t size = encoded_size(told);
        if (size > room)
        {
            return;
        }
        this->turn = next->first;
        if (!this->is_told(next->second))
        {
            continue;
        }
        room -= size;
        list.push_back(std::move(told));
    }
}

void member_table::forget_dead(time_point before)
{
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        const member_record& record = entry->second;
        if (record.status.state != vm_state::dead || record.since >= before)
        {
            ++entry;
            continue;
        }
        this->count(record.details, record.status.state, -1);
        this->drop_news(entry->first);
        entry = this->members.erase(entry);
    }
}

} // namespace chicory::membership
