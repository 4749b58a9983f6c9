/** @file quarantine_entry_func.h Entries of quarantined prompt parts in the key-value service, which outlive the hosts' processes. */
#pragma once

#include "core/result_type.h"
#include "policy/crash_quarantine_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Prefix of the keys of quarantined parts. */
inline constexpr std::string_view quarantineEntryPrefix = "quarantine/";

/** Entry of a quarantined part. It states no point in time, because the clocks of hosts differ. */
struct QuarantineEntry {
    PromptPartId part;
    std::chrono::milliseconds duration{0}; ///< Duration of the quarantine.
    unsigned rounds{1}; ///< Number of quarantines of the part.
};

/** @return Key of the entry of @p part. */
[[nodiscard]] std::string quarantineEntryKey(PromptPartId part);

/** @return Value of the entry, a JSON object. */
[[nodiscard]] std::string encodeQuarantineEntry(const QuarantineEntry &entry);

/** @return The entry that @p value holds under @p key; InvalidDocument when either is malformed. */
[[nodiscard]] Result<QuarantineEntry> decodeQuarantineEntry(std::string_view key, std::string_view value);

} // namespace skylark
