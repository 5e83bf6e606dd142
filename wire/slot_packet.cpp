#include "wire/slot_packet.hpp"

#include "wire/memory_archive.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace chicory::serving
{

template <class Archive>
void serialize(Archive& archive, runner_group& value)
{
    archive(value.service, value.zone, value.part);
}

template <class Archive>
void serialize(Archive& archive, slot_id& value)
{
    archive(value.node, value.incarnation, value.number);
}

/// Reads or writes a duration as a number of microseconds.
template <class Archive>
void serialize_duration(Archive& archive, duration& value)
{
    std::int64_t count = value.count();
    archive(count);
    value = duration(count);
}

template <class Archive>
void serialize(Archive& archive, slot_request& value)
{
    archive(value.id, value.kind, value.group, value.redirected, value.zone);
    serialize_duration(archive, value.target_time_left);
    serialize_duration(archive, value.time_left);
    serialize_duration(archive, value.expected_work);
    archive(
        value.request_digest, value.parts, value.repeatable, value.excluded);
}

template <class Archive>
void serialize(Archive& archive, crashed_run& value)
{
    archive(value.request_digest, value.id, value.parts, value.runner);
    serialize_duration(archive, value.age);
    serialize_duration(archive, value.lasted);
    archive(value.stage);
}

template <class Archive>
void serialize(Archive& archive, leaving_runner& value)
{
    archive(value.id, value.started_ms);
}

template <class Archive>
void serialize(Archive& archive, held_slot& value)
{
    archive(value.id, value.kind, value.group, value.runner);
    serialize_duration(archive, value.age);
    serialize_duration(archive, value.silence);
}

template <class Archive>
void serialize(Archive& archive, slot_decision& value)
{
    archive(value.id, value.kind, value.runner);
    serialize_duration(archive, value.retry_after);
    archive(value.redirect_target, value.report_first_event);
}

template <class Archive>
void serialize(Archive& archive, group_status& value)
{
    archive(
        value.group,
        value.nodes,
        value.online_capacity,
        value.batch_capacity,
        value.crashed);
}

} // namespace chicory::serving

namespace chicory::wire
{

template <class Archive>
void serialize(Archive& archive, slot_release& value)
{
    archive(
        value.group,
        value.id,
        value.outcome,
        value.request_digest,
        value.parts,
        value.runner);
    serving::serialize_duration(archive, value.lasted);
    archive(value.stage);
}

template <class Archive>
void serialize(Archive& archive, first_event& value)
{
    archive(value.group, value.id, value.traits);
}

template <class Archive>
void serialize(Archive& archive, slot_report& value)
{
    archive(
        value.group,
        value.node,
        value.incarnation,
        value.held,
        value.waiting,
        value.crashed,
        value.leaving);
}

template <class Archive>
void serialize(Archive& archive, slot_decisions& value)
{
    archive(value.group, value.decisions);
}

template <class Archive>
void serialize(Archive& archive, group_status_packet& value)
{
    archive(value.receiver, value.status);
}

std::string encode_slot_packet(const slot_packet& value)
{
    std::string bytes;
    memory_writer archive(bytes);
    archive(value);
    return bytes;
}

result<slot_packet> decode_slot_packet(std::string_view bytes)
{
    try
    {
        memory_reader archive(bytes);
        slot_packet value;
        archive(value);
        if (archive.bytes_left() == 0)
        {
            return value;
        }
        return make_error(
            error_kind::invalid_input,
            "slot packet: expected its end, found " +
                std::to_string(archive.bytes_left()) + " more bytes");
    }
    catch (const cereal::Exception& failure)
    {
        return make_error(
            error_kind::invalid_input,
            "slot packet of " + std::to_string(bytes.size()) +
                " bytes: " + failure.what());
    }
}

} // namespace chicory::wire
