/** @file datagram_pack_func.h What the encoders of datagrams share. */
#pragma once

#include <capnp/message.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace skylark {

/** @return The bytes of @p message in packed form. */
[[nodiscard]] std::string pack(capnp::MessageBuilder &message);

/** @return @p time in whole milliseconds, limited to the range of the field. */
[[nodiscard]] std::uint32_t millisecondsOnWire(std::chrono::milliseconds time);

} // namespace skylark
