#include "policy/serving/job_ownership.hpp"

#include "policy/serving/coordinator_choice.hpp"

#include <algorithm>
#include <utility>

namespace chicory::serving
{

std::optional<live_node>
choose_owner(const std::string& job, const std::vector<live_node>& live)
{
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const live_node& node : live)
    {
        names.push_back(node.id);
    }
    const std::vector<std::string> order = order_nodes(job, names);
    const auto chosen = std::find_if(
        live.begin(),
        live.end(),
        [&order](const live_node& node)
        {
            return node.id == order.front();
        });
    return chosen == live.end() ? std::nullopt : std::optional(*chosen);
}

job_ownership::job_ownership(live_node node) : self(std::move(node))
{
}

void job_ownership::set_incarnation(std::uint64_t incarnation)
{
    this->self.incarnation = incarnation;
}

bool job_ownership::owns(const job_record& job) const
{
    return job.owner == this->self.id &&
           job.owner_incarnation == this->self.incarnation;
}

bool job_ownership::should_take_over(
    time_point now, const job_record& job, const std::vector<live_node>& live)
{
    // An earlier process of this node has certainly ended, so its jobs are
    // taken over without a delay.
    if (job.owner == this->self.id)
    {
        return job.owner_incarnation < this->self.incarnation;
    }
    const bool alive = std::any_of(
        live.begin(),
        live.end(),
        [&job](const live_node& node)
        {
            return node.id == job.owner &&
                   node.incarnation <= job.owner_incarnation;
        });
    if (alive)
    {
        this->missed_since.erase(job.id);
        return false;
    }
    const time_point missed =
        this->missed_since.try_emplace(job.id, now).first->second;
    if (now - missed < takeover_delay)
    {
        return false;
    }
    const std::optional<live_node> chosen = choose_owner(job.id, live);
    return chosen && chosen->id == this->self.id;
}

void job_ownership::forget(const std::string& job)
{
    this->missed_since.erase(job);
}

} // namespace chicory::serving
