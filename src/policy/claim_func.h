/** @file claim_func.h Decisions about claiming, finishing and releasing batch groups. */
#pragma once

#include "policy/claim_type.h"

namespace skylark {

/** @return Whether items may be started and records written: the job is active and the lease deadline has not passed. */
[[nodiscard]] bool mayAffectGroup(const GroupContext &context);

/**
 * Decides about a group that this session does not hold.
 * @param present Record as read, or nothing when the key is absent or unread.
 * @param live Live sessions, read after @p present, because a session may have begun between the two reads; null when unknown, so that no claimed
 * group is taken over.
 * @param writeId Recognises the write, if one follows.
 */
[[nodiscard]] ClaimDecision decideClaim(const std::optional<VersionedGroup> &present,
                                        const std::set<SessionId> *live,
                                        const GroupContext &context,
                                        const WriteId &writeId);

/**
 * Decides about a group whose items all have a result.
 * @param present Record as held since the claim, or as read back.
 * @param epoch Epoch of the claim under which the results were made.
 */
[[nodiscard]] CompletionDecision decideCompletion(
    const VersionedGroup &present, Epoch epoch, const GroupContext &context, const GroupOutcome &outcome, const WriteId &writeId);

/** @return Whether @p present still names the claim of @p own at @p epoch. */
[[nodiscard]] bool holdsGroup(const GroupRecord &present, const SessionId &own, Epoch epoch);

/** @return The record that gives a held group back, with the results so far in @p partialBlob. */
[[nodiscard]] GroupRecord makeRelease(const GroupRecord &held, const BlobId &partialBlob, const WriteId &writeId);

/** Counts the invariant that no item is started for a job known as cancelled or after the lease deadline. */
void checkItemStart(const GroupContext &context);

/** Counts the invariants of a write that replaces @p before by @p after. Call immediately before the write. */
void checkGroupWrite(const GroupRecord &before, const GroupRecord &after, const GroupContext &context);

} // namespace skylark
