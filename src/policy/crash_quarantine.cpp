/** @file crash_quarantine.cpp Evidence of prompt parts and requests that crash targets, and the quarantine of those to blame. */
#include "policy/crash_quarantine_func.h"

#include "core/hash_func.h"
#include "policy/crash_request_func.h"
#include "policy/crash_series_func.h"
#include "policy/crash_suspect_func.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace skylark {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxCrashesPerHost = 32; ///< Crashes kept for each host; older ones are dropped first.
constexpr std::size_t maxRunsPerCrash = 8; ///< Runs kept for each crash, those in phase Begun first.
constexpr std::size_t maxPartsPerRun = 16; ///< Shared parts kept for each run.
constexpr std::size_t maxReportedCrashes = 8; ///< With the two bounds above, a report fits into a status datagram.
constexpr std::size_t maxReportedParts = 64; ///< Bounds the other lists of a report likewise.
constexpr std::size_t maxSoundParts = 16384; ///< Parts whose last sound run is remembered.

/** Calls @p visit with each shared part of @p prompt, and with the whole request if it has an identity. */
template<typename Visitor>
void forEachSuspect(const PromptParts &prompt, const Visitor &visit)
{
    std::for_each(prompt.shared.begin(), prompt.shared.end(), visit);
    if (prompt.request != PromptPartId{}) {
        visit(prompt.request);
    }
}

bool holds(const PromptParts &prompt, PromptPartId part)
{
    return prompt.request == part || std::find(prompt.shared.begin(), prompt.shared.end(), part) != prompt.shared.end();
}

bool hasSuspects(const PromptParts &prompt)
{
    return !prompt.shared.empty() || prompt.request != PromptPartId{};
}

milliseconds maxQuarantineOf(const QuarantineSettings &settings, PromptPartId part)
{
    return isWholeRequest(part) ? settings.maxRequestQuarantine : settings.maxQuarantine;
}

/** @return Duration of the quarantine number @p round of @p part, counted from 1. */
milliseconds quarantineTime(const QuarantineSettings &settings, PromptPartId part, unsigned round)
{
    const milliseconds longest = maxQuarantineOf(settings, part);
    milliseconds duration = settings.firstQuarantine;
    for (unsigned i = 1; i < round && duration < longest; ++i) {
        duration *= isWholeRequest(part) ? settings.requestFactor : 2;
    }
    return std::min(duration, longest);
}

/** @return The time from which this host may let requests with a quarantined part through, as a trial. */
TimePoint releaseTime(const CrashQuarantine &state, const QuarantinedPart &entry)
{
    const std::uint64_t draw = rendezvousScore(hexText(entry.part.value), state.host.value);
    const auto spread = static_cast<std::uint64_t>(state.settings.releaseSpread.count());
    return entry.until + milliseconds(static_cast<std::int64_t>(spread == 0 ? 0 : draw % spread));
}

bool isQuarantined(const CrashQuarantine &state, PromptPartId part, TimePoint now)
{
    const auto found = state.parts.find(part);
    return found != state.parts.end() && now < releaseTime(state, found->second);
}

/** @return The crash of @p target around @p at in @p crashes; null if there is none. */
TargetCrash *findCrash(std::vector<TargetCrash> &crashes, const QuarantineSettings &settings, const TargetId &target, TimePoint at)
{
    const auto found = std::find_if(crashes.begin(), crashes.end(), [&](const TargetCrash &crash) {
        return crash.target == target && std::chrono::abs(crash.at - at) < settings.reportSpread;
    });
    return found == crashes.end() ? nullptr : &*found;
}

/** Adds a run to a crash; where there are too many, one in phase Begun replaces one in phase Waiting. */
void addRun(TargetCrash &crash, SuspectRun run)
{
    run.prompt.shared.resize(std::min(run.prompt.shared.size(), maxPartsPerRun));
    if (crash.runs.size() < maxRunsPerCrash) {
        crash.runs.push_back(std::move(run));
        return;
    }
    const auto waiting = std::find_if(crash.runs.begin(), crash.runs.end(), [](const SuspectRun &kept) {
        return kept.phase == RunPhase::Waiting;
    });
    if (run.phase == RunPhase::Begun && waiting != crash.runs.end()) {
        *waiting = std::move(run);
    }
}

void addCrash(std::vector<TargetCrash> &crashes, TargetCrash crash)
{
    crashes.push_back(std::move(crash));
    if (crashes.size() > maxCrashesPerHost) {
        crashes.erase(crashes.begin());
    }
}

/** Drops evidence and quarantines that no longer count. */
void dropOld(CrashQuarantine &state, TimePoint now)
{
    for (auto &[host, crashes] : state.crashes) {
        std::erase_if(crashes, [&](const TargetCrash &crash) {
            return now - crash.at > state.settings.evidenceTime;
        });
    }
    std::erase_if(state.crashes, [](const auto &entry) {
        return entry.second.empty();
    });
    std::erase_if(state.parts, [&](const auto &entry) {
        return now > entry.second.until + state.settings.maxQuarantine;
    });
    std::erase_if(state.trialAt, [&](const auto &entry) {
        return !state.parts.contains(entry.first);
    });
    std::erase_if(state.suspectRequests, [&](const auto &entry) {
        return now - entry.second.at > state.settings.evidenceTime;
    });
}

QuarantineChange beginQuarantine(CrashQuarantine &state, const SuspectPart &candidate)
{
    QuarantinedPart &entry = state.parts[candidate.part];
    entry.rounds = entry.part == PromptPartId{} ? 1 : entry.rounds + 1;
    entry.part = candidate.part;
    entry.since = candidate.evidence.series.crashes.back();
    entry.until = entry.since + quarantineTime(state.settings, entry.part, entry.rounds);
    return {entry,
            true,
            QuarantineSource::Evidence,
            static_cast<unsigned>(candidate.evidence.series.crashes.size()),
            static_cast<unsigned>(candidate.evidence.series.requests.size())};
}

/** Quarantines requests until no further one is to be blamed. Each explains the crashes that it was present in. */
void judgeRequests(CrashQuarantine &state, const std::vector<MergedCrash> &crashes, TimePoint now, std::vector<QuarantineChange> &changes)
{
    while (const auto candidate = mostSuspectRequest(state, crashes, now)) {
        changes.push_back(beginQuarantine(state, *candidate));
    }
}

/** Judges new evidence: requests first, then parts, which several requests share. */
void judge(CrashQuarantine &state, TimePoint now, std::vector<QuarantineChange> &changes)
{
    dropOld(state, now);
    state.settledAt = now + state.settings.settleTime;
    const std::vector<MergedCrash> crashes = mergeCrashes(state);
    judgeRequests(state, crashes, now, changes);
    while (const auto candidate = mostSuspectPart(state, crashes)) {
        changes.push_back(beginQuarantine(state, *candidate));
    }
}

/** Judges requests again when the reports of all hosts on the newest crash should have arrived. */
void judgeSettled(CrashQuarantine &state, TimePoint now, std::vector<QuarantineChange> &changes)
{
    if (state.settledAt != TimePoint{} && now >= state.settledAt) {
        state.settledAt = TimePoint{};
        judgeRequests(state, mergeCrashes(state), now, changes);
    }
}

/** Remembers that the request of @p run was on @p target when it ended. */
void addSuspectRequest(CrashQuarantine &state, const SuspectRun &run, const TargetId &target, TimePoint at)
{
    if (run.prompt.request == PromptPartId{}) {
        return;
    }
    SuspectRequest &request = state.suspectRequests.try_emplace(run.prompt.request, SuspectRequest{at, target}).first->second;
    request.at = std::max(request.at, at);
    request.onSeveralTargets = request.onSeveralTargets || request.target != target;
}

/** Records a sound run at @p at; ends the quarantine of the part unless it is newer. */
void applySound(CrashQuarantine &state, PromptPartId part, TimePoint at, QuarantineSource source, std::vector<QuarantineChange> &changes)
{
    SoundTimes &times = state.soundAt[part];
    times.any = std::max(times.any, at);
    const auto found = state.parts.find(part);
    if (found != state.parts.end() && found->second.since < times.any) {
        changes.push_back({found->second, false, source});
        state.parts.erase(found);
    }
}

/** Forgets old sound runs when there are too many. */
void boundSoundParts(CrashQuarantine &state, TimePoint now)
{
    if (state.soundAt.size() <= maxSoundParts) {
        return;
    }
    std::erase_if(state.soundAt, [&](const auto &entry) {
        return now - entry.second.any > state.settings.soundMemory;
    });
    if (state.soundAt.size() > maxSoundParts) {
        state.soundAt.clear();
    }
}

/** Adopts a quarantine of another host, unless a later sound run has ended it or this host knows a newer one. */
void applyQuarantine(CrashQuarantine &state, const QuarantinedPart &announced, QuarantineSource source, std::vector<QuarantineChange> &changes)
{
    const auto own = state.parts.find(announced.part);
    if (soundTime(state, announced.part) > announced.since || (own != state.parts.end() && own->second.rounds >= announced.rounds)) {
        return;
    }
    state.parts[announced.part] = announced;
    changes.push_back({announced, true, source});
}

/** Adds a crash that another host announced. @return Whether it was not known before. */
bool applyCrash(CrashQuarantine &state, const HostId &from, const TargetCrash &announced)
{
    for (const SuspectRun &run : announced.runs) {
        addSuspectRequest(state, run, announced.target, announced.at);
    }
    std::vector<TargetCrash> &known = state.crashes[from];
    TargetCrash *crash = findCrash(known, state.settings, announced.target, announced.at);
    if (crash == nullptr) {
        addCrash(known, announced);
        return true;
    }
    if (announced.runs.size() <= crash->runs.size()) {
        return false;
    }
    crash->runs = announced.runs;
    return true;
}

bool holdsPart(const TargetCrash &crash, PromptPartId part)
{
    return std::any_of(crash.runs.begin(), crash.runs.end(), [&](const SuspectRun &run) {
        return holds(run.prompt, part);
    });
}

/** @return Parts of the crashes that still count, which all hosts need to know sound runs of. */
std::set<PromptPartId> suspectParts(const CrashQuarantine &state)
{
    std::set<PromptPartId> parts;
    for (const auto &[host, crashes] : state.crashes) {
        for (const TargetCrash &crash : crashes) {
            for (const SuspectRun &run : crash.runs) {
                forEachSuspect(run.prompt, [&parts](PromptPartId part) {
                    parts.insert(part);
                });
            }
        }
    }
    return parts;
}

/** @return Suspects that had a sound run at this host, the newest first, as many as a report holds. */
std::vector<SoundPart> newestSoundRuns(const CrashQuarantine &state, TimePoint now)
{
    std::vector<SoundPart> newest;
    for (const PromptPartId part : suspectParts(state)) {
        const auto sound = state.soundAt.find(part);
        if (sound != state.soundAt.end() && sound->second.own != TimePoint{} && now - sound->second.own <= state.settings.evidenceTime) {
            newest.push_back({part, sound->second.own});
        }
    }
    std::sort(newest.begin(), newest.end(), [](const SoundPart &left, const SoundPart &right) {
        return left.at > right.at;
    });
    newest.resize(std::min(newest.size(), maxReportedParts));
    return newest;
}

/** @return The quarantines that began last, as many as a report holds. */
std::vector<QuarantinedPart> newestQuarantines(const CrashQuarantine &state)
{
    std::vector<QuarantinedPart> newest;
    std::transform(state.parts.begin(), state.parts.end(), std::back_inserter(newest), [](const auto &entry) {
        return entry.second;
    });
    std::sort(newest.begin(), newest.end(), [](const QuarantinedPart &left, const QuarantinedPart &right) {
        return left.since > right.since;
    });
    newest.resize(std::min(newest.size(), maxReportedParts));
    return newest;
}

} // namespace

bool isTargetEnd(const Error &error)
{
    return error.run == RunState::Maybe && (error.code == ErrorCode::StreamBroken || error.code == ErrorCode::SendFailed);
}

std::vector<QuarantineChange> recordSuspectRun(CrashQuarantine &state, const TargetId &target, SuspectRun run, TimePoint now)
{
    std::vector<QuarantineChange> changes;
    if (!hasSuspects(run.prompt) || run.phase == RunPhase::Streaming) {
        return changes;
    }
    addSuspectRequest(state, run, target, now);
    std::vector<TargetCrash> &own = state.crashes[state.host];
    TargetCrash *crash = findCrash(own, state.settings, target, now);
    if (crash == nullptr) {
        addCrash(own, {target, now, {}});
        crash = &own.back();
    }
    addRun(*crash, std::move(run));
    judge(state, now, changes);
    return changes;
}

bool isUnderSuspicion(const CrashQuarantine &state, const PromptParts &prompt)
{
    const auto own = state.crashes.find(state.host);
    if (own == state.crashes.end()) {
        return false;
    }
    bool isSuspect = false;
    forEachSuspect(prompt, [&](PromptPartId part) {
        const auto sound = state.soundAt.find(part);
        const TimePoint soundAt = sound == state.soundAt.end() ? TimePoint{} : sound->second.own;
        isSuspect = isSuspect || std::any_of(own->second.begin(), own->second.end(), [&](const TargetCrash &crash) {
                        return crash.at > soundAt && holdsPart(crash, part);
                    });
    });
    return isSuspect;
}

std::vector<QuarantineChange> recordSoundRun(CrashQuarantine &state, const PromptParts &prompt, TimePoint now)
{
    std::vector<QuarantineChange> changes;
    forEachSuspect(prompt, [&](PromptPartId part) {
        if (isWholeRequest(part) && !state.suspectRequests.contains(part) && !state.parts.contains(part)) {
            return;
        }
        applySound(state, part, now, QuarantineSource::Evidence, changes);
        state.soundAt[part].own = now;
        state.trialAt.erase(part);
    });
    boundSoundParts(state, now);
    judgeSettled(state, now, changes);
    return changes;
}

std::vector<QuarantineChange> mergeReport(CrashQuarantine &state, const HostId &from, const QuarantineReport &report, TimePoint now)
{
    std::vector<QuarantineChange> changes;
    for (const SoundPart &sound : report.sound) {
        applySound(state, sound.part, sound.at, QuarantineSource::Peer, changes);
    }
    for (const QuarantinedPart &entry : report.quarantined) {
        applyQuarantine(state, entry, QuarantineSource::Peer, changes);
    }
    bool newEvidence = false;
    for (const TargetCrash &crash : report.crashes) {
        newEvidence = applyCrash(state, from, crash) || newEvidence;
    }
    if (newEvidence) {
        judge(state, now, changes);
    }
    judgeSettled(state, now, changes);
    return changes;
}

std::vector<QuarantineChange> adoptStored(CrashQuarantine &state, PromptPartId part, milliseconds duration, unsigned rounds, TimePoint now)
{
    std::vector<QuarantineChange> changes;
    const milliseconds lasts = std::min(duration, maxQuarantineOf(state.settings, part));
    applyQuarantine(state, {part, now, now + lasts, rounds}, QuarantineSource::Store, changes);
    return changes;
}

void correctDelay(QuarantineReport &report, milliseconds delay)
{
    for (TargetCrash &crash : report.crashes) {
        crash.at -= delay;
    }
    for (SoundPart &sound : report.sound) {
        sound.at -= delay;
    }
    for (QuarantinedPart &entry : report.quarantined) {
        entry.since -= delay;
        entry.until -= delay;
    }
}

QuarantineReport reportOf(const CrashQuarantine &state, TimePoint now)
{
    QuarantineReport report;
    if (const auto own = state.crashes.find(state.host); own != state.crashes.end()) {
        for (auto crash = own->second.rbegin(); crash != own->second.rend() && report.crashes.size() < maxReportedCrashes; ++crash) {
            if (now - crash->at <= state.settings.evidenceTime) {
                report.crashes.push_back(*crash);
            }
        }
    }
    report.quarantined = newestQuarantines(state);
    report.sound = newestSoundRuns(state, now);
    return report;
}

std::optional<milliseconds> quarantineLeft(const CrashQuarantine &state, const PromptParts &prompt, TimePoint now)
{
    std::optional<milliseconds> longest;
    forEachSuspect(prompt, [&](PromptPartId part) {
        const auto found = state.parts.find(part);
        if (found == state.parts.end()) {
            return;
        }
        TimePoint release = releaseTime(state, found->second);
        if (const auto trial = state.trialAt.find(part); trial != state.trialAt.end()) {
            release = std::max(release, trial->second + state.settings.trialTime);
        }
        if (now < release) {
            longest = std::max(longest.value_or(milliseconds(0)), std::chrono::ceil<milliseconds>(release - now));
        }
    });
    return longest;
}

void recordTrial(CrashQuarantine &state, const PromptParts &prompt, TimePoint now)
{
    forEachSuspect(prompt, [&](PromptPartId part) {
        if (state.parts.contains(part) && !isQuarantined(state, part, now)) {
            state.trialAt[part] = now;
        }
    });
}

} // namespace skylark
