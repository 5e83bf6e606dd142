#include "wire/message.hpp"

#include "wire/serialization.hpp"

#include <string_view>

namespace chicory::wire
{

std::string encode(const message& value)
{
    std::string bytes;
    memory_writer archive(bytes);
    archive(value);
    return bytes;
}

result<message> decode(std::string_view bytes)
{
    try
    {
        memory_reader archive(bytes);
        message value;
        archive(value);
        if (archive.bytes_left() == 0)
        {
            return value;
        }
        return make_error(
            error_kind::invalid_input,
            "message: expected its end, found " +
                std::to_string(archive.bytes_left()) + " more bytes");
    }
    catch (const cereal::Exception& failure)
    {
        return make_error(
            error_kind::invalid_input,
            "message of " + std::to_string(bytes.size()) +
                " bytes: " + failure.what());
    }
}

} // namespace chicory::wire
