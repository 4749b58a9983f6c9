/** @file crash_evidence.cpp Evidence of prompt prefixes and requests that crash targets, from online generations and service calls. */
#include "traffic/crash_evidence_func.h"

#include "core/hash_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/request_identity_func.h"

namespace skylark {

namespace {

/** @return Identity of a generation: its caller, and what is generated from, without what a forwarding host adds. */
PromptPartId generationIdentity(const RequestContext &context)
{
    const ChatRequest &chat = context.generation->chat;
    return requestIdentity({context.workspace->id.value, headerValue(context.request.headers, "authorization"), chat.model.value, chat.adapter, chat.prompt});
}

PromptPartId serviceCallIdentity(const RequestContext &context)
{
    const HttpRequest &request = context.request;
    return requestIdentity(
        {context.workspace->id.value, headerValue(request.headers, "authorization"), request.method, context.pathParameter, context.servicePath, request.body});
}

/** @return For a generation the prefixes of its prompt as shared parts, and the whole prompt as its own one; the request for service calls too. */
PromptParts promptPartsOf(const RequestContext &context)
{
    PromptParts prompt;
    if (!context.generation) {
        prompt.request = serviceCallIdentity(context);
        return prompt;
    }
    for (const std::uint64_t prefix : context.generation->prefixes) {
        prompt.shared.push_back(promptPart(prefix));
    }
    prompt.own = promptPart(hash64(context.generation->chat.prompt));
    prompt.request = generationIdentity(context);
    return prompt;
}

/** Logs changes, and announces them with the evidence that led to them. */
void reportChanges(CallerServer::Impl &impl, const std::vector<QuarantineChange> &changes)
{
    for (const QuarantineChange &change : changes) {
        std::string text = isWholeRequest(change.entry.part) ? "request " : "prompt prefix ";
        text += hexText(change.entry.part.value);
        text += change.begun ? " is quarantined" : " is released";
        logDecision(impl.context.decisions, "route", {}, text);
        addCounter(*impl.context.metrics, "skylark_quarantine_changes_total", {{"change", change.begun ? "begun" : "ended"}});
    }
    if (impl.context.announceEvidence) {
        impl.context.announceEvidence();
    }
}

} // namespace

std::optional<Error> quarantineError(CallerServer::Impl &impl, const RequestContext &context)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const std::scoped_lock lock(shared.mutex);
    if (shared.state.parts.empty()) {
        return std::nullopt;
    }
    const auto left = quarantineLeft(shared.state, promptPartsOf(context), BootClock::now());
    if (!left) {
        return std::nullopt;
    }
    Error error = makeError(ErrorCode::Quarantined, "the request or a prefix of its prompt crashes targets");
    error.retryAfter = *left;
    return error;
}

void recordRunStart(CallerServer::Impl &impl, const RequestContext &context)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const std::scoped_lock lock(shared.mutex);
    if (!shared.state.parts.empty()) {
        recordTrial(shared.state, promptPartsOf(context), BootClock::now());
    }
}

void recordFailedRun(CallerServer::Impl &impl, const RequestContext &context, const TargetId &target, const RunProgress &progress, const Error &error)
{
    if (!isTargetEnd(error) || phaseOf(progress) == RunPhase::Streaming) {
        return;
    }
    SharedQuarantine &shared = *impl.context.quarantine;
    std::vector<QuarantineChange> changes;
    {
        const std::scoped_lock lock(shared.mutex);
        changes = recordSuspectRun(shared.state, target, {promptPartsOf(context), phaseOf(progress)}, BootClock::now());
    }
    reportChanges(impl, changes);
}

void recordSoundRun(CallerServer::Impl &impl, const RequestContext &context)
{
    SharedQuarantine &shared = *impl.context.quarantine;
    const PromptParts prompt = promptPartsOf(context);
    bool wasUnderSuspicion = false;
    std::vector<QuarantineChange> changes;
    {
        const std::scoped_lock lock(shared.mutex);
        wasUnderSuspicion = isUnderSuspicion(shared.state, prompt);
        changes = recordSoundRun(shared.state, prompt, BootClock::now());
    }
    if (wasUnderSuspicion || !changes.empty()) {
        reportChanges(impl, changes);
    }
}

} // namespace skylark
