#include "policy/membership/gossip_message.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <limits>
#include <sstream>
#include <tuple>

namespace chicory::membership
{

namespace
{

using output = cereal::PortableBinaryOutputArchive;
using input = cereal::PortableBinaryInputArchive;

/// Strings and lists are encoded with a length of one byte.
constexpr std::size_t max_length = std::numeric_limits<std::uint8_t>::max();

void save(output& archive, const std::string& text)
{
    const std::size_t length = std::min(text.size(), max_length);
    archive(static_cast<std::uint8_t>(length));
    archive(cereal::binary_data(text.data(), length));
}

void load(input& archive, std::string& text)
{
    std::uint8_t length = 0;
    archive(length);
    text.resize(length);
    archive(cereal::binary_data(text.data(), text.size()));
}

template <class Enum>
void load_enum(input& archive, Enum& value, Enum last)
{
    std::uint8_t number = 0;
    archive(number);
    if (number > static_cast<std::uint8_t>(last))
    {
        throw cereal::Exception("enumerator out of range");
    }
    value = static_cast<Enum>(number);
}

/// Rejects any byte other than 0 and 1, because a bool that holds another value
/// is undefined behaviour.
void load(input& archive, bool& value)
{
    std::uint8_t number = 0;
    archive(number);
    if (number > 1)
    {
        throw cereal::Exception("expected 0 or 1 for a bool");
    }
    value = number == 1;
}

void save(output& archive, const vm& details)
{
    archive(static_cast<std::uint8_t>(details.role));
    save(archive, details.region);
    save(archive, details.zone);
    save(archive, details.address);
    archive(
        details.http_port,
        details.link_port,
        details.batch_port,
        details.gossip_port);
    save(archive, details.service);
    archive(details.memory_mb);
}

void load(input& archive, vm& details)
{
    load_enum(archive, details.role, vm_role::runner);
    load(archive, details.region);
    load(archive, details.zone);
    load(archive, details.address);
    archive(
        details.http_port,
        details.link_port,
        details.batch_port,
        details.gossip_port);
    load(archive, details.service);
    archive(details.memory_mb);
}

void save(output& archive, const member_update& value)
{
    save(archive, value.id);
    archive(
        value.status.incarnation,
        value.status.refutation,
        static_cast<std::uint8_t>(value.status.state),
        static_cast<std::uint8_t>(value.details.has_value() ? 1 : 0));
    if (value.details)
    {
        save(archive, *value.details);
    }
}

void load(input& archive, member_update& value)
{
    load(archive, value.id);
    bool has_details = false;
    archive(value.status.incarnation, value.status.refutation);
    load_enum(archive, value.status.state, vm_state::dead);
    load(archive, has_details);
    if (has_details)
    {
        load(archive, value.details.emplace());
        value.details->id = value.id;
        value.details->incarnation = value.status.incarnation;
        value.details->state = value.status.state;
    }
}

template <class T>
void save_list(output& archive, const std::vector<T>& list)
{
    const std::size_t length = std::min(list.size(), max_length);
    archive(static_cast<std::uint8_t>(length));
    for (std::size_t index = 0; index < length; ++index)
    {
        save(archive, list[index]);
    }
}

template <class T>
void load_list(input& archive, std::vector<T>& list)
{
    std::uint8_t length = 0;
    archive(length);
    list.resize(length);
    for (T& entry : list)
    {
        load(archive, entry);
    }
}

} // namespace

std::strong_ordering
member_status::operator<=>(const member_status& other) const
{
    return std::tie(this->incarnation, this->refutation, this->state) <=>
           std::tie(other.incarnation, other.refutation, other.state);
}

std::string encode(const gossip_message& message)
{
    std::ostringstream stream;
    {
        output archive(stream);
        archive(static_cast<std::uint8_t>(message.kind), message.sequence);
        save(archive, message.sender);
        save(archive, message.target);
        archive(message.revision);
        save_list(archive, message.updates);
        save_list(archive, message.detail_requests);
    }
    return std::move(stream).str();
}

result<gossip_message> decode_gossip(const std::string& bytes)
{
    try
    {
        std::istringstream stream(bytes);
        input archive(stream);
        gossip_message message;
        load_enum(archive, message.kind, gossip_kind::updates);
        archive(message.sequence);
        load(archive, message.sender);
        load(archive, message.target);
        archive(message.revision);
        load_list(archive, message.updates);
        load_list(archive, message.detail_requests);
        return message;
    }
    catch (const cereal::Exception& failure)
    {
        return make_error(
            error_kind::invalid_input,
            "gossip message of " + std::to_string(bytes.size()) +
                " bytes: expected a whole message, found " + failure.what());
    }
}

std::size_t encoded_size(const member_update& value)
{
    // Length of the id, incarnation, refutation, state, flag for details.
    std::size_t size = 1 + value.id.size() + 8 + 4 + 1 + 1;
    if (value.details)
    {
        // Role, four ports, memory and the lengths of four strings.
        size += 1 + 8 + 4 + 4;
        size += value.details->region.size() + value.details->zone.size();
        size += value.details->address.size() + value.details->service.size();
    }
    return size;
}

} // namespace chicory::membership
