/** @file host_context_base.h Facilities of one host that all its parts share. */
#pragma once

#include "control/snapshot_type.h"
#include "core/id_type.h"
#include "metrics/metrics_func.h"
#include "policy/target_load_base.h"
#include "settings/settings_type.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace skylark {

/** One routing or placement decision, kept for "why". */
struct DecisionRecord {
    RequestId request; ///< Request, or an empty id.
    std::string part; ///< Prefix of the part, such as "route".
    std::string text; ///< Decision and reason.
    UnixTime at{}; ///< Time.
};

/** Ring of recent decisions; its functions may be called from any thread. */
struct DecisionLog {
    std::mutex mutex; ///< Guards records.
    std::deque<DecisionRecord> records; ///< Oldest first.
    std::size_t capacity{4096}; ///< Most records kept.
};

/** Keeps a decision and writes its log line "[part] text request=<id>". */
void logDecision(DecisionLog &log, std::string_view part, const RequestId &request, std::string text);

/** @return The decisions about @p request, oldest first. */
[[nodiscard]] std::vector<DecisionRecord> decisionsOf(DecisionLog &log, const RequestId &request);

/** Facilities of one host. Created before all parts and destroyed after them. */
struct HostContext {
    std::shared_ptr<const Settings> settings; ///< Settings.
    std::shared_ptr<SnapshotHolder> snapshot{std::make_shared<SnapshotHolder>()}; ///< Control state for all threads.
    std::shared_ptr<TargetLoadTable> loads{std::make_shared<TargetLoadTable>()}; ///< Load and health of targets.
    std::shared_ptr<MetricsRegistry> metrics{MetricsRegistry::create()}; ///< Metrics.
    DecisionLog decisions; ///< Recent decisions.
    boost::asio::io_context control{1}; ///< Control thread.
    boost::asio::io_context online{1}; ///< Online thread.
    boost::asio::io_context batch{1}; ///< Batch thread.

    // Hooks between parts, set before the threads start. Each may be called from any thread.
    std::function<void(TargetId target, unsigned slots)> requestYield; ///< Asks the target's batch owner to release slots.
    std::function<void(JobRecord job)> announceJob; ///< Tells control about a job record that this host wrote or read.
    std::function<void(TargetId target)> reportLeaving; ///< Tells control that a target refuses work because it is leaving.
};

} // namespace skylark
