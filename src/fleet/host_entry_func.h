/** @file host_entry_func.h Entry by which a host makes itself known to the others in the key-value service. */
#pragma once

#include "core/result_type.h"
#include "fleet/fleet_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Prefix of the hosts' entries. */
inline constexpr std::string_view hostEntryPrefix = "hosts/";

/** @return Key of the entry of @p host. */
[[nodiscard]] std::string hostEntryKey(const HostId &host);

/** @return Value of the entry. */
[[nodiscard]] std::string encodeHostEntry(const PeerEntry &entry);

/** @return The entry in @p value of @p key, or InvalidDocument. */
[[nodiscard]] Result<PeerEntry> decodeHostEntry(std::string_view key, std::string_view value);

} // namespace skylark
