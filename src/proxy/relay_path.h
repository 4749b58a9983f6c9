/** @file relay_path.h Path of relayed requests between hosts. */
#pragma once

#include <string_view>

namespace skylark {

/** Prefix of the request target of a relayed request, followed by that of the caller. */
inline constexpr std::string_view peerRelayPath = "/peer/relay";

} // namespace skylark
