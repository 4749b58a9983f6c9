/** @file crash_evidence.cpp Evidence of prompt prefixes that crash engines, from online generations. */
#include "traffic/crash_evidence_func.h"

#include "core/hash_func.h"
#include "policy/crash_quarantine_func.h"

namespace skylark {

namespace {

/** @return The prefixes of the prompt as its shared parts, and the whole prompt as its own one. */
PromptParts promptPartsOf(const Generation &generation)
{
    PromptParts prompt;
    for (const std::uint64_t prefix : generation.prefixes) {
        prompt.shared.push_back({prefix});
    }
    prompt.own = {hash64(generation.chat.prompt)};
    return prompt;
}

/** Logs changes, and announces them with the evidence that led to them. */
void reportChanges(CallerServer::Impl &impl, const std::vector<QuarantineChange> &changes)
{
    for (const QuarantineChange &change : changes) {
        const std::string verb = change.begun ? " is quarantined" : " is released";
        logDecision(impl.context.decisions, "route", {}, "prompt prefix " + hexText(change.entry.part.value) + verb);
        addCounter(*impl.context.metrics, "skylark_quarantine_changes_total", {{"change", change.begun ? "begun" : "ended"}});
    }
    if (impl.context.announceEvidence) {
        impl.context.announceEvidence();
    }
}

} // namespace

std::optional<Error> quarantineError(CallerServer::Impl &impl, const Generation &generation)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const std::scoped_lock lock(shared.mutex);
    if (shared.state.parts.empty()) {
        return std::nullopt;
    }
    const auto left = quarantineLeft(shared.state, promptPartsOf(generation), BootClock::now());
    if (!left) {
        return std::nullopt;
    }
    Error error = makeError(ErrorCode::Quarantined, "a prefix of the prompt crashes targets");
    error.retryAfter = *left;
    return error;
}

void recordGenerationStart(CallerServer::Impl &impl, const Generation &generation)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const std::scoped_lock lock(shared.mutex);
    if (!shared.state.parts.empty()) {
        recordTrial(shared.state, promptPartsOf(generation), BootClock::now());
    }
}

void recordGenerationFailure(CallerServer::Impl &impl, const Generation &generation, const TargetId &target, const RunProgress &progress, const Error &error)
{
    if (!isTargetEnd(error) || phaseOf(progress) == RunPhase::Streaming) {
        return;
    }
    SharedQuarantine &shared = *impl.context.quarantine;
    std::vector<QuarantineChange> changes;
    {
        const std::scoped_lock lock(shared.mutex);
        changes = recordSuspectRun(shared.state, target, {promptPartsOf(generation), phaseOf(progress)}, BootClock::now());
    }
    reportChanges(impl, changes);
}

void recordSoundGeneration(CallerServer::Impl &impl, const Generation &generation)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const PromptParts prompt = promptPartsOf(generation);
    bool wasAccused = false;
    std::vector<QuarantineChange> changes;
    {
        const std::scoped_lock lock(shared.mutex);
        wasAccused = isAccused(shared.state, prompt);
        changes = recordSoundRun(shared.state, prompt, BootClock::now());
    }
    if (wasAccused || !changes.empty()) {
        reportChanges(impl, changes);
    }
}

} // namespace skylark
