/** @file claim_type.h Claim records of batch groups and the decisions about them. */
#pragma once

#include "control/snapshot_type.h"
#include "core/clock_func.h"
#include "core/id_type.h"

#include <cstdint>
#include <optional>
#include <set>

namespace skylark {

/** State of a group record. */
enum class GroupState : std::uint8_t {
    Claimed, ///< A session works on the group.
    Released, ///< Given back by a planned stop; any session may claim it.
    Done, ///< Final: every item has a result in the result blob.
};

/** Value of the key "group/<job>/<n>". */
struct GroupRecord {
    GroupState state{GroupState::Claimed}; ///< State.
    SessionId session; ///< Session that claimed, released or finished the group.
    Epoch epoch; ///< Counts the claims of the group; the first claim has 1.
    BlobId resultBlob; ///< Result lines; set in state Done.
    std::uint32_t finished{0}; ///< Items with a result, failures included; set in state Done.
    std::uint32_t failed{0}; ///< Items with a typed failure.
    BlobId partialBlob; ///< Results so far of a released group; kept by the next claim.
    WriteId writeId; ///< Recognises the write.

    bool operator==(const GroupRecord &) const = default;
};

/** A group record with the version of its key. */
struct VersionedGroup {
    GroupRecord record; ///< Value.
    KvVersion version; ///< Version of the key.
};

/** Conditions under which an effect on a group is considered. */
struct GroupContext {
    SessionId own; ///< Session of this host.
    TimePoint now{}; ///< Present time, read immediately before the effect.
    TimePoint leaseDeadline{}; ///< Local deadline of the session lease.
    JobState job{JobState::Active}; ///< State of the job as last known.
};

/** What to do about a group that this session does not hold. */
enum class ClaimAction : std::uint8_t {
    Create, ///< Write the record if the key is absent.
    TakeOver, ///< Write the record by compare-and-swap.
    Resume, ///< The record already names this session, because the answer to an earlier claim was lost.
    Leave, ///< Another live session holds the group.
    Finished, ///< The group is done.
    Suspend, ///< The lease deadline has passed.
    Stop, ///< The job is not active.
};

/** Decision about a claim. */
struct ClaimDecision {
    ClaimAction action{ClaimAction::Leave}; ///< What to do.
    GroupRecord write; ///< Record to write, or the present one for Resume.
    KvVersion expected; ///< Version that the write expects.
};

/** What to do about a group whose items all have a result. */
enum class CompletionAction : std::uint8_t {
    Write, ///< Write the done record by compare-and-swap.
    AlreadyDone, ///< The record is done; its result stands.
    Drop, ///< Another session or epoch owns the group.
    Suspend, ///< The lease deadline has passed.
    Stop, ///< The job is not active.
};

/** What a finished group has to record. */
struct GroupOutcome {
    BlobId resultBlob; ///< Blob with a line for each item.
    std::uint32_t finished{0}; ///< Items.
    std::uint32_t failed{0}; ///< Items with a typed failure.
};

/** Decision about a completion. */
struct CompletionDecision {
    CompletionAction action{CompletionAction::Drop}; ///< What to do.
    GroupRecord write; ///< Record to write.
    KvVersion expected; ///< Version that the write expects.
};

} // namespace skylark
