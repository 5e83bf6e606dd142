#ifndef CHICORY_CORE_TOML_FILE_HPP
#define CHICORY_CORE_TOML_FILE_HPP

#include <cstdint>
#include <string>
#include <variant>

namespace chicory
{

/// Aborts the parsing of a file that fails an assertion of the parser, by
/// throwing an exception that `parse_toml_file` catches.
[[noreturn]] void fail_toml_assertion();

} // namespace chicory

// The parser of toml++ 3.3 asserts conditions that a malformed file can
// violate, such as "[^table]". With NDEBUG it treats them as assumptions, which
// makes parsing such a file undefined behaviour; without NDEBUG it uses the
// macro below. All files include toml++ through this header, so that its
// configuration is the same everywhere.
#undef NDEBUG
#define TOML_EXCEPTIONS 1
#define TOML_ASSERT(condition)                                                 \
    ((condition) ? static_cast<void>(0) : ::chicory::fail_toml_assertion())
#include <toml++/toml.h>

namespace chicory
{

/// The reason why a file could not be parsed.
struct toml_fault
{
    /// Line in the file, starting at 1; 0 if the file cannot be read.
    std::int64_t line = 0;
    std::string text;
};

/// Parses a TOML file; returns its root table or the first fault.
std::variant<toml::table, toml_fault> parse_toml_file(const std::string& path);

} // namespace chicory

#endif
