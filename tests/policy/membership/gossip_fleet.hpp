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

/// Many gossip objects on one scripted clock with a queue of messages between
/// them, which loses and delays at random.
class gossip_fleet
{
public:
    /// Runners stand in every view and run no gossip.
    gossip_fleet(
        std::size_t count,
        double loss,
        std::uint64_t seed,
        std::size_t listed_runners = 0)
        : generator(seed), loss_rate(loss), runners(listed_runners)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            this->start(index, 1 + index);
        }
    }

    /// Starts a node, or starts it anew with no memory. It learns the entry
    /// VMs from a list, as a VM does.
    void start(std::size_t index, std::uint64_t incarnation)
    {
        vm self = make_vm(index);
        self.incarnation = incarnation;
        this->nodes[index] = std::make_unique<gossip>(
            gossip_settings(), self, this->generator(), this->now);
        for (std::size_t other = 0; other < this->nodes.size(); ++other)
        {
            vm listed = make_vm(other);
            const member_update told{listed.id, member_status(), listed};
            this->nodes[index]->on_update(this->now, told);
        }
        for (std::size_t runner = 0; runner < this->runners; ++runner)
        {
            const vm listed = make_runner(runner);
            const member_update told{listed.id, member_status(), listed};
            this->nodes[index]->on_update(this->now, told);
        }
        this->down.erase(index);
    }

    void stop(std::size_t index)
    {
        this->down.insert(index);
    }

    /// Nodes below the border and those from it on hear nothing from each
    /// other; zero ends the cut.
    void partition(std::size_t border)
    {
        this->cut_border = border;
    }

    /// Runs until a condition holds; false when it did not within a limit.
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

    /// Returns what one node believes of another.
    vm_state state(std::size_t observer, std::size_t subject)
    {
        const member_record* record =
            this->node(observer).table().find(name(subject));
        return record == nullptr ? vm_state::dead : record->status.state;
    }

    /// Returns whether every running node believes this of a node.
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

    /// Returns whether every running node knows exactly the running ones.
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

    /// Bytes sent by all nodes, headers included.
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
        vm made;
        made.id = name(index);
        made.region = "at-ost";
        made.zone = "krems";
        made.address = std::to_string(index);
        made.gossip_port = 7000;
        return made;
    }

    static vm make_runner(std::size_t index)
    {
        vm made = make_vm(index);
        made.id = "runner-" + std::to_string(1000 + index);
        made.role = vm_role::runner;
        made.service = "llm";
        return made;
    }

    void step()
    {
        this->now += tick;
        for (auto& [index, node] : this->nodes)
        {
            if (!this->is_down(index))
            {
                this->post(index, node->on_tick(this->now));
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

    void post(std::size_t sender, const std::vector<outgoing_gossip>& messages)
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
            const bool apart =
                (sender < this->cut_border) != (receiver < this->cut_border);
            const time_point arrival =
                this->now +
                std::chrono::milliseconds(delay_ms(this->generator));
            if (!apart && chance(this->generator) >= this->loss_rate)
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
        this->post(
            next.receiver,
            this->node(next.receiver).on_message(this->now, message));
    }

    std::mt19937_64 generator;
    double loss_rate;
    std::size_t runners;
    std::map<std::size_t, std::unique_ptr<gossip>> nodes;
    std::multimap<time_point, packet> queue;
    std::set<std::size_t> down;
    std::size_t cut_border = 0;
    time_point now;
};

} // namespace chicory::membership

#endif
