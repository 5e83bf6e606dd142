/// Public header of the core library: errors, time, identifiers, base64, tables
/// of enumerator names, settings, log, events, metrics, state charts and
/// command lines.
#ifndef CHICORY_CORE_CORE_HPP
#define CHICORY_CORE_CORE_HPP

#include "core/base64.hpp"
#include "core/chart.hpp"
#include "core/enum_table.hpp"
#include "core/error.hpp"
#include "core/event.hpp"
#include "core/identifier.hpp"
#include "core/log.hpp"
#include "core/log_budget.hpp"
#include "core/metrics.hpp"
#include "core/program.hpp"
#include "core/reason.hpp"
#include "core/settings.hpp"
#include "core/time.hpp"

#endif
