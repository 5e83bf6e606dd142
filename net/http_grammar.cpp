#include "net/http_grammar.hpp"

#include <algorithm>

namespace chicory::net
{

namespace
{

constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char last_control = 0x1f;
constexpr unsigned char delete_character = 0x7f;

bool is_control(unsigned char letter)
{
    return letter <= last_control || letter == delete_character;
}

bool is_letter_or_digit(char letter)
{
    return (letter >= '0' && letter <= '9') ||
           (letter >= 'A' && letter <= 'Z') || (letter >= 'a' && letter <= 'z');
}

} // namespace

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(
               text.begin(),
               text.end(),
               [](char letter)
               {
                   return is_letter_or_digit(letter) ||
                          token_symbols.find(letter) != std::string_view::npos;
               });
}

bool is_field_value(std::string_view text)
{
    return std::none_of(
        text.begin(),
        text.end(),
        [](unsigned char letter)
        {
            return is_control(letter) && letter != '\t';
        });
}

bool is_origin_form(std::string_view text)
{
    return text.starts_with('/') && std::all_of(
                                        text.begin(),
                                        text.end(),
                                        [](unsigned char letter)
                                        {
                                            return letter > ' ' &&
                                                   letter < delete_character;
                                        });
}

} // namespace chicory::net
