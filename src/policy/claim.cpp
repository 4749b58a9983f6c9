/** @file claim.cpp Decisions about claiming, finishing and releasing batch groups. */
#include "policy/claim_func.h"

#include "core/invariant_func.h"

namespace skylark {

namespace {

GroupRecord makeClaim(const GroupRecord &previous, const GroupContext &context, const WriteId &writeId)
{
    GroupRecord next;
    next.session = context.own;
    next.epoch.value = previous.epoch.value + 1;
    next.partialBlob = previous.partialBlob;
    next.writeId = writeId;
    return next;
}

ClaimDecision takeOver(const VersionedGroup &present, const GroupContext &context, const WriteId &writeId)
{
    ClaimDecision decision{ClaimAction::TakeOver, makeClaim(present.record, context, writeId), present.version};
    checkGroupWrite(present.record, decision.write, context);
    return decision;
}

} // namespace

bool mayAffectGroup(const GroupContext &context)
{
    return context.job == JobState::Active && context.now < context.leaseDeadline;
}

ClaimDecision decideClaim(const std::optional<VersionedGroup> &present, const std::set<SessionId> *live, const GroupContext &context, const WriteId &writeId)
{
    if (context.job != JobState::Active) {
        return {ClaimAction::Stop, {}, {}};
    }
    if (context.now >= context.leaseDeadline) {
        return {ClaimAction::Suspend, {}, {}};
    }
    if (!present) {
        return {ClaimAction::Create, makeClaim({}, context, writeId), KvVersion{0}};
    }
    const GroupRecord &record = present->record;
    if (record.state == GroupState::Done) {
        return {ClaimAction::Finished, record, present->version};
    }
    if (record.state == GroupState::Released) {
        return takeOver(*present, context, writeId);
    }
    if (record.session == context.own) {
        return {ClaimAction::Resume, record, present->version};
    }
    if (live == nullptr || live->contains(record.session)) {
        return {ClaimAction::Leave, record, present->version};
    }
    return takeOver(*present, context, writeId);
}

bool holdsGroup(const GroupRecord &present, const SessionId &own, Epoch epoch)
{
    return present.state == GroupState::Claimed && present.session == own && present.epoch == epoch;
}

CompletionDecision decideCompletion(
    const VersionedGroup &present, Epoch epoch, const GroupContext &context, const GroupOutcome &outcome, const WriteId &writeId)
{
    if (present.record.state == GroupState::Done) {
        return {CompletionAction::AlreadyDone, present.record, present.version};
    }
    if (!holdsGroup(present.record, context.own, epoch)) {
        return {CompletionAction::Drop, present.record, present.version};
    }
    if (context.job != JobState::Active) {
        return {CompletionAction::Stop, present.record, present.version};
    }
    if (context.now >= context.leaseDeadline) {
        return {CompletionAction::Suspend, present.record, present.version};
    }
    CompletionDecision decision{CompletionAction::Write, present.record, present.version};
    decision.write.state = GroupState::Done;
    decision.write.resultBlob = outcome.resultBlob;
    decision.write.finished = outcome.finished;
    decision.write.failed = outcome.failed;
    decision.write.partialBlob = {};
    decision.write.writeId = writeId;
    checkGroupWrite(present.record, decision.write, context);
    return decision;
}

GroupRecord makeRelease(const GroupRecord &held, const BlobId &partialBlob, const WriteId &writeId)
{
    GroupRecord released = held;
    released.state = GroupState::Released;
    released.partialBlob = partialBlob.empty() ? held.partialBlob : partialBlob;
    released.writeId = writeId;
    return released;
}

void checkItemStart(const GroupContext &context)
{
    SKY_INVARIANT(Promise::CancelStops, mayAffectGroup(context));
}

void checkGroupWrite(const GroupRecord &before, const GroupRecord &after, const GroupContext &context)
{
    SKY_INVARIANT(Promise::ExactlyOnce, before.state != GroupState::Done);
    if (after.state == GroupState::Done) {
        SKY_INVARIANT(Promise::ExactlyOnce, holdsGroup(before, context.own, after.epoch));
        SKY_INVARIANT(Promise::CancelStops, mayAffectGroup(context));
    }
    if (after.state == GroupState::Claimed) {
        SKY_INVARIANT(Promise::ExactlyOnce, after.epoch > before.epoch);
    }
}

} // namespace skylark
