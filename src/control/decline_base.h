/** @file decline_base.h State of the decline controller. */
#pragma once

#include "policy/decline_type.h"

#include <map>

namespace skylark {

/** State of the decline controller; belongs to the control thread. */
struct DeclineMonitor {
    DeclineTable table; ///< Targets of the failure domain.
    DeclineSettings settings; ///< Parameters.
    std::map<TargetId, std::uint64_t> seenReports; ///< Last report sequence recorded, by target.
    LevelDetector retries; ///< Retries a request of this host.
    LevelDetector cacheHits; ///< Share of prompt tokens found in prefix caches.
    double lastAttempts{0}; ///< Attempts counted at the last window.
    double lastRetries{0}; ///< Retries counted at the last window.
    double lastPromptTokens{0}; ///< Prompt tokens counted at the last window.
    double lastCachedTokens{0}; ///< Cached prompt tokens counted at the last window.
};

} // namespace skylark
