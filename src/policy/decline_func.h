/** @file decline_func.h Detection of targets that become slower than their peers or their own past. */
#pragma once

#include "policy/decline_type.h"

#include <optional>

namespace skylark {

/**
 * Adds the sample of one load report to the open window of its target.
 * @param model Decides which targets are peers.
 * @param running Streams running in the reported step; the expected step time depends on it.
 * @param stepMs Step time in milliseconds; 0 for an idle engine, whose report is ignored.
 */
void recordStep(DeclineTable &table, const TargetId &target, const ModelId &model, double running, double stepMs);

/**
 * Closes the window if it is over, and compares each target with its peers and its past. Step times are compared at equal
 * numbers of running streams, so that a busy target is not mistaken for a slow one.
 * @return Alarms raised or cleared.
 */
[[nodiscard]] std::vector<DeclineEvent> closeWindow(DeclineTable &table, const DeclineSettings &settings, TimePoint now);

/** Removes the targets that are not in @p current. */
void removeMissingTargets(DeclineTable &table, const std::vector<TargetId> &current);

/** @return Step time in milliseconds that @p fit expects for @p running streams; empty if the fit has less weight than @p minWeight. */
[[nodiscard]] std::optional<double> expectedStep(const StepFit &fit, double running, double minWeight);

/**
 * Compares the value of one window with its long-term level.
 * @param risingIsBad Whether a rise of the value raises the alarm; otherwise a fall does.
 * @return Whether the alarm was raised or cleared.
 */
[[nodiscard]] bool updateLevel(LevelDetector &detector, double value, bool risingIsBad, const DeclineSettings &settings);

} // namespace skylark
