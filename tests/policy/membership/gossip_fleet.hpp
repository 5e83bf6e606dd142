#ifndef CHICORY_TESTS_POLICY_MEMBERSHIP_GOSSIP_FLEET_HPP
#define CHICORY_TESTS_POLICY_MEMBERSHIP_GOSSIP_FLEET_HPP

#include "policy/membership/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Runs many `gossip` objects on one scripted clock, with a message queue
/// between them that drops and delays messages at random.
class gossip_fleet
{
public:
    /// Runners are listed in every view and do not run gossip.
    gossip_fleet(
        std::size_t count,
        double loss,
        std::uint64_t seed,
        std::size_t initial_runners = 0)
        : generator(seed), loss_rate(loss), runners(initial_runners)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            this->start(index, 1 + index);
        }
    }

    /// Starts a node, or restarts it without its earlier state. The node learns
    /// the entry VMs from a list, as a VM does.
    void start(std::size_t index, std::uint64_t incarnation)
    {
        vm self = make_vm(index);
        self.incarnation = incarnation;
        this->nodes[index] = std::make_unique<gossip>(
            gossip_settings(), self, this->generator(), this->now);
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
        {
            vm listed = make_vm(other);
            const member_update update{listed.id, member_status(), listed};
            this->nodes[index]->on_update(this->now, update);
        }
        for (std::size_t runner = 0; runner < this->runners; ++runner)
        {
            const vm listed = make_runner(runner);
            const member_update update{listed.id, member_status(), listed};
            this->nodes[index]->on_update(this->now, update);
        }
        this->down.erase(index);
    }

    void stop(std::size_t index)
    {
        this->down.insert(index);
    }

    /// Drops all messages between nodes below the border and the remaining
    /// nodes; a border of zero ends the partition.
    void partition(std::size_t border)
    {
        this->partition_border = border;
    }

    /// Runs until a condition holds; returns false if it does not hold within
    /// the limit.
    bool run_until(const std::function<bool()>& condition, duration limit)
    {
        const time_point end = this->now + limit;
        while (this->now < end)
        {
            if (condition())
            {
                return true;
            }
            this->step();
        }
        return condition();
    }

    void run(duration span)
    {
        this->run_until(
            []()
            {
                return false;
            },
            span);
    }

    gossip& node(std::size_t index)
    {
        return *this->nodes.at(index);
    }

    std::size_t size() const
    {
        return this->nodes.size();
    }

    bool is_down(std::size_t index) const
    {
        return this->down.contains(index);
    }

    /// Returns the state of one node as another node believes it to be.
    vm_state state(std::size_t observer, std::size_t subject)
    {
        const member_record* record =
            this->node(observer).table().find(name(subject));
        return record == nullptr ? vm_state::dead : record->status.state;
    }

    /// Returns whether every running node believes this state of a node.
    bool all_believe(std::size_t subject, vm_state state)
    {
        for (std::size_t index = 0; index < this->size(); ++index)
        {
            const bool differs =
                !this->is_down(index) && this->state(index, subject) != state;
            if (differs)
            {
                return false;
            }
        }
        return true;
    }

    /// Returns whether every running node believes exactly the running nodes
    /// alive and all others dead.
    bool converged()
    {
        for (std::size_t index = 0; index < this->size(); ++index)
        {
            const vm_state state =
                this->is_down(index) ? vm_state::dead : vm_state::alive;
            if (!this->all_believe(index, state))
            {
                return false;
            }
        }
        return true;
    }

    time_point time() const
    {
        return this->now;
    }

    /// Bytes sent by all nodes, including headers.
    std::size_t sent_bytes = 0;
    std::size_t sent_messages = 0;
    std::size_t largest_message = 0;

    static std::string name(std::size_t index)
    {
        return "vm-" + std::to_string(1000 + index);
    }

private:
    static constexpr duration tick = std::chrono::milliseconds(50);

    static vm make_vm(std::size_t index)
    {
        vm vm_details;
        vm_details.id = name(index);
        vm_details.region = "at-ost";
        vm_details.zone = "krems";
        vm_details.address = std::to_string(index);
        vm_details.gossip_port = 7000;
        return vm_details;
    }

    static vm make_runner(std::size_t index)
    {
        vm vm_details = make_vm(index);
        vm_details.id = "runner-" + std::to_string(1000 + index);
        vm_details.role = vm_role::runner;
        vm_details.service = "llm";
        return vm_details;
    }

    void step()
    {
        this->now += tick;
        for (auto& [index, node] : this->nodes)
        {
            if (!this->is_down(index))
            {
                this->send(index, node->on_tick(this->now));
            }
        }
        while (!this->queue.empty() && this->queue.begin()->first <= this->now)
        {
            const packet next = this->queue.begin()->second;
            this->queue.erase(this->queue.begin());
            this->deliver(next);
        }
    }

    struct packet
    {
        std::size_t receiver = 0;
        std::string bytes;
    };

    void send(std::size_t sender, const std::vector<outgoing_gossip>& messages)
    {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        std::uniform_int_distribution<int> delay_ms(1, 20);
        for (const outgoing_gossip& outgoing : messages)
        {
            const std::string bytes = encode(outgoing.message);
            this->sent_bytes += bytes.size() + gossip_settings().header_bytes;
            this->sent_messages += 1;
            this->largest_message =
                std::max(this->largest_message, bytes.size());
            const std::size_t receiver = std::stoul(outgoing.address);
            const bool is_partitioned = (sender < this->partition_border) !=
                                        (receiver < this->partition_border);
            const time_point arrival =
                this->now +
                std::chrono::milliseconds(delay_ms(this->generator));
            if (!is_partitioned && chance(this->generator) >= this->loss_rate)
            {
                this->queue.emplace(arrival, packet{receiver, bytes});
            }
        }
    }

    void deliver(const packet& next)
    {
        if (this->is_down(next.receiver))
        {
            return;
        }
        const gossip_message message = decode_gossip(next.bytes).value();
        this->send(
            next.receiver,
            this->node(next.receiver).on_message(this->now, message));
    }

    std::mt19937_64 generator;
    double loss_rate;
    std::size_t runners;
    std::map<std::size_t, std::unique_ptr<gossip>> nodes;
    std::multimap<time_point, packet> queue;
    std::set<std::size_t> down;
    std::size_t partition_border = 0;
    time_point now;
};

} // namespace chicory::membership

#endif
