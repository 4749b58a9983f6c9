/** @file claim.cpp Decisions about claiming, completing and releasing batch groups. */
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

ClaimDecision makeTakeOver(const VersionedGroup &current, const GroupContext &context, const WriteId &writeId)
{
    ClaimDecision decision{ClaimAction::TakeOver, makeClaim(current.record, context, writeId), current.version};
    checkGroupWrite(current.record, decision.write, context);
    return decision;
}

} // namespace

bool mayProcessGroup(const GroupContext &context)
{
    return context.job == JobState::Active && context.now < context.leaseDeadline;
}

ClaimDecision decideClaim(const std::optional<VersionedGroup> &current, const std::set<SessionId> *live, const GroupContext &context, const WriteId &writeId)
{
    if (context.job != JobState::Active) {
        return {ClaimAction::Stop, {}, {}};
    }
    if (context.now >= context.leaseDeadline) {
        return {ClaimAction::Suspend, {}, {}};
    }
    if (!current) {
        return {ClaimAction::Create, makeClaim({}, context, writeId), KvVersion{0}};
    }
    const GroupRecord &record = current->record;
    if (record.state == GroupState::Done) {
        return {ClaimAction::Finished, record, current->version};
    }
    if (record.state == GroupState::Released) {
        return makeTakeOver(*current, context, writeId);
    }
    if (record.session == context.own) {
        return {ClaimAction::Resume, record, current->version};
    }
    if (live == nullptr || live->contains(record.session)) {
        return {ClaimAction::Leave, record, current->version};
    }
    return makeTakeOver(*current, context, writeId);
}

bool holdsGroup(const GroupRecord &current, const SessionId &own, Epoch epoch)
{
    return current.state == GroupState::Claimed && current.session == own && current.epoch == epoch;
}

CompletionDecision decideCompletion(
    const VersionedGroup &current, Epoch epoch, const GroupContext &context, const GroupOutcome &outcome, const WriteId &writeId)
{
    if (current.record.state == GroupState::Done) {
        return {CompletionAction::AlreadyDone, current.record, current.version};
    }
    if (!holdsGroup(current.record, context.own, epoch)) {
        return {CompletionAction::Drop, current.record, current.version};
    }
    if (context.job != JobState::Active) {
        return {CompletionAction::Stop, current.record, current.version};
    }
    if (context.now >= context.leaseDeadline) {
        return {CompletionAction::Suspend, current.record, current.version};
    }
    CompletionDecision decision{CompletionAction::Write, current.record, current.version};
    decision.write.state = GroupState::Done;
    decision.write.resultBlob = outcome.resultBlob;
    decision.write.finished = outcome.finished;
    decision.write.failed = outcome.failed;
    decision.write.partialBlob = {};
    decision.write.writeId = writeId;
    checkGroupWrite(current.record, decision.write, context);
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
    SKY_INVARIANT(Promise::CancelStops, mayProcessGroup(context));
}

void checkGroupWrite(const GroupRecord &before, const GroupRecord &after, const GroupContext &context)
{
    SKY_INVARIANT(Promise::ExactlyOnce, before.state != GroupState::Done);
    if (after.state == GroupState::Done) {
        SKY_INVARIANT(Promise::ExactlyOnce, holdsGroup(before, context.own, after.epoch));
        SKY_INVARIANT(Promise::CancelStops, mayProcessGroup(context));
    }
    if (after.state == GroupState::Claimed) {
        SKY_INVARIANT(Promise::ExactlyOnce, after.epoch > before.epoch);
    }
}

} // namespace skylark
