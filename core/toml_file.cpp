#include "core/toml_file.hpp"

#include <fstream>
#include <stdexcept>
#include <string_view>

namespace chicory
{

namespace
{

/// Thrown by an assertion inside the parser and caught around each parser call.
class parser_assertion_failure : public std::logic_error
{
public:
    parser_assertion_failure() : std::logic_error("malformed TOML")
    {
    }
};

bool fails_assertion(std::string_view text)
{
    try
    {
        static_cast<void>(toml::parse(text));
        return false;
    }
    catch (const parser_assertion_failure&)
    {
        return true;
    }
    catch (const toml::parse_error&)
    {
        return false;
    }
}

/// Returns the line, starting at 1, at which the parser fails an assertion: the
/// last line of the shortest leading part of the file that fails it. The
/// assertion itself does not know the position.
std::int64_t find_failing_line(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::int64_t number = 0;
    for (std::string line; std::getline(file, line);)
    {
        ++number;
        text += line + "\n";
        if (fails_assertion(text))
        {
            break;
        }
    }
    return number;
}

} // namespace

void fail_toml_assertion()
{
    throw parser_assertion_failure();
}

std::variant<toml::table, toml_fault> parse_toml_file(const std::string& path)
{
    try
    {
        return toml::parse_file(path);
    }
    catch (const toml::parse_error& failure)
    {
        return toml_fault{
            failure.source().begin.line, std::string(failure.description())};
    }
    catch (const parser_assertion_failure& failure)
    {
        return toml_fault{find_failing_line(path), failure.what()};
    }
}

} // namespace chicory
