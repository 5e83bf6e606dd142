/// Public header of the wire library: the messages between processes of the
/// system and the links that carry them.
#ifndef CHICORY_WIRE_WIRE_HPP
#define CHICORY_WIRE_WIRE_HPP

#include "wire/link.hpp"
#include "wire/message.hpp"
#include "wire/slot_packet.hpp"

#endif
