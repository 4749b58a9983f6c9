/** @file stored_origins.cpp What the key-value service holds of the software versions that began streams. */
#include "fleet/stored_origins_func.h"

#include "core/hash_func.h"
#include "core/json_member_func.h"
#include "store/key_mirror_func.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <map>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::size_t keyDigits = 16; ///< Hexadecimal digits of a stream's key.

boost::json::object versionObject(const ServiceVersion &version)
{
    return {{"service", version.service.value}, {"version", version.version.value}};
}

/** @return The version in @p object; its service is empty if there is none. */
ServiceVersion readVersion(const boost::json::object &object)
{
    return {ServiceId{stringMember(object, "service")}, SoftwareVersion{stringMember(object, "version")}};
}

/** @return The key of a stream with all of its digits. */
std::string paddedKey(std::uint64_t stream)
{
    const std::string digits = hexText(stream);
    return std::string(keyDigits - digits.size(), '0') + digits;
}

Error invalidEntry()
{
    return makeError(ErrorCode::InvalidDocument, "entry of versions or streams is not in the format");
}

} // namespace

std::string versionEntryKey(const ServiceVersion &version)
{
    // Hashed, because the length of keys is limited.
    return std::string(versionEntryPrefix) + hash128Hex(version.service.value + '\n' + version.version.value);
}

std::string encodeVersionEntry(const ServiceVersion &version)
{
    return boost::json::serialize(versionObject(version));
}

Result<ServiceVersion> decodeVersionEntry(std::string_view value)
{
    const auto object = parseJsonObject(value);
    ServiceVersion version = object ? readVersion(*object) : ServiceVersion();
    return version.service.empty() ? Result<ServiceVersion>(invalidEntry()) : Result<ServiceVersion>(std::move(version));
}

std::string streamRecordKey(const SessionId &session)
{
    return std::string(streamRecordPrefix) + session.value;
}

std::string encodeStreamRecords(const std::vector<BegunStream> &streams)
{
    std::map<ServiceVersion, std::string> keysByVersion;
    for (const BegunStream &begun : streams) {
        keysByVersion[begun.origin] += paddedKey(begun.stream);
    }
    boost::json::array groups;
    for (const auto &[version, keys] : keysByVersion) {
        boost::json::object group = versionObject(version);
        group["streams"] = keys;
        groups.push_back(std::move(group));
    }
    return boost::json::serialize(boost::json::object{{"groups", std::move(groups)}});
}

Result<Done> decodeStreamRecords(std::string_view value, std::unordered_map<std::uint64_t, ServiceVersion> &records)
{
    const auto object = parseJsonObject(value);
    if (!object) {
        return invalidEntry();
    }
    for (const auto &entry : arrayMember(*object, "groups")) {
        const auto *group = entry.if_object();
        const ServiceVersion version = group != nullptr ? readVersion(*group) : ServiceVersion();
        const std::string keys = group != nullptr ? std::string(stringMember(*group, "streams")) : std::string();
        if (version.service.empty() || keys.size() % keyDigits != 0) {
            return invalidEntry();
        }
        for (std::size_t at = 0; at < keys.size(); at += keyDigits) {
            std::uint64_t stream = 0;
            const auto [end, error] = std::from_chars(keys.data() + at, keys.data() + at + keyDigits, stream, 16);
            if (error != std::errc() || end != keys.data() + at + keyDigits) {
                return invalidEntry();
            }
            records[stream] = version;
        }
    }
    return Done{};
}

asio::awaitable<Result<StoredOrigins>> readStoredOrigins(std::shared_ptr<const KvStore> store)
{
    const auto page = co_await readAllKeys(std::move(store), std::string(storedOriginPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    StoredOrigins origins;
    for (const KvItem &item : valueOf(page).items) {
        if (item.key.starts_with(versionEntryPrefix)) {
            auto version = decodeVersionEntry(item.value);
            if (!isOk(version)) {
                co_return errorOf(version);
            }
            origins.versions.push_back(std::move(valueOf(version)));
        } else if (item.key.starts_with(streamRecordPrefix)) {
            // Without records that cannot be read, their streams are unknown.
            (void)decodeStreamRecords(item.value, origins.records);
        }
    }
    co_return origins;
}

} // namespace skylark
