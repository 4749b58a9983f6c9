/** @file stream_origin_type.h Software version of a service at which a stream began, and what is known of it. */
#pragma once

#include "core/id_type.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylark {

/** A service and a version of its software. What two versions write does not fit together: only the one that began a stream can continue it. */
struct ServiceVersion {
    ServiceId service;
    SoftwareVersion version; ///< Version of the target's software, not of a model's weights.

    auto operator<=>(const ServiceVersion &) const = default;
};

/** What is known of the origin of a stream that a caller resumes. */
struct OriginEvidence {
    std::optional<ServiceVersion> recorded; ///< Record that a host made when the stream began; empty if none was found.
    /** Versions of all services at which any stream may have begun, read after the caller has asked; empty if they could not be read. */
    std::optional<std::vector<ServiceVersion>> served;
};

/** How the origin of a stream was found. */
enum class OriginReason : std::uint8_t {
    Recorded, ///< A host has recorded it.
    OnlyVersion, ///< No other version has served.
    SeveralVersions, ///< Unknown: there is no record, and several versions have served.
    NotRead, ///< Unknown: there is no record, and the versions that have served could not be read.
};

/** Outcome of findOrigin(). */
struct OriginDecision {
    OriginReason reason{OriginReason::NotRead};
    std::optional<ServiceVersion> origin; ///< Empty while it is unknown, so that nothing may continue the stream.
};

/** Whether a target can continue a stream or the output of a batch item. */
enum class ContinuationOutlook : std::uint8_t {
    Possible, ///< A target of its version takes requests.
    NoTarget, ///< No target of its service takes requests; some may come back.
    VersionGone, ///< Only targets of other versions take requests.
};

/** A host that may keep records of origins. */
struct RecordKeeper {
    HostId host;
    DomainId domain; ///< Failure domain of the host.
};

} // namespace skylark
