/** @file stream_origin_func.h Decides which targets may continue a stream or the output of a batch item. */
#pragma once

#include "policy/stream_origin_type.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace skylark {

/**
 * Finds the origin of a stream that a caller resumes. Nothing is guessed: it stays unknown unless it was recorded or only one version can have begun it.
 * @param services Services of the route, any of which may have begun the stream.
 */
[[nodiscard]] OriginDecision findOrigin(const OriginEvidence &evidence, const std::vector<ServiceId> &services);

/** @return Name of @p reason in logs and metrics. */
[[nodiscard]] std::string_view originReasonName(OriginReason reason);

/**
 * @param origin Origin of what a caller or an item already has; empty when it has nothing.
 * @return Whether a target of @p target may produce what follows.
 */
[[nodiscard]] bool mayContinueAt(const std::optional<ServiceVersion> &origin, const ServiceVersion &target);

/** @param accepting Service and version of each target that takes requests. */
[[nodiscard]] ContinuationOutlook outlookOf(const ServiceVersion &origin, const std::vector<ServiceVersion> &accepting);

/**
 * @param accepting Service and version of each target that takes items.
 * @param missed Time for which only targets of other versions have had slots for the item.
 * @return Whether an item discards its output and begins anew. Nobody has read it yet, so that this costs only the time of its targets.
 */
[[nodiscard]] bool beginsAnew(const ServiceVersion &origin, const std::vector<ServiceVersion> &accepting, std::chrono::milliseconds missed);

/**
 * Chooses the hosts that keep the record of a stream: the first by rendezvous hashing, and the first in another failure domain if
 * there is one. With a list that lacks one of the hosts, at least one of the two is the same.
 * @param stream Key of the stream.
 */
[[nodiscard]] std::vector<HostId> recordKeepers(std::uint64_t stream, std::vector<RecordKeeper> hosts);

} // namespace skylark
