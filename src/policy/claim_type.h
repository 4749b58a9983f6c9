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
    Claimed, ///< A session is processing the group.
    Released, ///< Released by a planned stop; any session may claim it.
    Done, ///< Final: every item has a result in the result blob.
};

/** Value of the key "group/<job>/<n>". */
struct GroupRecord {
    GroupState state{GroupState::Claimed};
    SessionId session; ///< Session that claimed, released or finished the group.
    Epoch epoch; ///< Number of claims of the group so far; 1 for the first claim.
    BlobId resultBlob; ///< Blob of the result lines; set in state Done.
    std::uint32_t finished{0}; ///< Items with a result, including failed ones; set in state Done.
    std::uint32_t failed{0}; ///< Items whose result is an error; set in state Done.
    BlobId partialBlob; ///< Results so far of a released group; the next claim keeps it. Empty if there are none.
    WriteId writeId; ///< Unique id of the write; shows its writer that the write succeeded although the answer was lost.

    bool operator==(const GroupRecord &) const = default;
};

/** A group record with the version of its key, for compare-and-swap. */
struct VersionedGroup {
    GroupRecord record;
    KvVersion version;
};

/** Conditions under which items of a group are started or its record is written. */
struct GroupContext {
    SessionId own; ///< Session of this host.
    TimePoint now{}; ///< Current time, read immediately before the item is started or the record is written.
    TimePoint leaseDeadline{}; ///< Time when the session lease expires, by the local clock.
    JobState job{JobState::Active}; ///< Last known state of the job.
};

/** Action for a group that this host is not processing. */
enum class ClaimAction : std::uint8_t {
    Create, ///< Write the first record, provided that the key is absent.
    TakeOver, ///< Replace the record by compare-and-swap.
    Resume, ///< The record already names this session, because the answer to its claim was lost.
    Leave, ///< Another session holds the group and is live, or the live sessions are unknown.
    Finished, ///< The group is done.
    Suspend, ///< The lease deadline has passed; nothing may be written.
    Stop, ///< The job is not active.
};

/** Result of decideClaim(). */
struct ClaimDecision {
    ClaimAction action{ClaimAction::Leave};
    GroupRecord write; ///< Record to write for Create and TakeOver; the current one for Resume, Leave and Finished; empty otherwise.
    KvVersion expected; ///< Version of the key that the write expects.
};

/** Action for a group whose items all have a result. */
enum class CompletionAction : std::uint8_t {
    Write, ///< Write the done record by compare-and-swap.
    AlreadyDone, ///< The record is done already; its result is final.
    Drop, ///< Another session or epoch holds the group; the results are discarded.
    Suspend, ///< The lease deadline has passed; nothing may be written.
    Stop, ///< The job is not active.
};

/** Results of a completed group, for its done record. */
struct GroupOutcome {
    BlobId resultBlob; ///< Blob with one result line per item.
    std::uint32_t finished{0}; ///< Items with a result, including failed ones.
    std::uint32_t failed{0}; ///< Items whose result is an error.
};

/** Result of decideCompletion(). */
struct CompletionDecision {
    CompletionAction action{CompletionAction::Drop};
    GroupRecord write; ///< Record to write for Write; the current one otherwise.
    KvVersion expected; ///< Version of the key that the write expects.
};

} // namespace skylark
