#ifndef CHICORY_TESTS_SUPPORT_MUTATE_HPP
#define CHICORY_TESTS_SUPPORT_MUTATE_HPP

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace chicory::testing_support
{

/// Returns the number of damaged inputs of a fuzz test. The environment
/// variable CHICORY_FUZZ_ROUNDS overrides the default. Tests that write a file
/// for each input pass a smaller default for CI.
inline std::uint64_t fuzz_rounds(std::uint64_t rounds_in_ci = 20000)
{
    const char* const requested_rounds = std::getenv("CHICORY_FUZZ_ROUNDS");
    return requested_rounds == nullptr
               ? rounds_in_ci
               : std::strtoull(requested_rounds, nullptr, 10);
}

/// Applies one to eight random changes to the bytes: inserts a byte, truncates,
/// appends a copy of a part, or replaces a byte. Returns the result.
inline std::string mutate(std::string bytes, std::mt19937_64& generator)
{
    const std::uint64_t changes = 1 + generator() % 8;
    for (std::uint64_t change = 0; change < changes; ++change)
    {
        const std::size_t position = generator() % (bytes.size() + 1);
        const char byte = static_cast<char>(generator() & 0xFF);
        switch (generator() % 4)
        {
        case 0:
            bytes.insert(position, 1, byte);
            break;
        case 1:
            bytes.resize(position);
            break;
        case 2:
            bytes += bytes.substr(position, generator() % 32);
            break;
        default:
            if (position < bytes.size())
            {
                bytes[position] = byte;
            }
        }
    }
    return bytes;
}

} // namespace chicory::testing_support

#endif
