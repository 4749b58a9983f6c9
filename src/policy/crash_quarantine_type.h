/** @file crash_quarantine_type.h Evidence that a prompt part or a request crashes targets, and those that are quarantined for it. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "policy/prompt_part_type.h"
#include "policy/run_progress_type.h"

#include <chrono>
#include <map>
#include <vector>

namespace skylark {

/** Parameters of the quarantine. */
struct QuarantineSettings {
    unsigned minCrashes{3}; ///< Separate crashes that quarantine a part which was in at least half of all crashes from its first to its last one.
    unsigned maxCrashes{5}; ///< Separate crashes that suffice for a part in a smaller share, or one that may have been sound within soundMemory.
    double minShare{0.2}; ///< Least share of all crashes; where targets end for other reasons all the time, a rare part is in some of them by chance.
    unsigned minRequests{3}; ///< Different requests that must have been involved, so that one request alone does not lead to the quarantine of a part.
    unsigned minRequestCrashes{2}; ///< Separate crashes that quarantine a request that was alone in one of them or ended minCrashes targets.
    double minRequestShare{0.5}; ///< Least share of all crashes from the first to the last one of a request.
    std::chrono::milliseconds unrestTime{2000}; ///< Crashes without a request within this time before its first one count as well, until it was in minCrashes.
    std::chrono::milliseconds settleTime{250}; ///< After this time, the other hosts' reports on a crash should have arrived.
    std::chrono::milliseconds crashSpacing{
        100}; ///< Targets that end within this time have a common cause and count as one crash, unless one request ended both.
    std::chrono::milliseconds reportSpread{1000}; ///< Reports of several hosts on one target within this time are about the same crash.
    std::chrono::milliseconds evidenceTime{60000}; ///< Age at which a crash no longer counts.
    std::chrono::milliseconds soundMemory{10000};
    std::chrono::milliseconds firstQuarantine{60000}; ///< Duration of the first quarantine of a part; each further one lasts twice as long.
    std::chrono::milliseconds maxQuarantine{600000}; ///< Longest duration; also the time after the end for which a part or request is remembered.
    unsigned requestFactor{4}; ///< Each further quarantine of a request lasts so many times as long; a request is missed by one caller only.
    std::chrono::milliseconds maxRequestQuarantine{3600000}; ///< Longest duration for a request.
    std::chrono::milliseconds releaseSpread{20000}; ///< Hosts let a part through again at different times within this span, so that one of them tries it first.
    std::chrono::milliseconds trialTime{5000}; ///< Time for which a host waits for the outcome of a trial.
};

/** A run that a target had not finished, and may not yet have begun to answer, when it ended. */
struct SuspectRun {
    PromptParts prompt;
    RunPhase phase{RunPhase::Waiting}; ///< Begun or Waiting: a run whose events had come for a while is not suspect.
};

/** End of a target as one host saw it. */
struct TargetCrash {
    TargetId target;
    TimePoint at{};
    std::vector<SuspectRun> runs; ///< Runs of the host on the target; at least one.
};

/** Time of the last run with a part, or of a request, that was sound: its answer was complete, or it had gone on for a while. */
struct SoundPart {
    PromptPartId part;
    TimePoint at{};
};

/** A part whose requests are rejected, or a request that is. */
struct QuarantinedPart {
    PromptPartId part; ///< A part of prompts or a whole request.
    TimePoint since{}; ///< Time of the last crash that led to it. A later sound run ends the quarantine.
    TimePoint until{}; ///< After this time a trial is allowed.
    unsigned rounds{1}; ///< Number of quarantines of the part.
};

/** What a host announces to the others. */
struct QuarantineReport {
    std::vector<TargetCrash> crashes; ///< Those that the host saw itself.
    std::vector<SoundPart> sound; ///< Suspect parts that had a sound run at this host.
    std::vector<QuarantinedPart> quarantined; ///< Parts that any host quarantined.
};

/** Times of the last sound run with one part. */
struct SoundTimes {
    TimePoint own{}; ///< At this host; TimePoint{} for none. Only this time is announced, so that the error of a transmission does not add up.
    TimePoint any{}; ///< At any host.
};

/** A request that was in a crash. */
struct SuspectRequest {
    TimePoint at{}; ///< Time of the last crash.
    TargetId target; ///< Target that ended in the first one.
    bool onSeveralTargets{false}; ///< Whether another target has ended with it too.
};

/** State of one host. Changed by the functions of crash_quarantine_func.h only. */
struct CrashQuarantine {
    QuarantineSettings settings;
    HostId host; ///< This host; its own crashes are kept under this identifier.
    TimePoint startedAt{}; ///< Start of the host; it knows of no sound run before.
    std::map<HostId, std::vector<TargetCrash>> crashes; ///< By the host that saw them; kept when that host is gone.
    std::map<PromptPartId, SoundTimes> soundAt; ///< Last sound runs by part.
    std::map<PromptPartId, QuarantinedPart> parts; ///< Quarantined parts, and those whose quarantine has ended without a sound run since.
    std::map<PromptPartId, TimePoint> trialAt; ///< Time of this host's last trial by part.
    std::map<PromptPartId, SuspectRequest> suspectRequests; ///< Requests that were in a crash; sound runs of others are not remembered.
    TimePoint settledAt{}; ///< When the newest crash is settled and the evidence has to be judged again; TimePoint{} when it has been.
};

/** Why a part is quarantined. */
enum class QuarantineSource : std::uint8_t {
    Evidence, ///< The crashes that this host knows of.
    Peer, ///< Another host announced the quarantine.
    Store, ///< The key-value service has an entry of the part.
};

/** A quarantine that began or ended. */
struct QuarantineChange {
    QuarantinedPart entry;
    bool begun{true}; ///< False when a sound run has ended it.
    QuarantineSource source{QuarantineSource::Evidence};
    unsigned crashes{0}; ///< Separate crashes that count against the part; 0 when another host quarantined it.
    unsigned requests{0}; ///< Different requests involved in them.
};

} // namespace skylark
