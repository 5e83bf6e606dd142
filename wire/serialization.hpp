#ifndef CHICORY_WIRE_SERIALIZATION_HPP
#define CHICORY_WIRE_SERIALIZATION_HPP

// Serialization of each message with cereal. The order of the fields is the
// wire format. Only message.cpp includes this header.

#include "wire/memory_archive.hpp"
#include "wire/message.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace chicory::configuration
{

template <class Archive>
void serialize(Archive& archive, route& value)
{
    archive(
        value.name,
        value.member,
        value.pool,
        value.key_digests,
        value.max_in_progress,
        value.default_deadline_ms,
        value.retry_budget_percent,
        value.revision);
}

template <class Archive>
void serialize(Archive& archive, pool& value)
{
    archive(
        value.name,
        value.service,
        value.kind,
        value.slots_per_runner,
        value.harm_weight,
        value.wanted_models,
        value.wanted_versions,
        value.wanted_adapters,
        value.wanted_roles,
        value.engines_check_fencing,
        value.revision);
}

template <class Archive>
void serialize(Archive& archive, table_set& value)
{
    archive(value.revision, value.routes, value.pools);
}

} // namespace chicory::configuration

namespace chicory::membership
{

template <class Archive>
void serialize(Archive& archive, vm& value)
{
    archive(
        value.id,
        value.role,
        value.state,
        value.incarnation,
        value.region,
        value.zone,
        value.address,
        value.http_port,
        value.link_port,
        value.batch_port,
        value.gossip_port,
        value.service);
}

template <class Archive>
void serialize(Archive& archive, fleet_view& value)
{
    archive(value.version, value.vms);
}

} // namespace chicory::membership

namespace chicory::wire
{

template <class Archive>
void serialize(Archive& archive, hello& value)
{
    archive(value.vm_id, value.incarnation);
}

template <class Archive>
void serialize(Archive& archive, dispatch& value)
{
    archive(
        value.request_id,
        value.attempt,
        value.kind,
        value.member,
        value.route,
        value.pool,
        value.runner,
        value.path,
        value.content_type,
        value.body,
        value.time_left_us,
        value.not_repeatable,
        value.fingerprint,
        value.prefix_key,
        value.suspect);
}

template <class Archive>
void serialize(Archive& archive, response_head& value)
{
    archive(value.request_id, value.attempt, value.status, value.content_type);
}

template <class Archive>
void serialize(Archive& archive, response_frame& value)
{
    archive(value.request_id, value.attempt, value.offset, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, response_end& value)
{
    archive(value.request_id, value.attempt, value.length);
}

template <class Archive>
void serialize(Archive& archive, response_failed& value)
{
    archive(
        value.request_id,
        value.attempt,
        value.outcome,
        value.reason,
        value.retry_after_ms);
}

template <class Archive>
void serialize(Archive& archive, resume_response& value)
{
    archive(value.request_id, value.attempt, value.offset, value.runner);
}

template <class Archive>
void serialize(Archive& archive, cancel_attempt& value)
{
    archive(value.request_id, value.attempt);
}

template <class Archive>
void serialize(Archive& archive, probe& value)
{
    archive(value.probe_id, value.pool);
}

template <class Archive>
void serialize(Archive& archive, runner_state& value)
{
    archive(
        value.runner,
        value.online_in_progress,
        value.online_queued,
        value.batch_in_progress,
        value.limit,
        value.idle_batch_slots,
        value.latency_us);
}

template <class Archive>
void serialize(Archive& archive, probe_reply& value)
{
    archive(value.probe_id, value.pool, value.runners);
}

template <class Archive>
void serialize(Archive& archive, heartbeat& value)
{
    archive(value.sequence);
}

template <class Archive>
void serialize(Archive& archive, heartbeat_reply& value)
{
    archive(value.sequence);
}

template <class Archive>
void serialize(Archive& archive, subscribe& value)
{
    archive(value.vm_id, value.kind);
}

template <class Archive>
void serialize(Archive& archive, fleet_update& value)
{
    archive(value.view);
}

template <class Archive>
void serialize(Archive& archive, configuration_update& value)
{
    archive(value.tables);
}

template <class Archive>
void serialize(Archive& archive, quarantine_notice& value)
{
    archive(
        value.fingerprint,
        value.time_to_live_ms,
        value.runner,
        value.incarnation,
        value.cleared);
}

template <class Archive>
void serialize(Archive& archive, leaving_notice& value)
{
    archive(value.vm_id, value.incarnation);
}

} // namespace chicory::wire

#endif
