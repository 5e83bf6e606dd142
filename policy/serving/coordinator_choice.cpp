#include "policy/serving/coordinator_choice.hpp"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string_view>
#include <tuple>
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
    const runner_group& group, const std::vector<live_node>& nodes)
{
    const std::uint64_t seed = hash_bytes(to_text(group));
    std::vector<std::tuple<int, bool, std::uint64_t, std::string_view>> ranked;
    ranked.reserve(nodes.size());
    for (const live_node& node : nodes)
    {
        // Sizes with the same power of two count as equal.
        ranked.emplace_back(
            std::bit_width(node.memory_mb),
            node.zone == group.zone,
            hash_bytes(node.id, seed),
            node.id);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (const auto& [size, near, rank, id] : ranked)
    {
        order.emplace_back(id);
    }
    return order;
}

coordinator_health::coordinator_health(coordinator_health_settings initial)
    : settings(initial)
{
}

void coordinator_health::set_nodes(const std::vector<live_node>& live)
{
    for (const live_node& node : live)
    {
        const auto [known, added] =
            this->incarnations.try_emplace(node.id, node.incarnation);
        if (!added && known->second != node.incarnation)
        {
            known->second = node.incarnation;
            this->nodes.erase(node.id);
        }
    }
}

void coordinator_health::on_sent(time_point now, const std::string& node)
{
    node_state& entry = this->nodes[node];
    if (!entry.unanswered_since)
    {
        entry.unanswered_since = now;
    }
}

void coordinator_health::on_response(time_point now, const std::string& node)
{
    static_cast<void>(now);
    this->nodes.erase(node);
}

bool coordinator_health::is_responding(time_point now, const std::string& node)
{
    const auto found = this->nodes.find(node);
    if (found == this->nodes.end())
    {
        return true;
    }
    node_state& entry = found->second;
    if (now < entry.avoided_until)
    {
        return false;
    }
    if (entry.unanswered_since &&
        now - *entry.unanswered_since > this->settings.response_timeout)
    {
        entry.unanswered_since.reset();
        entry.avoided_until = now + this->settings.avoidance;
        return false;
    }
    return true;
}

bool coordinator_health::is_awaiting_response(const std::string& node) const
{
    const auto found = this->nodes.find(node);
    return found != this->nodes.end() && found->second.unanswered_since;
}

} // namespace chicory::serving
