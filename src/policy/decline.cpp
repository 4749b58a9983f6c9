/** @file decline.cpp Detection of gradual slowdowns with CUSUM over log ratios. */
#include "policy/decline_func.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace skylark {

namespace {

constexpr double factorSmoothing = 0.4; ///< Weight of a new window in the smoothed factor.
constexpr double minFitWeight = 10; ///< Weighted samples that a recent fit needs before it is used.

void addSample(StepFit &fit, double running, double stepMs)
{
    fit.weight += 1;
    fit.running += running;
    fit.stepMs += stepMs;
    fit.runningSquared += running * running;
    fit.runningStep += running * stepMs;
}

void addFit(StepFit &sum, const StepFit &fit)
{
    sum.weight += fit.weight;
    sum.running += fit.running;
    sum.stepMs += fit.stepMs;
    sum.runningSquared += fit.runningSquared;
    sum.runningStep += fit.runningStep;
}

void decay(StepFit &fit, double factor)
{
    fit.weight *= factor;
    fit.running *= factor;
    fit.stepMs *= factor;
    fit.runningSquared *= factor;
    fit.runningStep *= factor;
}

/**
 * Sums the recent fits of the peers of @p target. Targets with a raised alarm or too few samples are not used as a reference.
 * @param peers Set to the number of peers used.
 */
StepFit peerFit(const DeclineTable &table, const TargetId &target, const ModelId &model, unsigned &peers)
{
    StepFit sum;
    peers = 0;
    for (const auto &[id, other] : table.targets) {
        if (id == target || other.model != model || other.alarmed || other.recent.weight < minFitWeight) {
            continue;
        }
        addFit(sum, other.recent);
        ++peers;
    }
    return sum;
}

/** @return Median log ratio of the window's step times to those that @p fit expects; empty if @p fit expects none. */
std::optional<double> medianLogRatio(const DeclineTarget &target, const StepFit &fit, double minWeight)
{
    std::vector<double> ratios;
    for (const auto &[running, stepMs] : target.window) {
        const auto expected = expectedStep(fit, running, minWeight);
        if (expected && stepMs > 0) {
            ratios.push_back(std::log(stepMs / *expected));
        }
    }
    if (ratios.empty()) {
        return std::nullopt;
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

/** One-sided CUSUM step, clamped so that an alarm clears in bounded time after a recovery. */
void updateCusum(double &sum, double logRatio, const DeclineSettings &settings)
{
    sum = std::clamp(sum + logRatio - settings.drift, 0.0, 2 * settings.threshold);
}

void updateFactor(DeclineTarget &target, double logRatio)
{
    const double ratio = std::max(1.0, std::exp(logRatio));
    target.factor += factorSmoothing * (ratio - target.factor);
}

/** Raises or clears the alarm of one target. @return The change, if any. */
std::optional<DeclineEvent> updateAlarm(const TargetId &id, DeclineTarget &target, const DeclineSettings &settings, TimePoint now)
{
    const double highest = std::max(target.peerCusum, target.pastCusum);
    const std::string against = target.peerCusum >= target.pastCusum ? "peers" : "past";
    if (!target.alarmed && highest >= settings.threshold) {
        target.alarmed = true;
        target.since = now;
        return DeclineEvent{id, true, target.factor, against};
    }
    if (target.alarmed && highest < settings.clearBelow) {
        target.alarmed = false;
        return DeclineEvent{id, false, target.factor, against};
    }
    return std::nullopt;
}

/** Compares the window of one target with its peers and its past, and updates its sums and its factor. */
void updateScores(DeclineTable &table, const TargetId &id, DeclineTarget &target, const DeclineSettings &settings)
{
    if (target.window.size() < settings.minSamples) {
        return;
    }
    unsigned peers = 0;
    const StepFit reference = peerFit(table, id, target.model, peers);
    const auto peerRatio = peers >= settings.minPeers ? medianLogRatio(target, reference, minFitWeight) : std::nullopt;
    const auto pastRatio = medianLogRatio(target, target.past, settings.pastMinWeight);
    if (peerRatio) {
        updateCusum(target.peerCusum, *peerRatio, settings);
    }
    if (pastRatio) {
        updateCusum(target.pastCusum, *pastRatio, settings);
    }
    if (peerRatio || pastRatio) {
        updateFactor(target, peerRatio ? *peerRatio : *pastRatio);
    }
}

/** Moves the samples of the window into the fits. The long-term fit is left unchanged while a slowdown is suspected. */
void updateFits(DeclineTarget &target, const DeclineSettings &settings)
{
    const bool suspected = std::max(target.peerCusum, target.pastCusum) > settings.clearBelow;
    decay(target.recent, settings.recentDecay);
    for (const auto &[running, stepMs] : target.window) {
        addSample(target.recent, running, stepMs);
    }
    if (!suspected) {
        decay(target.past, settings.pastDecay);
        for (const auto &[running, stepMs] : target.window) {
            addSample(target.past, running, stepMs);
        }
    }
    target.window.clear();
}

} // namespace

std::optional<double> expectedStep(const StepFit &fit, double running, double minWeight)
{
    if (fit.weight < minWeight || fit.stepMs <= 0) {
        return std::nullopt;
    }
    const double mean = fit.stepMs / fit.weight;
    const double meanRunning = fit.running / fit.weight;
    const double variance = fit.runningSquared / fit.weight - meanRunning * meanRunning;
    if (variance < 1e-6) { // All samples have about the same number of running streams, so there is no slope.
        return mean;
    }
    const double slope = std::max(0.0, (fit.runningStep / fit.weight - meanRunning * mean) / variance);
    return std::max(mean + slope * (running - meanRunning), mean * 0.1);
}

void recordStep(DeclineTable &table, const TargetId &target, const ModelId &model, double running, double stepMs)
{
    if (stepMs <= 0 || running <= 0) {
        return; // An idle engine has no step time.
    }
    DeclineTarget &entry = table.targets[target];
    if (entry.model != model) {
        entry = DeclineTarget{.model = model};
    }
    entry.window.emplace_back(running, stepMs);
}

std::vector<DeclineEvent> closeWindow(DeclineTable &table, const DeclineSettings &settings, TimePoint now)
{
    std::vector<DeclineEvent> events;
    if (now - table.windowStart < settings.window) {
        return events;
    }
    table.windowStart = now;
    for (auto &[id, target] : table.targets) {
        updateScores(table, id, target, settings);
    }
    for (auto &[id, target] : table.targets) {
        updateFits(target, settings);
        if (const auto event = updateAlarm(id, target, settings, now)) {
            events.push_back(*event);
        }
    }
    return events;
}

void removeMissingTargets(DeclineTable &table, const std::vector<TargetId> &current)
{
    const std::set<TargetId> kept(current.begin(), current.end());
    std::erase_if(table.targets, [&kept](const auto &entry) {
        return !kept.contains(entry.first);
    });
}

bool updateLevel(LevelDetector &detector, double value, bool risingIsBad, const DeclineSettings &settings)
{
    constexpr double floor = 0.01; // Keeps the ratio finite for values near zero.
    constexpr unsigned warmUpWindows = 12; // The first windows only set the level.
    const double logRatio = std::log((value + floor) / (detector.level + floor)) * (risingIsBad ? 1 : -1);
    ++detector.windows;
    if (detector.windows <= warmUpWindows) {
        detector.level += (value - detector.level) / detector.windows;
        return false;
    }
    updateCusum(detector.cusum, logRatio, settings);
    if (detector.cusum <= settings.clearBelow) {
        detector.level += 0.01 * (value - detector.level);
    }
    const bool alarmed = detector.alarmed ? detector.cusum >= settings.clearBelow : detector.cusum >= settings.threshold;
    const bool changed = alarmed != detector.alarmed;
    detector.alarmed = alarmed;
    return changed;
}

} // namespace skylark
