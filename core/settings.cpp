#include "core/settings.hpp"

#include "core/toml_file.hpp"

#include <arpa/inet.h>

#include <array>
#include <cstddef>
#include <limits>
#include <optional>

namespace chicory
{

namespace
{

constexpr std::int64_t highest_port = std::numeric_limits<std::uint16_t>::max();

bool is_address(const std::string& text)
{
    std::array<std::byte, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

std::string describe_type(const toml::node& node)
{
    switch (node.type())
    {
    case toml::node_type::array:
        return "an array that does not hold only strings";
    case toml::node_type::table:
        return "a table";
    case toml::node_type::date:
    case toml::node_type::time:
    case toml::node_type::date_time:
        return "a date or time";
    default:
        return "a value of another type";
    }
}

std::optional<std::vector<std::string>> read_strings(const toml::node& node)
{
    const toml::array* const array = node.as_array();
    if (array == nullptr)
    {
        return std::nullopt;
    }
    std::vector<std::string> strings;
    for (const toml::node& element : *array)
    {
        const std::optional<std::string> text =
            element.value_exact<std::string>();
        if (!text)
        {
            return std::nullopt;
        }
        strings.push_back(*text);
    }
    return strings;
}

} // namespace

/// Flattens the parsed file into a map from dotted keys to settings.
struct settings_reader::loader
{
    static value convert(const toml::node& node)
    {
        if (const auto text = node.value_exact<std::string>())
        {
            return *text;
        }
        if (const auto number = node.value_exact<std::int64_t>())
        {
            return *number;
        }
        if (const auto real = node.value_exact<double>())
        {
            return *real;
        }
        if (const auto flag = node.value_exact<bool>())
        {
            return *flag;
        }
        if (const auto strings = read_strings(node))
        {
            return *strings;
        }
        return unsupported_value{describe_type(node)};
    }

    static void flatten(
        settings_reader& reader,
        const std::string& prefix,
        const toml::table& table)
    {
        for (const auto& [name, node] : table)
        {
            const std::string key = prefix + std::string(name.str());
            const std::int64_t line = name.source().begin.line;
            if (name.str().find('.') != std::string_view::npos)
            {
                // A quoted name with dots would be taken for a key of a nested
                // table.
                reader.found_faults.push_back(
                    {reader.file,
                     line,
                     key,
                     "a name without dots",
                     "a quoted name with dots"});
                continue;
            }
            if (const toml::table* const inner = node.as_table())
            {
                reader.tables.emplace(key, line);
                flatten(reader, key + ".", *inner);
                continue;
            }
            reader.settings.emplace(key, setting{line, convert(node)});
        }
    }
};

std::string to_text(const settings_fault& fault)
{
    std::string text = fault.file + ":" + std::to_string(fault.line) + ": ";
    if (!fault.key.empty())
    {
        text += fault.key + ": ";
    }
    return text + "expected " + fault.expected + ", found " + fault.found;
}

result<settings_reader> settings_reader::open(const std::string& path)
{
    const std::variant<toml::table, toml_fault> parsed = parse_toml_file(path);
    if (const auto* const failure = std::get_if<toml_fault>(&parsed))
    {
        const bool is_unreadable = failure->line == 0;
        const settings_fault fault{
            path,
            failure->line,
            "",
            is_unreadable ? "a file that can be read" : "TOML",
            failure->text};
        return make_error(error_kind::invalid_input, to_text(fault));
    }
    settings_reader reader;
    reader.file = path;
    loader::flatten(reader, "", std::get<toml::table>(parsed));
    return reader;
}

template <class T>
const T*
settings_reader::find(std::string_view key, bool required, std::string expected)
{
    this->requested_keys.emplace(key);
    const auto entry = this->settings.find(key);
    if (entry != this->settings.end())
    {
        const T* const content = std::get_if<T>(&entry->second.content);
        if (content == nullptr)
        {
            this->reject(
                key,
                std::move(expected),
                describe_value(entry->second.content));
        }
        return content;
    }
    if (const auto table = this->tables.find(key); table != this->tables.end())
    {
        this->found_faults.push_back(
            {this->file,
             table->second,
             std::string(key),
             std::move(expected),
             "a table"});
    }
    else if (required)
    {
        this->reject(key, std::move(expected), "nothing");
    }
    return nullptr;
}

std::string settings_reader::required_string(std::string_view key)
{
    const auto* const text = this->find<std::string>(key, true, "a string");
    if (text != nullptr && text->empty())
    {
        this->reject(key, "a string that is not empty", "\"\"");
    }
    return text == nullptr ? std::string() : *text;
}

std::string
settings_reader::optional_string(std::string_view key, std::string fallback)
{
    const auto* const text = this->find<std::string>(key, false, "a string");
    return text == nullptr ? fallback : *text;
}

std::int64_t settings_reader::required_integer(
    std::string_view key, std::int64_t lowest, std::int64_t highest)
{
    const auto* const number =
        this->find<std::int64_t>(key, true, "an integer");
    if (number == nullptr)
    {
        return lowest;
    }
    return this->check_range(key, *number, lowest, highest);
}

std::int64_t settings_reader::optional_integer(
    std::string_view key,
    std::int64_t fallback,
    std::int64_t lowest,
    std::int64_t highest)
{
    const auto* const number =
        this->find<std::int64_t>(key, false, "an integer");
    if (number == nullptr)
    {
        return fallback;
    }
    return this->check_range(key, *number, lowest, highest);
}

double settings_reader::optional_number(
    std::string_view key, double fallback, double lowest, double highest)
{
    const auto entry = this->settings.find(key);
    const bool is_integer =
        entry != this->settings.end() &&
        std::holds_alternative<std::int64_t>(entry->second.content);
    double number = fallback;
    if (is_integer)
    {
        this->requested_keys.emplace(key);
        number =
            static_cast<double>(std::get<std::int64_t>(entry->second.content));
    }
    else if (
        const auto* const found = this->find<double>(key, false, "a number"))
    {
        number = *found;
    }
    // A comparison with a value that is not a number is false.
    if (!(number >= lowest && number <= highest))
    {
        this->reject(
            key,
            "a number from " + std::to_string(lowest) + " to " +
                std::to_string(highest),
            std::to_string(number));
        return fallback;
    }
    return number;
}

std::uint16_t settings_reader::required_port(std::string_view key)
{
    return static_cast<std::uint16_t>(
        this->required_integer(key, 1, highest_port));
}

bool settings_reader::optional_bool(std::string_view key, bool fallback)
{
    const bool* const flag = this->find<bool>(key, false, "true or false");
    return flag == nullptr ? fallback : *flag;
}

std::string settings_reader::required_address(std::string_view key)
{
    const auto* const text = this->find<std::string>(key, true, "an IP number");
    return text == nullptr ? std::string() : this->check_address(key, *text);
}

std::string
settings_reader::optional_address(std::string_view key, std::string fallback)
{
    const auto* const text =
        this->find<std::string>(key, false, "an IP number");
    return text == nullptr ? fallback : this->check_address(key, *text);
}

std::vector<std::string> settings_reader::required_strings(std::string_view key)
{
    const auto* const strings =
        this->find<std::vector<std::string>>(key, true, "an array of strings");
    if (strings != nullptr && strings->empty())
    {
        this->reject(key, "an array with at least one string", "[]");
    }
    return strings == nullptr ? std::vector<std::string>() : *strings;
}

std::vector<std::string> settings_reader::optional_strings(std::string_view key)
{
    const auto* const strings =
        this->find<std::vector<std::string>>(key, false, "an array of strings");
    return strings == nullptr ? std::vector<std::string>() : *strings;
}

void settings_reader::reject(
    std::string_view key, std::string expected, std::string found)
{
    const std::int64_t line = this->find_line(key);
    this->found_faults.push_back(
        {this->file,
         line,
         std::string(key),
         std::move(expected),
         std::move(found)});
}

std::int64_t settings_reader::find_line(std::string_view key) const
{
    if (const auto entry = this->settings.find(key);
        entry != this->settings.end())
    {
        return entry->second.line;
    }
    // The line of a missing key is that of the table it belongs in.
    const std::size_t dot = key.rfind('.');
    const std::string_view parent =
        dot == std::string_view::npos ? "" : key.substr(0, dot);
    const auto table = this->tables.find(parent);
    return table == this->tables.end() ? 0 : table->second;
}

result<void> settings_reader::finish()
{
    for (const auto& [key, entry] : this->settings)
    {
        if (!this->requested_keys.contains(key))
        {
            this->reject(key, "a known key", "an unknown key");
        }
    }
    for (const auto& [key, line] : this->tables)
    {
        const std::string prefix = key + ".";
        const auto known = this->requested_keys.lower_bound(prefix);
        const bool is_known =
            this->requested_keys.contains(key) ||
            (known != this->requested_keys.end() && known->starts_with(prefix));
        const auto inside = this->settings.lower_bound(prefix);
        const bool is_reported =
            inside != this->settings.end() && inside->first.starts_with(prefix);
        if (!is_known && !is_reported)
        {
            this->found_faults.push_back(
                {this->file, line, key, "a known key", "an unknown table"});
        }
    }
    if (this->found_faults.empty())
    {
        return boost::outcome_v2::success();
    }
    std::string text;
    for (const settings_fault& fault : this->found_faults)
    {
        text += text.empty() ? "" : "\n";
        text += to_text(fault);
    }
    return make_error(error_kind::invalid_input, text);
}

const std::vector<settings_fault>& settings_reader::faults() const
{
    return this->found_faults;
}

std::int64_t settings_reader::check_range(
    std::string_view key,
    std::int64_t found,
    std::int64_t lowest,
    std::int64_t highest)
{
    if (found >= lowest && found <= highest)
    {
        return found;
    }
    this->reject(
        key,
        "an integer from " + std::to_string(lowest) + " to " +
            std::to_string(highest),
        std::to_string(found));
    return lowest;
}

std::string
settings_reader::check_address(std::string_view key, std::string text)
{
    if (!is_address(text))
    {
        this->reject(key, "an IP number", "\"" + text + "\"");
    }
    return text;
}

std::string settings_reader::describe_value(const value& content)
{
    if (const auto* const text = std::get_if<std::string>(&content))
    {
        return "the string \"" + *text + "\"";
    }
    if (const auto* const number = std::get_if<std::int64_t>(&content))
    {
        return "the integer " + std::to_string(*number);
    }
    if (const auto* const real = std::get_if<double>(&content))
    {
        return "the number " + std::to_string(*real);
    }
    if (const bool* const flag = std::get_if<bool>(&content))
    {
        return *flag ? "true" : "false";
    }
    if (const auto* const other = std::get_if<unsupported_value>(&content))
    {
        return other->type;
    }
    return "an array of strings";
}

} // namespace chicory
