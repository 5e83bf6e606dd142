#ifndef CHICORY_CORE_SETTINGS_HPP
#define CHICORY_CORE_SETTINGS_HPP

#include "core/error.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory
{

/// One fault in a settings file.
struct settings_fault
{
    std::string file;
    /// Line in the file, starting at 1. For a missing key the line of its
    /// table, or 0 if the table is missing too.
    std::int64_t line = 0;
    std::string key;
    std::string expected;
    std::string found;

    bool operator==(const settings_fault&) const = default;
};

/// Formats a fault as "file:line: key: expected ..., found ...".
std::string to_text(const settings_fault& fault);

/// Reads a TOML file key by key. Keys are dotted, such as "gate.http_port". A
/// getter that finds a fault records it and returns a valid default, so that
/// `finish` can report all faults of a file together.
class settings_reader
{
public:
    /// Parses a file. Error: invalid_input if the file cannot be read or is
    /// not valid TOML.
    static result<settings_reader> open(const std::string& path);

    std::string required_string(std::string_view key);
    std::string optional_string(std::string_view key, std::string fallback);

    /// Reads an integer in the closed range [lowest, highest].
    std::int64_t required_integer(
        std::string_view key, std::int64_t lowest, std::int64_t highest);
    std::int64_t optional_integer(
        std::string_view key,
        std::int64_t fallback,
        std::int64_t lowest,
        std::int64_t highest);

    /// Reads an integer or a decimal number in the closed range [lowest,
    /// highest].
    double optional_number(
        std::string_view key, double fallback, double lowest, double highest);

    /// Reads a port number from 1 to 65535.
    std::uint16_t required_port(std::string_view key);

    bool optional_bool(std::string_view key, bool fallback);

    /// Reads an IPv4 or IPv6 address in text form.
    std::string required_address(std::string_view key);
    std::string optional_address(std::string_view key, std::string fallback);

    /// Reads an array of strings; a required array must not be empty.
    std::vector<std::string> required_strings(std::string_view key);
    std::vector<std::string> optional_strings(std::string_view key);

    /// Records a fault that the caller found in a value that it has read.
    void reject(std::string_view key, std::string expected, std::string found);

    /// Checks that the file has no keys or tables other than those read so far
    /// and reports all faults. Error: invalid_input with one line for each
    /// fault.
    result<void> finish();

    /// Returns the faults recorded so far.
    const std::vector<settings_fault>& faults() const;

private:
    /// A value of a type that no getter reads: a date or time, or an array that
    /// does not hold only strings.
    struct unsupported_value
    {
        std::string type;
    };
    using value = std::variant<
        std::string,
        std::int64_t,
        double,
        bool,
        std::vector<std::string>,
        unsupported_value>;
    struct setting
    {
        std::int64_t line = 0;
        value content;
    };
    struct loader;

    template <class T>
    const T* find(std::string_view key, bool required, std::string expected);
    std::int64_t check_range(
        std::string_view key,
        std::int64_t found,
        std::int64_t lowest,
        std::int64_t highest);
    std::string check_address(std::string_view key, std::string text);
    static std::string describe_value(const value& content);
    std::int64_t find_line(std::string_view key) const;

    std::string file;
    std::map<std::string, setting, std::less<>> settings;
    std::map<std::string, std::int64_t, std::less<>> tables;
    std::set<std::string, std::less<>> requested_keys;
    std::vector<settings_fault> found_faults;
};

} // namespace chicory

#endif
