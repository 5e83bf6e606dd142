#ifndef CHICORY_CORE_ERROR_HPP
#define CHICORY_CORE_ERROR_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace chicory
{

/// Kinds of failure of an operation. `name_of` returns their names.
enum class error_kind
{
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timeout,
    unauthenticated,
    forbidden,
    overloaded,
    cancelled,
    outcome_unknown,
    /// The received bytes are not a valid response or exceed a size limit.
    malformed,
    internal,
};

/// A typed failure. Callers act on the kind; the text states for operators what
/// was expected and what was found.
struct error
{
    error_kind kind = error_kind::internal;
    std::string text;

    bool operator==(const error&) const = default;
};

/// The result of an operation that can fail: a value or an error.
template <class T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Returns the name of an error kind as log fields use it, such as
/// "not_found".
std::string_view name_of(error_kind kind);

/// Returns an error that converts to a failed result of any type.
inline error make_error(error_kind kind, std::string text)
{
    return error{kind, std::move(text)};
}

} // namespace chicory

#endif
