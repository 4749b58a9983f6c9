/** @file decline_type.h Parameters and state of the detection of gradual slowdowns. */
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
    std::chrono::milliseconds window{10000}; ///< Length of a window; its samples are reduced to one median.
    double drift{0.1398}; ///< Log ratio below which the sum does not grow; ln 1.15, half of a 30 % slowdown.
    double threshold{0.8}; ///< Accumulated log ratio that raises an alarm; a 30 % slowdown reaches it in 7 windows.
    double clearBelow{0.2}; ///< An alarm is cleared when the accumulated log ratio falls below this.
    unsigned minSamples{5}; ///< Windows with fewer samples are not evaluated.
    unsigned minPeers{2}; ///< Minimum number of peers with the same model; with fewer, a target is not compared with peers.
    double recentDecay{0.9}; ///< Decay of the recent fit per window; it covers about 10 windows.
    double pastDecay{0.9998}; ///< Decay of the long-term fit per window; it covers about 14 hours.
    double pastMinWeight{60}; ///< Weighted samples that the long-term fit needs before it is used.
};

/** Weighted sums for the linear regression of the step time on the number of running streams. */
struct StepFit {
    double weight{0}; ///< Sum of weights.
    double running{0}; ///< Sum of running streams.
    double stepMs{0}; ///< Sum of step times in milliseconds.
    double runningSquared{0}; ///< Sum of squares of running streams.
    double runningStep{0}; ///< Sum of products of running streams and step times.
};

/** Detection state of one target. */
struct DeclineTarget {
    ModelId model; ///< Targets with the same model are its peers.
    std::vector<std::pair<double, double>> window; ///< Samples (running, step time in milliseconds) of the open window.
    StepFit recent; ///< Fit of the last windows, about 10.
    StepFit past; ///< Long-term fit; not updated while a slowdown is suspected.
    double peerCusum{0}; ///< Accumulated log ratio of the step time to that of the peers.
    double pastCusum{0}; ///< Accumulated log ratio of the step time to that of its own past.
    double factor{1.0}; ///< Smoothed ratio of the step time to the expected one, at least 1.
    bool alarmed{false}; ///< Whether an alarm is raised.
    TimePoint since{}; ///< Time when the alarm was raised.
};

/** Detection state of the targets of one failure domain. */
struct DeclineTable {
    std::map<TargetId, DeclineTarget> targets;
    TimePoint windowStart{}; ///< Start of the open window.
};

/** An alarm that was raised or cleared. */
struct DeclineEvent {
    TargetId target;
    bool raised{false}; ///< False if the alarm was cleared.
    double factor{1.0}; ///< Smoothed ratio of the step time to the expected one.
    std::string against; ///< The comparison that shows the larger slowdown, "peers" or "past".
};

/** Detects when a value leaves its own long-term level, for example a cache hit ratio or the retries per request. */
struct LevelDetector {
    double level{0}; ///< Long-term average.
    unsigned windows{0}; ///< Windows evaluated.
    double cusum{0}; ///< Accumulated log ratio of the value to the level.
    bool alarmed{false}; ///< Whether an alarm is raised.
};

} // namespace skylark
