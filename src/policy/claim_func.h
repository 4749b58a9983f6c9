/** @file claim_func.h Decisions about claiming, completing and releasing batch groups. */
#pragma once

#include "policy/claim_type.h"

namespace skylark {

/** @return Whether items of the group may be started and its record written: the job is active and the lease deadline has not passed. */
[[nodiscard]] bool mayProcessGroup(const GroupContext &context);

/**
 * Decides whether to claim a group that this host is not processing.
 * @param current Record as read; empty when the key is absent or was not read.
 * @param live Live sessions; must be read after @p current, because a session may start between the two reads. Null when unknown; then no group that
 * another session has claimed is taken over.
 * @param writeId Identifies the write of the claim, if one follows.
 */
[[nodiscard]] ClaimDecision decideClaim(const std::optional<VersionedGroup> &current,
                                        const std::set<SessionId> *live,
                                        const GroupContext &context,
                                        const WriteId &writeId);

/**
 * Decides whether to write the done record of a group whose items all have a result.
 * @param current Record as written by the claim, or as read again.
 * @param epoch Epoch of the claim under which the results were produced.
 */
[[nodiscard]] CompletionDecision decideCompletion(
    const VersionedGroup &current, Epoch epoch, const GroupContext &context, const GroupOutcome &outcome, const WriteId &writeId);

/** @return Whether @p current is still the claim of session @p own at @p epoch. */
[[nodiscard]] bool holdsGroup(const GroupRecord &current, const SessionId &own, Epoch epoch);

/**
 * Builds the record that releases a held group.
 * @param partialBlob Blob with the results so far; if empty, the partial blob of @p held is kept.
 */
[[nodiscard]] GroupRecord makeRelease(const GroupRecord &held, const BlobId &partialBlob, const WriteId &writeId);

/** Checks the invariant that no item is started for a job known to be cancelled or after the lease deadline. */
void checkItemStart(const GroupContext &context);

/**
 * Checks the invariants of a write that replaces @p before by @p after: a done record is never replaced, each claim raises the epoch, and only the
 * holder writes the done record, while the job is active and before the lease deadline. Call immediately before the write.
 */
void checkGroupWrite(const GroupRecord &before, const GroupRecord &after, const GroupContext &context);

} // namespace skylark
