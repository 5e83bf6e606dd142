#include "policy/serving/coordinator_choice.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

namespace chicory::serving
{

std::vector<std::string>
order_nodes(const std::string& key, const std::vector<std::string>& nodes)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(nodes.size());
    const std::uint64_t seed = hash_bytes(key);
    for (const std::string& node : nodes)
    {
        ranked.emplace_back(hash_bytes(node, seed), node);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto& [rank, node] : ranked)
    {
        order.push_back(std::move(node));
    }
    return order;
}

std::vector<std::string> order_coordinators(
    const std::string& service, const std::vector<live_node>& nodes)
{
    std::vector<std::string> names;
    std::map<std::string, int> sizes;
    for (const live_node& node : nodes)
    {
        names.push_back(node.id);
        // Sizes within a power of two count as equal.
        sizes[node.id] = std::bit_width(node.memory_mb);
    }
    std::vector<std::string> order = order_nodes(service, names);
    std::stable_sort(
        order.begin(),
        order.end(),
        [&sizes](const std::string& left, const std::string& right)
        {
            return sizes.at(left) > sizes.at(right);
        });
    return order;
}

coordinator_contact::coordinator_contact(coordinator_contact_settings initial)
    : settings(initial)
{
}

void coordinator_contact::on_sent(time_point now, const std::string& node)
{
    contact& entry = this->nodes[node];
    if (!entry.unanswered_since)
    {
        entry.unanswered_since = now;
    }
}

void coordinator_contact::on_heard(time_point now, const std::string& node)
{
    static_cast<void>(now);
    this->nodes.erase(node);
}

bool coordinator_contact::is_answering(time_point now, const std::string& node)
{
    const auto found = this->nodes.find(node);
    if (found == this->nodes.end())
    {
        return true;
    }
    contact& entry = found->second;
    if (now < entry.avoided_until)
    {
        return false;
    }
    if (entry.unanswered_since &&
        now - *entry.unanswered_since > this->settings.answer_limit)
    {
        entry.unanswered_since.reset();
        entry.avoided_until = now + this->settings.avoidance;
        return false;
    }
    return true;
}

bool coordinator_contact::awaits_answer(const std::string& node) const
{
    const auto found = this->nodes.find(node);
    return found != this->nodes.end() && found->second.unanswered_since;
}

} // namespace chicory::serving
