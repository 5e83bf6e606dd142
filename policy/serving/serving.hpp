/// Public header of the serving policy: routes, runners, slots and jobs of the
/// fleet, which all nodes share. It makes decisions only and performs no input
/// or output.
#ifndef CHICORY_POLICY_SERVING_SERVING_HPP
#define CHICORY_POLICY_SERVING_SERVING_HPP

#include "policy/serving/access.hpp"
#include "policy/serving/coordinator_choice.hpp"
#include "policy/serving/crash_evidence.hpp"
#include "policy/serving/crash_guard.hpp"
#include "policy/serving/direct_choice.hpp"
#include "policy/serving/event_splitter.hpp"
#include "policy/serving/group_overflow.hpp"
#include "policy/serving/item_admission.hpp"
#include "policy/serving/item_holds.hpp"
#include "policy/serving/item_piece.hpp"
#include "policy/serving/item_plan.hpp"
#include "policy/serving/item_progress.hpp"
#include "policy/serving/item_retry.hpp"
#include "policy/serving/job_ownership.hpp"
#include "policy/serving/job_record.hpp"
#include "policy/serving/key_freshness.hpp"
#include "policy/serving/memory_budget.hpp"
#include "policy/serving/organisation_quota.hpp"
#include "policy/serving/organisations.hpp"
#include "policy/serving/part_digests.hpp"
#include "policy/serving/placement_cost.hpp"
#include "policy/serving/quota_contacts.hpp"
#include "policy/serving/runner_directory.hpp"
#include "policy/serving/runner_group.hpp"
#include "policy/serving/runner_slots.hpp"
#include "policy/serving/runner_speed.hpp"
#include "policy/serving/serving_configuration.hpp"
#include "policy/serving/slot_messages.hpp"
#include "policy/serving/slot_scheduler.hpp"
#include "policy/serving/stop_plan.hpp"
#include "policy/serving/version_range.hpp"
#include "policy/serving/wait_estimate.hpp"

#endif
