// The only translation unit with the non-template parts of Asio and Beast, so
// that other files compile faster.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
