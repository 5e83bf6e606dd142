#include "policy/serving/quota_contacts.hpp"

#include <algorithm>
#include <utility>

namespace chicory::serving
{

std::vector<std::string> choose_quota_participants(
    const std::vector<const std::vector<std::string>*>& orders)
{
    std::set<std::string> chosen;
    std::size_t longest = 0;
    for (const std::vector<std::string>* order : orders)
    {
        longest = std::max(longest, order->size());
    }
    for (std::size_t rank = 0; rank < longest; ++rank)
    {
        for (const std::vector<std::string>* order : orders)
        {
            const bool is_needed =
                rank == 0 || chosen.size() < min_quota_participants;
            if (is_needed && rank < order->size())
            {
                chosen.insert((*order)[rank]);
            }
        }
        if (chosen.size() >= min_quota_participants)
        {
            break;
        }
    }
    return {chosen.begin(), chosen.end()};
}

std::size_t count_preferred_coordinators(
    const std::vector<const std::vector<std::string>*>& orders)
{
    std::set<std::string> first;
    for (const std::vector<std::string>* order : orders)
    {
        if (!order->empty())
        {
            first.insert(order->front());
        }
    }
    return first.size();
}

quota_contacts::quota_contacts(
    std::string node, quota_contacts_settings initial)
    : self(std::move(node)), settings(initial)
{
}

void quota_contacts::set_nodes(
    time_point now,
    const std::vector<std::string>& live,
    const std::vector<std::string>& leaving)
{
    for (const std::string& node : live)
    {
        this->live_at[node] = now;
    }
    for (const std::string& node : leaving)
    {
        this->live_at.erase(node);
    }
    std::erase_if(
        this->live_at,
        [this, now](const auto& item)
        {
            return now - item.second > this->settings.lost_lifetime;
        });
    this->live_count = live.size();
}

void quota_contacts::set_participants(
    std::vector<std::string> nodes, std::size_t preferred_coordinators)
{
    this->participants = std::move(nodes);
    this->coordinators = preferred_coordinators;
}

bool quota_contacts::is_heard(time_point now, const std::string& node) const
{
    const auto found = this->heard_at.find(node);
    return found != this->heard_at.end() &&
           now - found->second <= this->settings.status_lifetime;
}

bool quota_contacts::on_heard(time_point now, const std::string& node)
{
    const bool is_new = !this->is_heard(now, node);
    std::erase_if(
        this->heard_at,
        [this, now](const auto& item)
        {
            return now - item.second > this->settings.status_lifetime;
        });
    this->heard_at[node] = now;
    return is_new;
}

void quota_contacts::on_takeover(time_point now)
{
    this->takeover_at = now;
}

bool quota_contacts::on_clocks(time_point now, boot_time_point boot_now)
{
    const duration difference =
        boot_now.time_since_epoch() - now.time_since_epoch();
    const duration before =
        std::exchange(this->clock_difference, difference).value_or(difference);
    if (difference - before < this->settings.min_suspension)
    {
        return false;
    }
    this->heard_at.clear();
    this->on_takeover(now);
    return true;
}

bool quota_contacts::is_participant() const
{
    return std::find(
               this->participants.begin(),
               this->participants.end(),
               this->self) != this->participants.end();
}

std::vector<std::string> quota_contacts::receivers(time_point now) const
{
    std::set<std::string> nodes(
        this->participants.begin(), this->participants.end());
    for (const auto& [node, at] : this->heard_at)
    {
        if (now - at <= this->settings.status_lifetime)
        {
            nodes.insert(node);
        }
    }
    nodes.erase(this->self);
    return {nodes.begin(), nodes.end()};
}

std::size_t quota_contacts::known_nodes() const
{
    return std::max<std::size_t>(1, this->live_at.size());
}

quota_contact quota_contacts::find_contact(time_point now) const
{
    const auto heard = static_cast<std::size_t>(std::count_if(
        this->participants.begin(),
        this->participants.end(),
        [this, now](const std::string& node)
        {
            return node == this->self || this->is_heard(now, node);
        }));
    quota_contact contact;
    // A node that has just taken over a group and is not preferred, and the
    // preferred one, may both charge.
    const bool has_taken_over =
        now - this->takeover_at <= this->settings.status_lifetime;
    contact.coordinators =
        std::max<std::size_t>(1, this->coordinators) + (has_taken_over ? 1 : 0);
    const bool is_heard_by_majority =
        this->participants.empty() || 2 * heard > this->participants.size();
    const bool has_majority_of_nodes =
        2 * this->live_count > this->known_nodes();
    contact.in_majority = is_heard_by_majority && has_majority_of_nodes;
    contact.undecided =
        !is_heard_by_majority && has_majority_of_nodes &&
        now - this->takeover_at <= this->settings.takeover_grace;
    contact.known_nodes = this->known_nodes();
    return contact;
}

} // namespace chicory::serving
