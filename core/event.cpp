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
        {process_draining, "process_draining", info, "The process takes no new work and finishes what is in progress."},
        {process_stopped, "process_stopped", info, "The process has finished everything and stops."},
        {start_failed, "start_failed", error, "The process could not start."},
        {listening, "listening", info, "A port was opened."},
        {signal_received, "signal_received", info, "The operating system asked the process to stop."},
        {work_cut_off, "work_cut_off", warning, "A second signal stopped the process at once; `cut_off` names what was in progress."},
        {settings_reloaded, "settings_reloaded", info, "The operating system said that the settings have changed."},
        {lines_left_out, "lines_left_out", info, "Lines of an event were left out because there were too many in a second."},
        {unexpected_error, "unexpected_error", error, "An unexpected error ended one piece of work; the process goes on."},

        {request_refused, "request_refused", info, "An online request was refused."},
        {attempt_failed, "attempt_failed", info, "An attempt on a runner gave no whole answer."},
        {runner_died, "runner_died", warning, "A runner died with requests in progress."},
        {request_quarantined, "request_quarantined", error, "A request has crashed runners and is not run again."},
        {link_opened, "link_opened", info, "A link to another VM was opened."},
        {link_lost, "link_lost", warning, "A link to another VM broke."},
        {link_silent, "link_silent", warning, "A link made no progress and was replaced."},
        {runner_leaving_noticed, "runner_leaving_noticed", info, "A runner is leaving and gets no new work."},
        {batch_yielded, "batch_yielded", debug, "A batch item was cancelled to make room for online requests."},
        {claim_failed, "claim_failed", warning, "The key of a request that may not be repeated could not be claimed."},
        {answer_resumed, "answer_resumed", info, "A broken answer was resumed at its offset."},

        {request_admitted, "request_admitted", info, "An online request was read and its route found."},
        {request_placed, "request_placed", info, "A slot of a runner was given to an online request."},
        {request_completed, "request_completed", info, "An online request was answered in whole."},
        {request_failed, "request_failed", warning, "An online request ended without a whole answer."},
        {request_abandoned, "request_abandoned", info, "The caller left before the answer was complete."},
        {coordinator_silent, "coordinator_silent", warning, "The coordinator of a service's slots does not answer; a runner was chosen without it."},
        {slot_refused, "slot_refused", info, "The coordinator had no slot in time for an online request."},
        {slot_redirected, "slot_redirected", debug, "The coordinator had no slot and named another group of the service's runners."},

        {job_accepted, "job_accepted", info, "A batch job was accepted."},
        {job_refused, "job_refused", info, "A batch job was not accepted."},
        {job_cancelled, "job_cancelled", info, "A batch job was cancelled."},
        {job_completed, "job_completed", info, "All items of a batch job have results."},
        {chunk_leased, "chunk_leased", debug, "A chunk of a job was leased."},
        {chunk_committed, "chunk_committed", debug, "The results of a chunk were committed."},
        {chunk_lease_lost, "chunk_lease_lost", warning, "A chunk was taken over by another VM; its results here are dropped."},
        {item_failed, "item_failed", warning, "An item failed for good."},
        {commit_deferred, "commit_deferred", warning, "A commit waits for the table service."},
        {item_placed, "item_placed", info, "A slot of a runner was given to a batch item."},
        {item_interrupted, "item_interrupted", info, "A run of a batch item ended early; its text so far is kept."},
        {item_finished, "item_finished", info, "A batch item has its result."},
        {job_taken_over, "job_taken_over", info, "This VM runs a job whose VM is gone."},
        {job_record_rejected, "job_record_rejected", error, "The record of a job in the store cannot be read."},
        {job_handed_over, "job_handed_over", info, "This VM leaves and gave a job to another one."},

        {vm_alive, "vm_alive", info, "A VM is alive."},
        {vm_suspect, "vm_suspect", warning, "A VM does not answer."},
        {vm_leaving, "vm_leaving", info, "A VM is leaving."},
        {vm_dead, "vm_dead", warning, "A VM is taken for dead."},
        {vm_list_unavailable, "vm_list_unavailable", warning, "The platform's VM list could not be read."},

        {configuration_adopted, "configuration_adopted", info, "A higher revision of the configuration is in force."},
        {configuration_rejected, "configuration_rejected", error, "A configuration that was read is not valid and was not adopted."},
        {table_service_unavailable, "table_service_unavailable", warning, "The table service does not answer."},
        {table_service_back, "table_service_back", info, "The table service answers again."},
        {object_store_unavailable, "object_store_unavailable", warning, "The object store does not answer."},
        {runner_entry_rejected, "runner_entry_rejected", warning, "The entry of a runner cannot be read and names no runner to use."},
        {runner_changed, "runner_changed", info, "What is believed of a runner has changed."},

        {order_lease_taken, "order_lease_taken", info, "This VM gives the orders of a pool."},
        {order_lease_lost, "order_lease_lost", warning, "This VM no longer gives the orders of a pool."},
        {order_sent, "order_sent", info, "An order was sent to an engine."},
        {order_refused, "order_refused", warning, "An engine refused an order."},
        {order_confirmed, "order_confirmed", info, "An engine reports the wanted condition."},
        {weight_store_limited, "weight_store_limited", info, "A load waits for the weight store's rate."},
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
