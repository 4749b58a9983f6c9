/** @file decline_type.h State of the detection of slow decline. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace skylark {

/** Parameters of the detection. */
struct DeclineSettings {
    std::chrono::milliseconds window{10000}; ///< Samples of one window give one median.
    double drift{0.1398}; ///< Log ratio below which nothing accumulates; log 1.15, half of a 30 % slow-down.
    double threshold{0.8}; ///< Accumulated log ratio that raises an alarm; a 30 % slow-down reaches it in 7 windows.
    double clearBelow{0.2}; ///< An alarm ends when the accumulated log ratio falls below this.
    unsigned minSamples{5}; ///< Fewer samples in a window give no verdict.
    unsigned minPeers{2}; ///< Fewer peers with the same model give no comparison with peers.
    double recentDecay{0.9}; ///< Weight kept by a window in the recent fit; about 10 windows.
    double pastDecay{0.9998}; ///< Weight kept by a window in the long-term fit; about 14 hours.
    double pastMinWeight{60}; ///< Samples that the long-term fit needs before it is used.
};

/** Weighted sums of a straight line fit of the step time over the number of running streams. */
struct StepFit {
    double weight{0}; ///< Sum of weights.
    double running{0}; ///< Sum of running streams.
    double stepMs{0}; ///< Sum of step times in milliseconds.
    double runningSquared{0}; ///< Sum of squares of running streams.
    double runningStep{0}; ///< Sum of products.
};

/** What is known of one target. */
struct DeclineTarget {
    ModelId model; ///< Model that decides its peers.
    std::vector<std::pair<double, double>> window; ///< Samples (running, step time in milliseconds) of the open window.
    StepFit recent; ///< Fit of the last windows.
    StepFit past; ///< Long-term fit; does not learn while a slow-down is suspected.
    double againstPeers{0}; ///< Accumulated log ratio against the peers.
    double againstPast{0}; ///< Accumulated log ratio against its own past.
    double factor{1.0}; ///< Smoothed ratio to the expected step time, at least 1.
    bool alarmed{false}; ///< Whether an alarm is raised.
    TimePoint since{}; ///< Start of the alarm.
};

/** All targets of one failure domain. */
struct DeclineTable {
    std::map<TargetId, DeclineTarget> targets; ///< By target.
    TimePoint windowStart{}; ///< Start of the open window.
};

/** Change of an alarm. */
struct DeclineEvent {
    TargetId target; ///< Target.
    bool raised{false}; ///< Raised, or cleared.
    double factor{1.0}; ///< Ratio to the expected step time.
    std::string against; ///< "peers" or "past".
};

/** Detector for one value that should stay at its own long-term level, such as a cache hit ratio or retries a request. */
struct LevelDetector {
    double level{0}; ///< Long-term average.
    unsigned windows{0}; ///< Windows seen.
    double accumulated{0}; ///< Accumulated log ratio.
    bool alarmed{false}; ///< Whether an alarm is raised.
};

} // namespace skylark
