/** @file decline_func.h Detection of targets that become slower than their peers or their own past. */
#pragma once

#include "policy/decline_type.h"

#include <optional>

namespace skylark {

/**
 * Records one load report.
 * @param running Streams running in the reported step; the expected step time depends on it.
 * @param stepMs Step time in milliseconds.
 */
void noteStep(DeclineTable &table, const TargetId &target, const ModelId &model, double running, double stepMs);

/**
 * Closes the window when it is over and compares each target with its peers and its past. The step time is compared at equal
 * numbers of running streams, so that a busy target is not mistaken for a slow one.
 * @return Alarms raised or cleared.
 */
[[nodiscard]] std::vector<DeclineEvent> closeWindow(DeclineTable &table, const DeclineSettings &settings, TimePoint now);

/** Forgets targets that are not in @p present. */
void forgetTargets(DeclineTable &table, const std::vector<TargetId> &present);

/** @return Step time in milliseconds that @p fit expects for @p running streams; empty without enough weight. */
[[nodiscard]] std::optional<double> expectedStep(const StepFit &fit, double running, double minWeight);

/**
 * Records one window's value. @param risingIsBad Whether a rise or a fall is the decline.
 * @return Whether the alarm changed.
 */
[[nodiscard]] bool updateLevel(LevelDetector &detector, double value, bool risingIsBad, const DeclineSettings &settings);

} // namespace skylark
