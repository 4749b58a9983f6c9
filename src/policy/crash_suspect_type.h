/** @file crash_suspect_type.h Crashes that count against one prompt part or one request. */
#pragma once

#include "policy/crash_quarantine_type.h"

namespace skylark {

/** A run as one host reported it; both are owned by the state of this host. */
struct ReportedRun {
    const SuspectRun *run{nullptr};
    const HostId *host{nullptr};
};

/** One crash of a target, merged from the reports of several hosts. */
struct MergedCrash {
    TimePoint at{}; ///< Earliest report.
    std::vector<ReportedRun> runs; ///< All that may have caused it; a request that crashes targets may do so before its answer begins.
    std::vector<ReportedRun> likely; ///< Runs whose prompt parts may have caused it: those whose answer had just begun, or, where there are none, all.
};

/** Crashes that one request was in. */
struct RequestCrashes {
    TimePoint last{};
    unsigned counted{0}; ///< Those that count as separate ones.
    const HostId *host{nullptr}; ///< Host that reported the first one.
};

/** Separate crashes and the requests that were in them. */
struct CrashSeries {
    std::vector<TimePoint> crashes; ///< In order of time.
    std::map<PromptPartId, RequestCrashes> requests;
    PromptPartId lastRepeated; ///< Last request that ended two targets in turn; it counts no third time.
};

/** Crashes that count against one part. */
struct PartEvidence {
    CrashSeries series;
    std::size_t depth{0}; ///< Position of the part in the prompt.
};

/** A part or a request that the evidence suffices to quarantine. */
struct SuspectPart {
    PromptPartId part;
    TimePoint soundAt{};
    PartEvidence evidence;
};

} // namespace skylark
