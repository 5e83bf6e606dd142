#ifndef CHICORY_CORE_ERROR_HPP
#define CHICORY_CORE_ERROR_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace chicory
{

/// Why an operation failed. Names are in `error_kind_names`.
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
    /// Bytes that are no answer, or more of them than are taken.
    malformed,
    internal,
};

/// A typed failure: the kind decides what callers do, the text tells a person
/// what was expected and what was found.
struct error
{
    error_kind kind = error_kind::internal;
    std::string text;

    bool operator==(const error&) const = default;
};

/// The value of an operation that may fail.
template <class T>
using result = boost::outcome_v2::
    basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Returns the field's name of an error kind, such as "not_found".
std::string_view name_of(error_kind kind);

/// Shorthand for a failed result.
inline error make_error(error_kind kind, std::string text)
{
    return error{kind, std::move(text)};
}

} // namespace chicory

#endif
