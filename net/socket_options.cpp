#include "net/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace chicory::net
{

namespace
{

constexpr int keepalive_idle_seconds = 10;
constexpr int keepalive_interval_seconds = 5;
constexpr int keepalive_probes = 3;
constexpr int user_timeout_ms = 20000;

void set_option(int socket, int level, int name, int value)
{
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

/// Peeks at the next received byte without consuming it. Returns the result of
/// recv.
ssize_t peek(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    return ::recv(
        socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

void set_connection_options(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

bool is_stale(boost::asio::ip::tcp::socket& socket)
{
    const ssize_t count = peek(socket);
    return count >= 0 || !would_block();
}

bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket)
{
    const ssize_t count = peek(socket);
    if (count < 0)
    {
        return !would_block();
    }
    return count == 0;
}

} // namespace chicory::net
