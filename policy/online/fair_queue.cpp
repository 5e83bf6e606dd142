#include "policy/online/fair_queue.hpp"

#include <algorithm>

namespace chicory::online
{

void fair_queue::push(queued_run run)
{
    member_queue& queue = this->queues[run.member];
    if (queue.runs.empty())
    {
        queue.served_time = std::max(queue.served_time, this->virtual_time);
    }
    queue.runs.push_back(std::move(run));
    this->run_count += 1;
}

std::optional<queued_run>
fair_queue::pop(const std::function<bool(const queued_run&)>& accepts)
{
    member_queue* best = nullptr;
    std::deque<queued_run>::iterator best_run;
    for (auto& [member, queue] : this->queues)
    {
        if (best != nullptr && best->served_time <= queue.served_time)
        {
            continue;
        }
        const auto run = std::ranges::find_if(queue.runs, accepts);
        if (run != queue.runs.end())
        {
            best = &queue;
            best_run = run;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    this->virtual_time = std::max(this->virtual_time, best->served_time);
    queued_run selected = std::move(*best_run);
    best->runs.erase(best_run);
    this->run_count -= 1;
    return selected;
}

void fair_queue::charge(const std::string& member, duration time)
{
    // A member that was removed starts at the virtual time.
    member_queue& queue = this->queues[member];
    queue.served_time = std::max(queue.served_time, this->virtual_time) + time;
    this->remove_idle_members();
}

bool fair_queue::remove(const std::string& id)
{
    const auto has_id = [&id](const queued_run& run)
    {
        return run.id == id;
    };
    return !this->remove_if(has_id).empty();
}

std::vector<queued_run>
fair_queue::remove_if(const std::function<bool(const queued_run&)>& accepts)
{
    std::vector<queued_run> removed;
    for (auto& [member, queue] : this->queues)
    {
        std::deque<queued_run> remaining;
        for (queued_run& run : queue.runs)
        {
            if (accepts(run))
            {
                removed.push_back(std::move(run));
                continue;
            }
            remaining.push_back(std::move(run));
        }
        queue.runs = std::move(remaining);
    }
    this->run_count -= static_cast<std::int64_t>(removed.size());
    this->remove_idle_members();
    return removed;
}

bool fair_queue::contains(const std::string& id) const
{
    for (const auto& [member, queue] : this->queues)
    {
        for (const queued_run& run : queue.runs)
        {
            if (run.id == id)
            {
                return true;
            }
        }
    }
    return false;
}

std::int64_t fair_queue::size() const
{
    return this->run_count;
}

std::int64_t fair_queue::size_of(const std::string& member) const
{
    const auto found = this->queues.find(member);
    return found == this->queues.end()
               ? 0
               : static_cast<std::int64_t>(found->second.runs.size());
}

std::int64_t fair_queue::members() const
{
    return std::ranges::count_if(
        this->queues,
        [](const auto& entry)
        {
            return !entry.second.runs.empty();
        });
}

void fair_queue::remove_idle_members()
{
    // A member at or below the virtual time would start at it again anyway.
    std::erase_if(
        this->queues,
        [this](const auto& entry)
        {
            const member_queue& queue = entry.second;
            return queue.runs.empty() &&
                   queue.served_time <= this->virtual_time;
        });
}

} // namespace chicory::online
