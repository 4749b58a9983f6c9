/** @file stored_origins_func.h What the key-value service holds of the software versions that began streams. */
#pragma once

#include "fleet/fleet_type.h"
#include "store/kv_store_type.h"

#include <boost/asio/awaitable.hpp>
#include <unordered_map>

namespace skylark {

// One prefix for both kinds of entries, so that one read returns all.
inline constexpr std::string_view storedOriginPrefix = "streams/";
inline constexpr std::string_view versionEntryPrefix = "streams/versions/";
inline constexpr std::string_view streamRecordPrefix = "streams/records/";

/** A stream that a host has begun or continued. */
struct BegunStream {
    std::uint64_t stream{0}; ///< Key of the stream.
    ServiceVersion origin;
    TimePoint at{}; ///< When it was begun or continued.
};

/** Content of the entries. */
struct StoredOrigins {
    std::vector<ServiceVersion> versions; ///< Versions at which any stream may have begun.
    std::unordered_map<std::uint64_t, ServiceVersion> records; ///< Origins of streams by their keys.
};

/** @return Key of the entry of @p version. */
[[nodiscard]] std::string versionEntryKey(const ServiceVersion &version);

[[nodiscard]] std::string encodeVersionEntry(const ServiceVersion &version);

/** @return InvalidDocument when @p value is not the value of an entry. */
[[nodiscard]] Result<ServiceVersion> decodeVersionEntry(std::string_view value);

/** @return Key of the records of the host process @p session. */
[[nodiscard]] std::string streamRecordKey(const SessionId &session);

/** Encodes the records of one host process. */
[[nodiscard]] std::string encodeStreamRecords(const std::vector<BegunStream> &streams);

/** Adds the records in @p value to @p records. @return InvalidDocument when it is not the value of records. */
[[nodiscard]] Result<Done> decodeStreamRecords(std::string_view value, std::unordered_map<std::uint64_t, ServiceVersion> &records);

/**
 * Reads all entries. A host lists a version before it begins a stream there, so that what is read after a caller has come back holds the version that began its
 * stream.
 * @return The error of the read, or InvalidDocument.
 */
boost::asio::awaitable<Result<StoredOrigins>> readStoredOrigins(std::shared_ptr<const KvStore> store);

} // namespace skylark
