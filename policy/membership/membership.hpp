/// Public header of the membership library: VMs and their state as a node knows
/// it. A member is a cluster member, that is a control process or a node.
#ifndef CHICORY_POLICY_MEMBERSHIP_MEMBERSHIP_HPP
#define CHICORY_POLICY_MEMBERSHIP_MEMBERSHIP_HPP

#include "policy/membership/byte_budget.hpp"
#include "policy/membership/entrypoint_choice.hpp"
#include "policy/membership/gossip.hpp"
#include "policy/membership/gossip_message.hpp"
#include "policy/membership/member_table.hpp"
#include "policy/membership/probe_schedule.hpp"
#include "policy/membership/vm.hpp"
#include "policy/membership/vm_tracker.hpp"

#endif
