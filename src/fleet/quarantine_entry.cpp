/** @file quarantine_entry.cpp Entries of quarantined prompt parts in the key-value service. */
#include "fleet/quarantine_entry_func.h"

#include "core/hash_func.h"
#include "core/json_member_func.h"

#include <charconv>
#include <limits>

namespace skylark {

std::string quarantineEntryKey(PromptPartId part)
{
    return std::string(quarantineEntryPrefix) + hexText(part.value);
}

std::string encodeQuarantineEntry(const QuarantineEntry &entry)
{
    return boost::json::serialize(boost::json::object{{"duration_ms", entry.duration.count()}, {"rounds", entry.rounds}});
}

Result<QuarantineEntry> decodeQuarantineEntry(std::string_view key, std::string_view value)
{
    const auto object = parseJsonObject(value);
    const std::string_view part = key.starts_with(quarantineEntryPrefix) ? key.substr(quarantineEntryPrefix.size()) : std::string_view();
    QuarantineEntry entry;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), entry.part.value, 16);
    if (!object || part.empty() || error != std::errc() || end != part.data() + part.size()) {
        return makeError(ErrorCode::InvalidDocument, "key or value is not that of a quarantine entry: " + std::string(key));
    }
    const std::uint64_t duration = numberMember(*object, "duration_ms");
    const std::uint64_t rounds = numberMember(*object, "rounds");
    if (duration == 0 || duration > std::numeric_limits<std::uint32_t>::max() || rounds == 0 || rounds > std::numeric_limits<std::uint16_t>::max()) {
        return makeError(ErrorCode::InvalidDocument, "quarantine entry lacks a valid duration or number of rounds: " + std::string(key));
    }
    entry.duration = std::chrono::milliseconds(static_cast<std::int64_t>(duration));
    entry.rounds = static_cast<unsigned>(rounds);
    return entry;
}

} // namespace skylark
