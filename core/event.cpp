#include "core/event.hpp"

#include "core/enum_table.hpp"

#include <cstdlib>

namespace chicory
{

namespace
{

constexpr enum_table<severity, 4> severity_names = {{
    {severity::debug, "debug"},
    {severity::info, "info"},
    {severity::warning, "warning"},
    {severity::error, "error"},
}};

} // namespace

const std::vector<event_entry>& event_catalogue()
{
    using enum event;
    using enum severity;
    // clang-format off
    static const std::vector<event_entry> entries = {
        {process_started, "process_started", info, "The process has started."},
        {process_draining, "process_draining", info, "The process accepts no new work and finishes the work in progress."},
        {process_stopped, "process_stopped", info, "The process has finished all work and exits."},
        {start_failed, "start_failed", error, "The process could not start."},
        {listening, "listening", info, "A port was opened."},
        {signal_received, "signal_received", info, "The process received a signal to stop."},
        {work_cut_off, "work_cut_off", warning, "A second signal stopped the process immediately; `cut_off` names the work that was in progress."},
        {settings_reloaded, "settings_reloaded", info, "The settings were reloaded after a signal."},
        {lines_left_out, "lines_left_out", info, "Log lines of an event were dropped because its limit of lines per second was exceeded."},
        {unexpected_error, "unexpected_error", error, "An unexpected error ended one task; the process continues."},
        {drain_finished, "drain_finished", info, "A stopping process has no work left, or no time for it; the fields count its requests since the stop began."},

        {request_refused, "request_refused", info, "An online request was refused."},
        {attempt_failed, "attempt_failed", info, "An attempt on a runner returned no complete response."},
        {runner_died, "runner_died", warning, "A runner crashed with requests in progress."},
        {request_quarantined, "request_quarantined", error, "A request has crashed runners and will not run again."},
        {link_opened, "link_opened", info, "A link to another VM was opened."},
        {link_lost, "link_lost", warning, "A link to another VM broke."},
        {link_silent, "link_silent", warning, "A link made no progress and was replaced."},
        {runner_leaving_noticed, "runner_leaving_noticed", info, "A runner is leaving and gets no new work."},
        {batch_yielded, "batch_yielded", debug, "A batch run was preempted to free capacity for online requests."},
        {claim_failed, "claim_failed", warning, "The key of a request that must not be repeated could not be claimed."},
        {answer_resumed, "answer_resumed", info, "An interrupted response was resumed at its offset."},

        {request_admitted, "request_admitted", info, "An online request was read and its route was found."},
        {request_placed, "request_placed", info, "An online request was assigned a slot of a runner."},
        {request_completed, "request_completed", info, "An online request received a complete response."},
        {request_failed, "request_failed", warning, "An online request ended without a complete response."},
        {request_abandoned, "request_abandoned", info, "The caller disconnected before the response was complete."},
        {coordinator_silent, "coordinator_silent", warning, "The slot coordinator of a service does not respond; a runner was chosen without it."},
        {slot_refused, "slot_refused", info, "The coordinator had no slot for an online request within the time limit."},
        {slot_redirected, "slot_redirected", debug, "The coordinator had no slot and named another group of the service's runners as redirect target."},
        {trait_quarantined, "trait_quarantined", error, "Requests that have all of `companions` crashed runners (`crashed_runs`) and are refused for `time_left_ms`."},
        {trait_released, "trait_released", info, "Requests with a quarantined trait may run again: a run showed that it is good, or nothing used it for long."},
        {request_cut_off, "request_cut_off", warning, "This process ended a request that may have run before its response was complete."},
        {response_reading_paused, "response_reading_paused", info, "The caller is so far behind that its response is no longer read from the runner until it has read more; logged once for a request."},
        {access_refused, "access_refused", info, "A request or job call was refused for its API key, or because the keys known here may be out of date; `key` is the start of the digest of an unknown key."},
        {quota_refused, "quota_refused", info, "An organisation sent requests beyond its quota; a line per second with the numbers of this coordinator."},
        {quota_contact_changed, "quota_contact_changed", warning, "This coordinator of slots lost or regained contact with the majority of the fleet; without it, it grants only a reserve of each quota."},

        {job_accepted, "job_accepted", info, "A batch job was accepted."},
        {job_refused, "job_refused", info, "A batch job was not accepted."},
        {job_cancelled, "job_cancelled", info, "A batch job was cancelled."},
        {job_completed, "job_completed", info, "All items of a batch job have results."},
        {chunk_leased, "chunk_leased", debug, "A chunk of a job was leased."},
        {chunk_committed, "chunk_committed", debug, "The results of a chunk were committed."},
        {chunk_lease_lost, "chunk_lease_lost", warning, "A chunk was taken over by another VM; its local results are discarded."},
        {item_failed, "item_failed", warning, "An item failed permanently."},
        {commit_deferred, "commit_deferred", warning, "A commit is deferred until the table service responds."},
        {item_placed, "item_placed", info, "A batch item was assigned a slot of a runner."},
        {item_interrupted, "item_interrupted", info, "A run of a batch item ended early; the text produced so far is retained."},
        {item_finished, "item_finished", info, "A batch item has its result."},
        {job_taken_over, "job_taken_over", info, "This VM runs a job whose VM has failed."},
        {job_record_rejected, "job_record_rejected", error, "The record of a job in the store cannot be read."},
        {job_handed_over, "job_handed_over", info, "This VM is leaving and handed a job over to another VM."},
        {item_held, "item_held", info, "No runner can run a batch item at present; it is still owed."},
        {held_items_changed, "held_items_changed", info, "The number of batch items of a service that no runner can run has changed."},

        {vm_alive, "vm_alive", info, "A VM is alive."},
        {vm_suspect, "vm_suspect", warning, "A VM does not respond and is suspected."},
        {vm_leaving, "vm_leaving", info, "A VM is leaving."},
        {vm_dead, "vm_dead", warning, "A VM is declared dead."},
        {vm_list_unavailable, "vm_list_unavailable", warning, "The VM list of the platform could not be read."},

        {configuration_adopted, "configuration_adopted", info, "A higher revision of the configuration is in force."},
        {configuration_rejected, "configuration_rejected", error, "A configuration that was read is not valid and was not adopted."},
        {table_service_unavailable, "table_service_unavailable", warning, "The table service does not respond."},
        {table_service_back, "table_service_back", info, "The table service responds again."},
        {object_store_unavailable, "object_store_unavailable", warning, "The object store does not respond."},
        {runner_entry_rejected, "runner_entry_rejected", warning, "The entry of a runner cannot be read; the runner is not used."},
        {runner_changed, "runner_changed", info, "The known state of a runner has changed."},
        {quarantine_record_rejected, "quarantine_record_rejected", error, "The record of a quarantine in the store cannot be read."},
        {store_row_rejected, "store_row_rejected", error, "A row in a response of the store has no name or version and is left out."},
        {organisation_rejected, "organisation_rejected", warning, "An entry of the configuration's organisations, or a key, is not valid and was left out."},

        {order_lease_taken, "order_lease_taken", info, "This VM issues the orders of a pool."},
        {order_lease_lost, "order_lease_lost", warning, "This VM no longer issues the orders of a pool."},
        {order_sent, "order_sent", info, "An order was sent to an engine."},
        {order_refused, "order_refused", warning, "An engine refused an order."},
        {order_confirmed, "order_confirmed", info, "An engine reports the requested condition."},
        {weight_store_limited, "weight_store_limited", info, "A load waits for the rate limit of the weight store."},
    };
    // clang-format on
    return entries;
}

const event_entry& find_entry(event value)
{
    for (const event_entry& entry : event_catalogue())
    {
        if (entry.value == value)
        {
            return entry;
        }
    }
    // Every event must have a catalogue entry.
    std::abort();
}

std::string_view name_of(severity level)
{
    return find_name(severity_names, level);
}

} // namespace chicory
