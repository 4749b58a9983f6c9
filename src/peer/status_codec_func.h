/** @file status_codec_func.h Wire form of status and yield datagrams. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "peer/status_type.h"

#include <string>
#include <string_view>
#include <variant>

namespace skylark {

/** Largest datagram sent; below the UDP limit of 65507 bytes. */
inline constexpr std::size_t maxDatagramBytes = 32768;

/** Content of one datagram. */
using Datagram = std::variant<HostStatus, YieldMessage>;

/**
 * @return Packed message for @p status, at most maxDatagramBytes. When all target reports do not fit, it holds as many as do, beginning at a position that
 * moves with the sequence, so that several datagrams together report every target.
 * @param now Time from which the age of load reports is computed.
 */
[[nodiscard]] std::string encodeStatus(const HostStatus &status, TimePoint now);

/** @return Packed message for @p message. */
[[nodiscard]] std::string encodeYield(const YieldMessage &message);

/** @return The content of @p bytes, or ProtocolError. Load reports get their arrival time from @p now and their age. */
[[nodiscard]] Result<Datagram> decodeDatagram(std::string_view bytes, TimePoint now);

} // namespace skylark
