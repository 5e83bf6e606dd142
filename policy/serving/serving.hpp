/// Public header of the serving policy: routes, runners, slots and jobs of the
/// fleet, which all nodes share. It makes decisions only and performs no input
/// or output.
#ifndef CHICORY_POLICY_SERVING_SERVING_HPP
#define CHICORY_POLICY_SERVING_SERVING_HPP

#include "policy/serving/coordinator_choice.hpp"
#include "policy/serving/crash_evidence.hpp"
#include "policy/serving/crash_guard.hpp"
#include "policy/serving/event_splitter.hpp"
#include "policy/serving/group_overflow.hpp"
#include "policy/serving/item_admission.hpp"
#include "policy/serving/item_piece.hpp"
#include "policy/serving/item_plan.hpp"
#include "policy/serving/item_progress.hpp"
#include "policy/serving/item_retry.hpp"
#include "policy/serving/job_ownership.hpp"
#include "policy/serving/job_record.hpp"
#include "policy/serving/part_digests.hpp"
#include "policy/serving/runner_directory.hpp"
#include "policy/serving/runner_group.hpp"
#include "policy/serving/runner_slots.hpp"
#include "policy/serving/serving_configuration.hpp"
#include "policy/serving/slot_messages.hpp"
#include "policy/serving/slot_scheduler.hpp"
#include "policy/serving/stop_plan.hpp"
#include "policy/serving/wait_estimate.hpp"

#endif
