/** @file host_entry.cpp Entry in the key-value service that registers a host with the other hosts. */
#include "fleet/host_entry_func.h"

#include "core/json_member_func.h"

#include <limits>

namespace skylark {

std::string hostEntryKey(const HostId &host)
{
    return std::string(hostEntryPrefix) + host.value;
}

std::string encodeHostEntry(const PeerEntry &entry)
{
    return boost::json::serialize(boost::json::object{
        {"session", entry.session.value}, {"domain", entry.domain.value}, {"address", entry.endpoint.address}, {"port", entry.endpoint.port}});
}

Result<PeerEntry> decodeHostEntry(std::string_view key, std::string_view value)
{
    const auto object = parseJsonObject(value);
    if (!object || !key.starts_with(hostEntryPrefix)) {
        return makeError(ErrorCode::InvalidDocument, "key or value is not that of a host entry: " + std::string(key));
    }
    PeerEntry entry;
    entry.host.value = std::string(key.substr(hostEntryPrefix.size()));
    entry.session.value = stringMember(*object, "session");
    entry.domain.value = stringMember(*object, "domain");
    entry.endpoint.address = stringMember(*object, "address");
    const std::uint64_t port = numberMember(*object, "port");
    if (entry.session.empty() || entry.endpoint.address.empty() || port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        return makeError(ErrorCode::InvalidDocument, "host entry lacks a session, an address or a valid port: " + std::string(key));
    }
    entry.endpoint.port = static_cast<std::uint16_t>(port);
    return entry;
}

} // namespace skylark
