/** @file crash_suspect_type.h Crashes that count against one prompt part. */
#pragma once

#include "policy/crash_quarantine_type.h"

namespace skylark {

/** Separate crashes and the requests that were in them. */
struct CrashSeries {
    std::vector<TimePoint> crashes; ///< In order of time.
    std::map<PromptPartId, TimePoint> requests; ///< Last crash by the last part of the request.
    PromptPartId lastRepeated; ///< Last part of the last request that ended two targets in turn; it counts no third time.
};

/** Crashes that count against one part. */
struct PartEvidence {
    CrashSeries series;
    std::size_t depth{0}; ///< Position of the part in the prompt.
};

/** A part that the evidence suffices to quarantine. */
struct SuspectPart {
    PromptPartId part;
    TimePoint soundAt{};
    PartEvidence evidence;
};

} // namespace skylark
