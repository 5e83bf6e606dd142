/// Public header of the online library: decisions about an online request
/// between its caller and a runner.
#ifndef CHICORY_POLICY_ONLINE_ONLINE_HPP
#define CHICORY_POLICY_ONLINE_ONLINE_HPP

#include "policy/online/claim_batcher.hpp"
#include "policy/online/claim_expiry.hpp"
#include "policy/online/link_health.hpp"
#include "policy/online/owner_map.hpp"
#include "policy/online/quarantine.hpp"
#include "policy/online/request.hpp"
#include "policy/online/request_attempts.hpp"
#include "policy/online/response_assembler.hpp"
#include "policy/online/retry_budget.hpp"
#include "policy/online/runner_chooser.hpp"
#include "policy/online/runner_queue.hpp"

#endif
