/** @file job_policy_func.h Decisions about jobs: acceptance within the limit of a route, claims, positions of results. */
#pragma once

#include "job/job_type.h"

#include <map>
#include <optional>
#include <vector>

namespace skylark {

/** Whether a job may be accepted. */
enum class AcceptVerdict : std::uint8_t {
    Accept, ///< It fits by far; hosts need not follow one another.
    AcceptInTurn, ///< It fits, but only if no other host accepts at the same time.
    Refuse, ///< It does not fit.
};

/** @return Tokens of items without a result, of jobs that were not ended. */
[[nodiscard]] std::uint64_t waitingTokens(const StoredJob &record);

/**
 * Decides about @p tokens more on a route.
 * @param waiting Tokens that wait on the route.
 * @param limit Most tokens that may wait; 0 for no limit.
 */
[[nodiscard]] AcceptVerdict decideAccept(std::uint64_t waiting, std::uint64_t tokens, std::uint64_t limit);

/** What to do with a record after a conflicting write. */
enum class ListVerdict : std::uint8_t {
    Write, ///< Append the results.
    NotOwner, ///< Another run of a process owns the job.
    Nothing, ///< Every result is listed already.
};

/** Outcome of appendResults(). */
struct ListDecision {
    ListVerdict verdict{ListVerdict::Nothing}; ///< What to do.
    StoredJob record; ///< Record to write.
    std::vector<std::uint32_t> added; ///< Indexes of the items that get the positions after those of the present record.
};

/**
 * Appends finished items to the present record. An item that has a position keeps it.
 * @param own Run of the process that finished the items.
 */
[[nodiscard]] ListDecision appendResults(const StoredJob &present, const SessionId &own, const std::map<std::uint32_t, ItemState> &finished);

/** What a host knows of the owner of a job. */
struct ClaimInput {
    bool open{false}; ///< Whether items have no result and the job was not ended.
    bool ownerIsOwn{false}; ///< Whether this host owns it.
    bool released{false}; ///< Whether the last owner gave it up.
    bool ownerRegistered{false}; ///< Whether the owner's entry is in the service.
    bool ownerHeard{false}; ///< Whether the owner was heard of lately.
    std::chrono::milliseconds missingFor{0}; ///< Time since the owner was first found to be neither registered nor heard.
    std::chrono::milliseconds unregisteredFor{0}; ///< Time since the owner's entry was first found to be missing.
    unsigned rank{0}; ///< Rank of this host among the live hosts for the job; 0 is first.
};

/** @return Whether this host claims the job. Hosts of a later rank wait longer, so that they seldom compete. */
[[nodiscard]] bool mayClaim(const ClaimInput &input);

} // namespace skylark
