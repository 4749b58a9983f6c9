/** @file host_entry_func.h Entry in the key-value service that registers a host with the other hosts. */
#pragma once

#include "core/result_type.h"
#include "fleet/fleet_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Prefix of the keys of all hosts' entries. */
inline constexpr std::string_view hostEntryPrefix = "hosts/";

/** @return Key of the entry of @p host. */
[[nodiscard]] std::string hostEntryKey(const HostId &host);

/** @return Value of the entry, a JSON object. */
[[nodiscard]] std::string encodeHostEntry(const PeerEntry &entry);

/** @return The entry that @p value holds under @p key; InvalidDocument when either is malformed. */
[[nodiscard]] Result<PeerEntry> decodeHostEntry(std::string_view key, std::string_view value);

} // namespace skylark
