/** @file host_context_base.h Services that all components of a host share. */
#pragma once

#include "control/snapshot_type.h"
#include "core/id_type.h"
#include "metrics/metrics_func.h"
#include "policy/crash_quarantine_base.h"
#include "policy/target_load_base.h"
#include "settings/settings_type.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace skylark {

/** Routing or placement decision, which is kept for the admin call "why". */
struct DecisionRecord {
    RequestId request; ///< Request that it concerns; may be empty.
    std::string part; ///< Component in the log line, such as "route".
    std::string text; ///< Decision and its reason.
    UnixTime at{};
};

/** Bounded log of recent decisions; its functions may be called from any thread. */
struct DecisionLog {
    std::mutex mutex; ///< Guards records.
    std::deque<DecisionRecord> records; ///< Oldest first.
    std::size_t capacity{4096}; ///< Maximum number of records; the oldest are dropped.
};

/** Records a decision and writes it to the log as "[part] text request=<id>". */
void logDecision(DecisionLog &log, std::string_view part, const RequestId &request, std::string text);

/** @return The decisions about @p request, oldest first. */
[[nodiscard]] std::vector<DecisionRecord> decisionsOf(DecisionLog &log, const RequestId &request);

/** Services that the components of a host share. Created before all components and destroyed after them. */
struct HostContext {
    std::shared_ptr<const Settings> settings;
    std::shared_ptr<SnapshotHolder> snapshot{std::make_shared<SnapshotHolder>()}; ///< Latest snapshot of the control state, readable by all threads.
    std::shared_ptr<SharedQuarantine> quarantine{std::make_shared<SharedQuarantine>()}; ///< Prompt prefixes that crash targets.
    std::shared_ptr<TargetLoadTable> loads{std::make_shared<TargetLoadTable>()}; ///< Load and health of targets.
    std::shared_ptr<MetricsRegistry> metrics{MetricsRegistry::create()};
    DecisionLog decisions;
    boost::asio::io_context control{1}; ///< Event loop of the control thread.
    boost::asio::io_context online{1}; ///< Event loop of the online thread.
    boost::asio::io_context batch{1}; ///< Event loop of the batch thread.

    // Hooks through which components call each other, set before the threads start. Each may be called from any thread.
    std::function<void(TargetId target, unsigned slots)> requestYield; ///< Asks the batch owner of a target to release slots.
    std::function<void(JobRecord job)> announceJob; ///< Passes a job record that this host has written or read to control.
    std::function<void()> announceEvidence; ///< Sends new evidence against a prompt prefix to all hosts.
    std::function<void(TargetId target)> reportTargetLeaving; ///< Reports to control that a target refuses work because it is leaving.
};

} // namespace skylark
