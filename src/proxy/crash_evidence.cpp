/** @file crash_evidence.cpp Evidence of prompt parts and requests that crash targets: collected, logged and announced. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "proxy/proxy_base.h"

namespace skylark {

namespace {

std::string_view sourceName(QuarantineSource source)
{
    switch (source) {
    case QuarantineSource::Evidence:
        return "evidence";
    case QuarantineSource::Peer:
        return "peer";
    case QuarantineSource::Store:
        return "store";
    }
    return "unknown";
}

void logChange(const QuarantineChange &change)
{
    const std::string part = hexText(change.entry.part.value);
    const std::string_view kind = isWholeRequest(change.entry.part) ? "request" : "part";
    if (!change.begun) {
        logEvent(EventKind::PartReleased, part, {{"kind", kind}, {"round", change.entry.rounds}});
        return;
    }
    logEvent(EventKind::PartQuarantined,
             part,
             {{"kind", kind},
              {"source", sourceName(change.source)},
              {"crashes", change.crashes},
              {"requests", change.requests},
              {"round", change.entry.rounds},
              {"lasts_ms", std::chrono::duration_cast<std::chrono::milliseconds>(change.entry.until - change.entry.since).count()}});
}

/** Logs and counts changes, and stores those that this host decided. */
void reportChanges(const Proxy &proxy, const std::vector<QuarantineChange> &changes)
{
    for (const QuarantineChange &change : changes) {
        logChange(change);
        if (proxy.onQuarantine && change.source == QuarantineSource::Evidence) {
            proxy.onQuarantine(change);
        }
    }
    if (!changes.empty()) {
        setGauge(*proxy.metrics, "skylark_quarantined_parts", {}, static_cast<double>(proxy.quarantine.parts.size()));
    }
}

} // namespace

void announceToAll(const Proxy &proxy)
{
    if (proxy.onUrgentNews) {
        proxy.onUrgentNews();
    }
}

void recordFailedRun(Proxy &proxy, const TargetId &target, const PromptParts &prompt, const RunProgress &progress, const Error &error)
{
    const RunPhase phase = phaseOf(progress);
    const bool hasSuspects = !prompt.shared.empty() || prompt.request != PromptPartId{};
    if (!isTargetEnd(error) || !hasSuspects || phase == RunPhase::Streaming) {
        return;
    }
    addCounter(*proxy.metrics, "skylark_suspect_runs_total");
    reportChanges(proxy, recordSuspectRun(proxy.quarantine, target, {prompt, phase}, BootClock::now()));
    announceToAll(proxy);
}

void recordSoundRun(Proxy &proxy, const PromptParts &prompt)
{
    const bool wasUnderSuspicion = isUnderSuspicion(proxy.quarantine, prompt);
    const auto changes = recordSoundRun(proxy.quarantine, prompt, BootClock::now());
    reportChanges(proxy, changes);
    if (wasUnderSuspicion || !changes.empty()) {
        announceToAll(proxy);
    }
}

void recordEvents(Proxy &proxy, const PromptParts &prompt, RunProgress &progress, unsigned events)
{
    const bool wasSound = progress.events >= soundEvents;
    progress.events += events;
    if (!wasSound && progress.events >= soundEvents) {
        recordSoundRun(proxy, prompt);
    }
}

void applyQuarantineReport(Proxy &proxy, const HostId &from, const QuarantineReport &report)
{
    reportChanges(proxy, mergeReport(proxy.quarantine, from, report, BootClock::now()));
}

void applyStoredQuarantine(Proxy &proxy, PromptPartId part, std::chrono::milliseconds duration, unsigned rounds)
{
    reportChanges(proxy, adoptStored(proxy.quarantine, part, duration, rounds, BootClock::now()));
}

} // namespace skylark
