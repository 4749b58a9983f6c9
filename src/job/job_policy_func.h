/** @file job_policy_func.h Decisions about jobs: admission within the token limit of a route, claims by hosts, positions of results. */
#pragma once

#include "job/job_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace skylark {

/** Outcome of the admission check of a job. */
enum class JobAdmission : std::uint8_t {
    Accept, ///< There is no limit; hosts may accept jobs concurrently.
    AcceptSerialized, ///< It fits; the write must be conditional on no other host having accepted a job of the workspace on the route meanwhile.
    Refuse, ///< It exceeds the limit.
};

/** @return Tokens of the items without a result; 0 if the job was ended. */
[[nodiscard]] std::uint64_t waitingTokens(const StoredJob &record);

/** Tokens with which the accepted jobs of one workspace on one route wait, as stored with its last acceptance there. */
struct WaitingLedger {
    std::map<JobId, std::uint64_t> tokens; ///< Tokens by job; an upper bound, because items may have finished since.
};

/** @return Tokens of all jobs in @p ledger; the largest number if the sum does not fit. */
[[nodiscard]] std::uint64_t totalTokens(const WaitingLedger &ledger);

/** @return Tokens of all items; the largest number if the sum does not fit. */
[[nodiscard]] std::uint64_t totalTokens(const std::vector<ItemHead> &items);

/**
 * Lowers a ledger to what this host knows of its jobs. Every known revision of a record gives an upper bound, because finished items and ended jobs never wait
 * again; so the sum holds even if the record is old. Jobs without waiting tokens are removed.
 * @param known Waiting tokens of the open and closed jobs of the workspace on the route that this host knows; jobs that the ledger lacks are added, because
 *        an earlier version accepted them without it.
 * @param gone Jobs whose record has been removed.
 */
[[nodiscard]] WaitingLedger reduceLedger(WaitingLedger ledger, const std::map<JobId, std::uint64_t> &known, const std::set<JobId> &gone);

/**
 * Decides whether a job may be accepted on a route. Load: a dozen jobs that arrive at as many hosts within a millisecond, each of a tenth of the limit. Every
 * acceptance is conditional on the ledger from which it was decided, so that concurrent ones are decided one after another, whatever each host knows.
 * @param waiting Tokens that already wait on the route.
 * @param tokens Tokens of the job.
 * @param limit Maximum of waiting tokens; 0 for no limit.
 */
[[nodiscard]] JobAdmission decideJobAdmission(std::uint64_t waiting, std::uint64_t tokens, std::uint64_t limit);

/** What to do with finished items, given the present record. */
enum class AppendAction : std::uint8_t {
    Write, ///< Append the results.
    NotOwner, ///< Another session owns the job.
    Nothing, ///< Every finished item has a position already.
};

/** Outcome of appendResults(). */
struct AppendDecision {
    AppendAction action{AppendAction::Nothing};
    StoredJob record; ///< Record to write; set for AppendAction::Write.
    std::vector<std::uint32_t> added; ///< Indexes of the items that get new positions, in the order of these positions.
};

/**
 * Appends finished items to the present record. An item that has a position keeps it.
 * @param own Session of the process that finished the items.
 * @param finished Final states by the index of the item.
 */
[[nodiscard]] AppendDecision appendResults(const StoredJob &present, const SessionId &own, const std::map<std::uint32_t, ItemState> &finished);

/**
 * Orders waiting items. Load: more batch work than the targets can finish in time. An item that is late already goes after those that can still be in time;
 * otherwise each late one would make the next one late as well.
 * @param runTime Time that an item usually takes.
 * @return Whether an item due at @p left is to be started before one due at @p right.
 */
[[nodiscard]] bool isMoreUrgent(TimePoint left, TimePoint right, TimePoint now, std::chrono::milliseconds runTime);

/**
 * Decides for how long finished items of a job wait for others, so that one write stores their results together. Load: jobs of some ten items that end one
 * after another within seconds, and are due much later.
 * @param unfinished Number of items of the job that have not finished.
 * @param untilDue Time until the job is due; negative after it.
 */
[[nodiscard]] std::chrono::milliseconds resultDelay(std::size_t unfinished, std::chrono::milliseconds untilDue);

/** Input of mayClaim(): what this host knows of a job and its owner. */
struct ClaimInput {
    bool open{false}; ///< Whether the job still has items to run.
    bool ownerIsOwn{false}; ///< Whether this host owns the job.
    bool released{false}; ///< Whether the last owner released the job.
    bool ownerRegistered{false}; ///< Whether the owner has an entry in the key-value service.
    bool ownerStatusRecent{false}; ///< Whether a status datagram of the owner arrived recently.
    std::chrono::milliseconds missingFor{0}; ///< Time since the owner was first found to be unregistered and without a recent status.
    std::chrono::milliseconds unregisteredFor{0}; ///< Time since the owner's entry was first found to be missing.
    unsigned rank{0}; ///< Rank of this host among the live hosts for this job; 0 is the first to claim.
};

/**
 * @return Time until an item runs again after a failed run. Grows with the failures that count and, twofold each time, with the ends of targets in a row.
 * @param failures Number of runs that the target itself reported as failed.
 * @param targetEnds Number of runs in a row under which the target ended before the first event.
 */
[[nodiscard]] std::chrono::milliseconds itemRetryDelay(unsigned failures, unsigned targetEnds);

/**
 * @param cancelLimit Time after the confirmed end of a job from which none of its items may reach a target.
 * @return Age up to which a record may be used to start items. The rest of the limit is left for sending an item.
 */
[[nodiscard]] std::chrono::milliseconds maxRecordAgeFor(std::chrono::milliseconds cancelLimit);

/**
 * Decides whether an item may start on what its host knows of the job. Another host may have confirmed the end of the job and be gone before its announcement,
 * so nothing but the service tells that the job is still open. In an outage of the service items go on, since no host can be told more.
 * @param recordAge Time since the start of the last call to the service that showed the record.
 */
[[nodiscard]] bool mayStartOnRecord(std::chrono::nanoseconds recordAge, std::chrono::milliseconds maxRecordAge, bool storeAway);

/** @return Whether this host may claim the job. Hosts of a higher rank number wait longer, so that claims seldom conflict. */
[[nodiscard]] bool mayClaim(const ClaimInput &input);

} // namespace skylark
