/// Public header of the configuration library: the tables of routes and
/// pools, the codec of their rows, edits, history and adoption.
#ifndef CHICORY_POLICY_CONFIGURATION_CONFIGURATION_HPP
#define CHICORY_POLICY_CONFIGURATION_CONFIGURATION_HPP

#include "policy/configuration/adoption.hpp"
#include "policy/configuration/edit_plan.hpp"
#include "policy/configuration/history.hpp"
#include "policy/configuration/poll_share.hpp"
#include "policy/configuration/pool.hpp"
#include "policy/configuration/route.hpp"
#include "policy/configuration/row_codec.hpp"
#include "policy/configuration/row_keys.hpp"
#include "policy/configuration/table_set.hpp"
#include "policy/configuration/validation.hpp"

#endif
