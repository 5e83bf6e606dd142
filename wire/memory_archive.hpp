#ifndef CHICORY_WIRE_MEMORY_ARCHIVE_HPP
#define CHICORY_WIRE_MEMORY_ARCHIVE_HPP

// Cereal archives that write to a string and read from memory. A length that
// exceeds the number of remaining bytes is rejected before anything is
// allocated, so damaged input cannot cause large allocations.

#include <cereal/cereal.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace chicory::wire
{

/// Appends little-endian values to a string.
class memory_writer
    : public cereal::
          OutputArchive<memory_writer, cereal::AllowEmptyClassElision>
{
public:
    explicit memory_writer(std::string& target)
        : cereal::OutputArchive<memory_writer, cereal::AllowEmptyClassElision>(
              this),
          bytes(target)
    {
    }

    void write(const void* data, std::size_t size)
    {
        // An empty vector of numbers has no address.
        if (size > 0)
        {
            this->bytes.append(static_cast<const char*>(data), size);
        }
    }

private:
    std::string& bytes;
};

/// Reads little-endian values from memory, which must outlive the reader.
class memory_reader
    : public cereal::InputArchive<memory_reader, cereal::AllowEmptyClassElision>
{
public:
    explicit memory_reader(std::string_view source)
        : cereal::InputArchive<memory_reader, cereal::AllowEmptyClassElision>(
              this),
          bytes(source)
    {
    }

    /// Reads `size` bytes. Throws cereal::Exception when fewer bytes remain.
    void read(void* data, std::size_t size)
    {
        this->require(size);
        if (size > 0)
        {
            std::memcpy(data, this->bytes.data(), size);
            this->bytes.remove_prefix(size);
        }
    }

    /// Throws cereal::Exception when fewer than `size` bytes remain.
    void require(std::size_t size) const
    {
        if (size > this->bytes.size())
        {
            throw cereal::Exception(
                "expected " + std::to_string(size) + " bytes, found " +
                std::to_string(this->bytes.size()));
        }
    }

    /// Returns the number of bytes that were not read yet.
    std::size_t bytes_left() const
    {
        return this->bytes.size();
    }

private:
    std::string_view bytes;
};

template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(memory_writer& archive, const Number& value)
{
    static_assert(
        std::endian::native == std::endian::little,
        "messages are little-endian");
    archive.write(&value, sizeof(value));
}

template <class Number>
requires std::is_arithmetic_v<Number> &&
    (!std::is_same_v<Number, bool>)void CEREAL_LOAD_FUNCTION_NAME(
        memory_reader& archive, Number& value)
{
    archive.read(&value, sizeof(value));
}

/// Rejects a byte other than zero and one, as a bool with another value is
/// undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(memory_reader& archive, bool& value)
{
    std::uint8_t number = 0;
    archive.read(&number, sizeof(number));
    if (number > 1)
    {
        throw cereal::Exception(
            "expected 0 or 1 for a bool, found " + std::to_string(number));
    }
    value = number == 1;
}

/// Writes and reads the value only; names are not part of the encoding.
template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    memory_writer& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(
    memory_reader& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <class Size>
void CEREAL_SAVE_FUNCTION_NAME(
    memory_writer& archive, const cereal::SizeTag<Size>& tag)
{
    const std::uint32_t size = static_cast<std::uint32_t>(tag.size);
    archive.write(&size, sizeof(size));
}

/// Rejects a count larger than the number of remaining bytes: every element
/// takes at least one byte, so such a count is damaged.
template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(
    memory_reader& archive, cereal::SizeTag<Size>& tag)
{
    std::uint32_t size = 0;
    archive.read(&size, sizeof(size));
    archive.require(size);
    tag.size = size;
}

template <class Data>
void CEREAL_SAVE_FUNCTION_NAME(
    memory_writer& archive, const cereal::BinaryData<Data>& data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(
    memory_reader& archive, cereal::BinaryData<Data>& data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

} // namespace chicory::wire

CEREAL_REGISTER_ARCHIVE(chicory::wire::memory_writer)
CEREAL_REGISTER_ARCHIVE(chicory::wire::memory_reader)
CEREAL_SETUP_ARCHIVE_TRAITS(
    chicory::wire::memory_reader, chicory::wire::memory_writer)

#endif
