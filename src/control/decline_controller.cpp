/** @file decline_controller.cpp Detects and reports the decline of targets and of this host. */
#include "control/controller_func.h"
#include "control/decline_base.h"
#include "policy/decline_func.h"

#include <cmath>
#include <glog/logging.h>
#include <iomanip>
#include <sstream>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto sampleInterval = std::chrono::milliseconds(250);
constexpr double minRequests = 20; // Windows with fewer requests are not evaluated.

/** @return The first loaded model; a target is compared with peers that have the same one. */
ModelId mainModel(const LoadReport &report)
{
    return report.models.empty() ? ModelId{} : report.models.front().name;
}

/** Records the load reports of engines that arrived since the last call. */
void sampleReports(Control::Impl &control, DeclineMonitor &monitor)
{
    for (const auto &[id, entry] : control.targets) {
        std::uint64_t &seen = monitor.seenReports[id];
        const bool engine = entry.info.kind == TargetKind::Engine;
        if (!engine || entry.report.receivedAt == TimePoint() || seen == entry.report.sequence) {
            continue;
        }
        seen = entry.report.sequence;
        recordStep(monitor.table, id, mainModel(entry.report), entry.report.running, entry.report.stepMs);
    }
}

void logEvent(const DeclineEvent &event)
{
    std::ostringstream percent;
    percent << std::fixed << std::setprecision(0) << (event.factor - 1) * 100;
    if (event.raised) {
        LOG(WARNING) << "[decline] target " << event.target.value << " is " << percent.str() << " % slower than its " << event.against;
    } else {
        LOG(INFO) << "[decline] target " << event.target.value << " has recovered";
    }
}

/** Copies the smoothed factors to the targets, so that routing gives a slow target less work, and sets the gauges. */
void publishFactors(const ControlPtr &control, const DeclineMonitor &monitor)
{
    bool changed = false;
    for (auto &[id, entry] : control->targets) {
        const auto found = monitor.table.targets.find(id);
        const double factor = found == monitor.table.targets.end() ? 1.0 : found->second.factor;
        const bool alarmed = found != monitor.table.targets.end() && found->second.alarmed;
        setGauge(*control->context.metrics, "skylark_target_decline_factor", {{"target", id.value}}, factor);
        setGauge(*control->context.metrics, "skylark_target_in_decline", {{"target", id.value}}, alarmed ? 1 : 0);
        changed = changed || std::abs(entry.declineFactor - factor) > 0.02;
        entry.declineFactor = factor;
        entry.inDecline = alarmed;
    }
    if (changed) {
        publishSoon(control);
    }
}

/** @return The increase of a counter since the last window. @param last Value at the last window; set to @p total. */
double increase(double total, double &last)
{
    const double delta = total - last;
    last = total;
    return delta;
}

void checkLevel(Control::Impl &control, LevelDetector &detector, double value, bool risingIsBad, std::string_view what)
{
    const DeclineSettings settings;
    if (updateLevel(detector, value, risingIsBad, settings)) {
        LOG(WARNING) << "[decline] " << what << (detector.alarmed ? " has left its usual level: " : " is back at its usual level: ") << value
                     << " usual=" << detector.level;
    }
    setGauge(*control.context.metrics, "skylark_host_in_decline", {{"measure", what}}, detector.alarmed ? 1 : 0);
}

/** Compares the retries and cache hits of this host with their usual levels. */
void checkHost(Control::Impl &control, DeclineMonitor &monitor)
{
    const MetricsRegistry &metrics = *control.context.metrics;
    const double requests = increase(metricSum(metrics, "skylark_target_attempts_total"), monitor.lastAttempts);
    const double retries = increase(metricSum(metrics, "skylark_retries_total"), monitor.lastRetries);
    const double prompt = increase(metricSum(metrics, "skylark_prompt_tokens_total"), monitor.lastPromptTokens);
    const double cached = increase(metricSum(metrics, "skylark_cached_tokens_total"), monitor.lastCachedTokens);
    if (requests >= minRequests) {
        checkLevel(control, monitor.retries, retries / requests, true, "retries");
    }
    if (requests >= minRequests && prompt > 0) {
        checkLevel(control, monitor.cacheHits, cached / prompt, false, "cache_hits");
    }
}

} // namespace

asio::awaitable<void> runDecline(ControlPtr control)
{
    auto monitor = std::make_shared<DeclineMonitor>();
    monitor->settings.window = control->context.settings->declineWindow;
    monitor->table.windowStart = BootClock::now();
    while (!control->stopping) {
        co_await pauseFor(control, sampleInterval);
        sampleReports(*control, *monitor);
        const TimePoint before = monitor->table.windowStart;
        for (const DeclineEvent &event : closeWindow(monitor->table, monitor->settings, BootClock::now())) {
            logEvent(event);
            addCounter(*control->context.metrics, "skylark_decline_alarms_total", {{"raised", event.raised ? "1" : "0"}});
        }
        if (monitor->table.windowStart == before) {
            continue;
        }
        std::vector<TargetId> present;
        for (const auto &[id, entry] : control->targets) {
            present.push_back(id);
        }
        removeMissingTargets(monitor->table, present);
        publishFactors(control, *monitor);
        checkHost(*control, *monitor);
    }
}

} // namespace skylark
