/// Public header of the net library: HTTP/1.1 client and server, and coroutines
/// whose exceptions are logged.
#ifndef CHICORY_NET_NET_HPP
#define CHICORY_NET_NET_HPP

#include "net/endpoint.hpp"
#include "net/guarded.hpp"
#include "net/http_client.hpp"
#include "net/http_grammar.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"
#include "net/response_head.hpp"

#endif
