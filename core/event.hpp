#ifndef CHICORY_CORE_EVENT_HPP
#define CHICORY_CORE_EVENT_HPP

#include <string_view>
#include <vector>

namespace chicory
{

/// Numbered log events. The number of an event is the enumerator's value; a
/// number is never reused for another meaning. docs/EVENTS.md lists the events.
enum class event
{
    // 100: process start and stop.
    process_started = 100,
    process_draining = 101,
    process_stopped = 102,
    start_failed = 103,
    listening = 104,
    signal_received = 105,
    work_cut_off = 106,
    settings_reloaded = 107,
    lines_left_out = 108,
    unexpected_error = 109,
    drain_finished = 110,

    // 200: online requests, owners and runners.
    request_refused = 200,
    attempt_failed = 201,
    runner_died = 202,
    request_quarantined = 203,
    link_opened = 204,
    link_lost = 205,
    link_silent = 206,
    runner_leaving_noticed = 207,
    batch_yielded = 208,
    claim_failed = 209,
    answer_resumed = 210,
    request_admitted = 211,
    request_placed = 212,
    request_completed = 213,
    request_failed = 214,
    request_abandoned = 215,
    coordinator_silent = 216,
    slot_refused = 217,
    slot_redirected = 218,
    trait_quarantined = 219,
    trait_released = 220,
    request_cut_off = 221,
    response_reading_paused = 222,
    access_refused = 230,
    quota_refused = 240,
    quota_contact_changed = 241,

    // 300: batch jobs.
    job_accepted = 300,
    job_refused = 301,
    job_cancelled = 302,
    job_completed = 303,
    chunk_leased = 304,
    chunk_committed = 305,
    chunk_lease_lost = 306,
    item_failed = 307,
    commit_deferred = 308,
    item_placed = 309,
    item_interrupted = 310,
    item_finished = 311,
    job_taken_over = 312,
    job_record_rejected = 313,
    job_handed_over = 314,
    item_held = 315,
    held_items_changed = 316,

    // 400: membership.
    vm_alive = 400,
    vm_suspect = 401,
    vm_leaving = 402,
    vm_dead = 403,
    vm_list_unavailable = 404,

    // 500: configuration, the platform's services and runner entries.
    configuration_adopted = 500,
    configuration_rejected = 501,
    table_service_unavailable = 502,
    table_service_back = 503,
    object_store_unavailable = 504,
    runner_entry_rejected = 505,
    runner_changed = 506,
    quarantine_record_rejected = 507,
    store_row_rejected = 508,
    organisation_rejected = 520,

    // 600: orders to engines.
    order_lease_taken = 600,
    order_lease_lost = 601,
    order_sent = 602,
    order_refused = 603,
    order_confirmed = 604,
    weight_store_limited = 605,
};

/// Severity levels of events, lowest first.
enum class severity
{
    debug,
    info,
    warning,
    error,
};

/// One entry of the event catalogue.
struct event_entry
{
    event value;
    std::string_view name;
    severity level;
    std::string_view text;
};

/// Returns the event catalogue, sorted by number.
const std::vector<event_entry>& event_catalogue();

/// Returns the catalogue entry of an event. Aborts the process if the event has
/// no entry; a test checks that every event has one.
const event_entry& find_entry(event value);

/// Returns the name of a severity, such as "warning".
std::string_view name_of(severity level);

} // namespace chicory

#endif
