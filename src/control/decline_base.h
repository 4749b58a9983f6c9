/** @file decline_base.h State of the decline controller. */
#pragma once

#include "policy/decline_type.h"

#include <map>

namespace skylark {

/** State of the decline controller; used on the control thread only. */
struct DeclineMonitor {
    DeclineTable table; ///< Detection state of the targets of the failure domain.
    DeclineSettings settings;
    std::map<TargetId, std::uint64_t> seenReports; ///< Sequence number of the last recorded load report.
    LevelDetector retries; ///< Retries per request of this host.
    LevelDetector cacheHits; ///< Fraction of prompt tokens found in prefix caches.
    double lastAttempts{0}; ///< Value of the attempt counter at the last window.
    double lastRetries{0}; ///< Value of the retry counter at the last window.
    double lastPromptTokens{0}; ///< Value of the prompt token counter at the last window.
    double lastCachedTokens{0}; ///< Value of the cached token counter at the last window.
};

} // namespace skylark
