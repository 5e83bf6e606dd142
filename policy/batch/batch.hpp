/// Public header of the batch library: parses submissions, describes the rows
/// of jobs and chunks, manages leases, runs the attempts at items, assigns
/// slots and commits results.
#ifndef CHICORY_POLICY_BATCH_BATCH_HPP
#define CHICORY_POLICY_BATCH_BATCH_HPP

#include "policy/batch/chunk_lease.hpp"
#include "policy/batch/chunk_record.hpp"
#include "policy/batch/chunk_run.hpp"
#include "policy/batch/commit_queue.hpp"
#include "policy/batch/item_record.hpp"
#include "policy/batch/job_feeder.hpp"
#include "policy/batch/job_record.hpp"
#include "policy/batch/jsonl_reader.hpp"
#include "policy/batch/lifecycle.hpp"
#include "policy/batch/slot_probes.hpp"
#include "policy/batch/write_plan.hpp"

#endif
