#include "policy/membership/member_table.hpp"

#include <algorithm>

namespace chicory::membership
{

namespace
{

/// Returns whether two VMs differ in more than incarnation and state.
bool differs_in_details(const vm& left, const vm& right)
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
    const member_update& update, time_point now, update_source source)
{
    const auto found = this->members.find(update.id);
    if (found == this->members.end())
    {
        if (!update.details)
        {
            return false;
        }
        member_record record{*update.details, update.status, now};
        record.details.id = update.id;
        record.details.state = update.status.state;
        record.details.incarnation = update.status.incarnation;
        this->adjust_entry_counts(record.details, update.status.state, 1);
        this->members.emplace(update.id, std::move(record));
        ++this->changes;
        if (source == update_source::member)
        {
            this->add_pending(update.id, true);
        }
        return true;
    }
    member_record& record = found->second;
    if (update.status <= record.status)
    {
        return false;
    }
    const bool details_changed =
        update.details && differs_in_details(*update.details, record.details);
    this->adjust_entry_counts(record.details, record.status.state, -1);
    if (update.details)
    {
        record.details = *update.details;
        record.details.id = update.id;
    }
    record.status = update.status;
    record.details.state = update.status.state;
    record.details.incarnation = update.status.incarnation;
    record.since = now;
    this->adjust_entry_counts(record.details, record.status.state, 1);
    ++this->changes;
    if (source == update_source::member)
    {
        this->add_pending(update.id, details_changed);
    }
    return true;
}

void member_table::adjust_entry_counts(
    const vm& details, vm_state state, int change)
{
    if (details.role != vm_role::entry)
    {
        return;
    }
    this->known_entry_count += static_cast<std::size_t>(change);
    if (state != vm_state::dead)
    {
        this->live_entry_count += static_cast<std::size_t>(change);
    }
}

void member_table::add_pending(const std::string& id, bool with_details)
{
    const member_record& record = this->members.at(id);
    if (!this->is_disseminated(record))
    {
        this->drop_pending(id);
        return;
    }
    pending_update& item = this->pending[id];
    this->transmit_order.erase(this->make_key(item, id));
    item.with_details = item.with_details || with_details;
    item.transmissions = 0;
    item.is_alive = record.status.state == vm_state::alive;
    this->transmit_order.insert(this->make_key(item, id));
}

member_table::transmit_key
member_table::make_key(const pending_update& item, const std::string& id) const
{
    return {
        item.is_alive,
        item.transmissions,
        hash_bytes(id, this->salt + item.transmissions),
        id};
}

bool member_table::is_disseminated(const member_record& record) const
{
    const bool has_failure_state = record.status.state == vm_state::suspect ||
                                   record.status.state == vm_state::dead;
    return !this->withholding_failures || !has_failure_state ||
           record.details.role != vm_role::entry;
}

void member_table::drop_pending(const std::string& id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
    {
        return;
    }
    this->transmit_order.erase(this->make_key(found->second, id));
    this->pending.erase(found);
}

void member_table::set_withholding_failures(bool withhold)
{
    if (this->withholding_failures == withhold)
    {
        return;
    }
    this->withholding_failures = withhold;
    for (const auto& [id, record] : this->members)
    {
        if (!this->is_disseminated(record))
        {
            this->drop_pending(id);
        }
    }
}

bool member_table::is_withholding_failures() const
{
    return this->withholding_failures;
}

void member_table::mark_alive(const std::string& id, time_point now)
{
    member_record& record = this->members.at(id);
    this->adjust_entry_counts(record.details, record.status.state, -1);
    record.status.state = vm_state::alive;
    record.details.state = vm_state::alive;
    record.since = now;
    this->adjust_entry_counts(record.details, record.status.state, 1);
    ++this->changes;
}

void member_table::mark_alive_since(time_point since, time_point now)
{
    for (const auto& [id, record] : this->members)
    {
        const bool has_failure_state =
            record.status.state == vm_state::suspect ||
            record.status.state == vm_state::dead;
        const bool is_affected = has_failure_state && record.since >= since &&
                                 record.details.role == vm_role::entry;
        if (is_affected)
        {
            this->mark_alive(id, now);
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
    return this->live_entry_count;
}

std::size_t member_table::known_entries() const
{
    return this->known_entry_count;
}

member_update
member_table::make_update(const std::string& id, bool with_details) const
{
    const member_record& record = this->members.at(id);
    member_update update{id, record.status, std::nullopt};
    if (with_details)
    {
        update.details = record.details;
    }
    return update;
}

void member_table::take_updates(
    std::vector<member_update>& list,
    std::size_t& remaining_bytes,
    std::size_t limit)
{
    std::vector<std::string> taken;
    for (const auto& [alive, transmissions, tie_breaker, id] :
         this->transmit_order)
    {
        member_update next =
            this->make_update(id, this->pending.at(id).with_details);
        const std::size_t size = encoded_size(next);
        if (size > remaining_bytes)
        {
            break;
        }
        remaining_bytes -= size;
        list.push_back(std::move(next));
        taken.push_back(id);
    }
    for (const std::string& id : taken)
    {
        pending_update& item = this->pending.at(id);
        this->transmit_order.erase(this->make_key(item, id));
        ++item.transmissions;
        if (item.transmissions >= limit)
        {
            this->pending.erase(id);
            continue;
        }
        this->transmit_order.insert(this->make_key(item, id));
    }
}

bool member_table::has_pending_updates(std::size_t max_transmissions) const
{
    const auto is_fresh = [this, max_transmissions](bool alive)
    {
        const auto first = this->transmit_order.lower_bound({alive, 0, 0, ""});
        return first != this->transmit_order.end() &&
               std::get<0>(*first) == alive &&
               std::get<1>(*first) < max_transmissions;
    };
    return is_fresh(false) || is_fresh(true);
}

void member_table::take_round_robin(
    std::vector<member_update>& list,
    std::size_t& remaining_bytes,
    std::size_t count)
{
    const std::size_t max_count = std::min(count, this->members.size());
    for (std::size_t taken = 0; taken < max_count; ++taken)
    {
        auto next = this->members.upper_bound(this->last_round_robin);
        if (next == this->members.end())
        {
            next = this->members.begin();
        }
        member_update update = this->make_update(next->first, false);
        const std::size_t size = encoded_size(update);
        if (size > remaining_bytes)
        {
            return;
        }
        this->last_round_robin = next->first;
        if (!this->is_disseminated(next->second))
        {
            continue;
        }
        remaining_bytes -= size;
        list.push_back(std::move(update));
    }
}

void member_table::remove_dead(time_point before)
{
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        const member_record& record = entry->second;
        if (record.status.state != vm_state::dead || record.since >= before)
        {
            ++entry;
            continue;
        }
        this->adjust_entry_counts(record.details, record.status.state, -1);
        this->drop_pending(entry->first);
        entry = this->members.erase(entry);
    }
}

} // namespace chicory::membership
