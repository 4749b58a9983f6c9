/** @file job_claims.cpp Claims of jobs whose owner is gone, and removal of closed jobs. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds claimDelayAfterStart{700}; ///< No claims before this age of the runner; by then the status of every live host has arrived.
constexpr std::size_t maxRemovalsPerWrite = kvTransactionEntries - 1; ///< A condition takes one entry of a transaction.

/** @return Function that ends the claim or removal of @p job. */
std::function<void()> endOf(const RunnerPtr &runner, const JobId &job)
{
    return [runner, job] {
        runner->claimsAndRemovals.erase(job);
    };
}

asio::awaitable<void> claimOrphanedJob(RunnerPtr runner, JobId job)
{
    co_await claimJob(runner->registry, job);
    runner->claimsAndRemovals.erase(job);
    reconcileOwnedJob(*runner, job);
}

/** @return Rank of this host for @p job among the hosts that have a recent status and are not leaving; 0 is first. */
unsigned rankFor(const JobRunner::Impl &runner, const JobId &job, TimePoint now)
{
    const std::uint64_t own = rendezvousScore(job.value, runner.host.value);
    unsigned rank = 0;
    for (const auto &[host, peer] : runner.proxy->loadTracker.peers) {
        const bool live = !peer.leaving && isCurrent(runner.proxy->loadTracker, peer, now);
        rank += live && rendezvousScore(job.value, host.value) > own ? 1 : 0;
    }
    return rank;
}

bool isRegistered(const JobRunner::Impl &runner, const SessionId &session)
{
    const auto &peers = runner.proxy->fleet->peers;
    return std::any_of(peers.begin(), peers.end(), [&session](const PeerEntry &peer) {
        return peer.session == session;
    });
}

/** @return All keys of a job except its record's. */
std::vector<std::string> dataKeysOf(const StoredJob &record)
{
    std::vector<std::string> keys{jobCheckpointKey(record.id)};
    for (std::uint32_t part = 0; part < record.bodyParts; ++part) {
        keys.push_back(jobBodyKey(record.id, part));
    }
    for (std::uint64_t position = 0; position < record.listed.size(); ++position) {
        keys.push_back(jobResultKey(record.id, position));
    }
    return keys;
}

/** Removes all keys of a closed job. The record is removed last, so that an interrupted removal is repeated. */
asio::awaitable<void> removeJob(RunnerPtr runner, StoredJob record, std::uint64_t revision)
{
    std::vector<std::string> keys = dataKeysOf(record);
    keys.push_back(jobRecordKey(record.id));
    bool applied = true;
    for (std::size_t at = 0; at < keys.size() && applied; at += maxRemovalsPerWrite) {
        KvTransaction transaction;
        transaction.conditions.push_back({jobRecordKey(record.id), revision});
        const auto first = keys.begin() + static_cast<std::ptrdiff_t>(at);
        const auto last = keys.begin() + static_cast<std::ptrdiff_t>(std::min(keys.size(), at + maxRemovalsPerWrite));
        transaction.removals.assign(first, last);
        const auto outcome = co_await runner->registry->store->commit(std::move(transaction));
        applied = isOk(outcome) && valueOf(outcome).applied;
    }
    runner->claimsAndRemovals.erase(record.id);
}

/** @return Whether this host removes the job: it owns the job, or the owner is gone and this host ranks first among the live ones. */
bool mayRemove(const JobRunner::Impl &runner, const StoredJob &record, TimePoint now)
{
    if (record.owner == runner.registry->session) {
        return true;
    }
    const bool ownerLives = isRegistered(runner, record.owner) || hasRecentStatus(runner.proxy->loadTracker, record.owner, now);
    return !ownerLives && rankFor(runner, record.id, now) == 0;
}

} // namespace

void claimOrphanedJobs(const RunnerPtr &runner)
{
    const TimePoint now = BootClock::now();
    if (!runner->startsItems || now - runner->createdAt < claimDelayAfterStart || !runner->proxy->fleet->storeReachable) {
        return;
    }
    for (const auto &[job, known] : runner->registry->jobs) {
        const SessionId &owner = known.record.owner;
        ClaimInput input{.open = isOpen(known.record), .ownerIsOwn = owner == runner->registry->session};
        if (!input.open || input.ownerIsOwn || known.revision == 0) {
            runner->missing.erase(job);
            continue;
        }
        input.released = owner.empty();
        input.ownerRegistered = isRegistered(*runner, owner);
        input.ownerStatusRecent = hasRecentStatus(runner->proxy->loadTracker, owner, now);
        if (input.ownerRegistered) {
            runner->missing.erase(job);
            continue;
        }
        MissingOwner &missing = runner->missing[job];
        if (missing.owner != owner) {
            missing = {owner, now, now};
        }
        missing.missingSince = input.ownerStatusRecent ? now : missing.missingSince;
        input.missingFor = std::chrono::duration_cast<milliseconds>(now - missing.missingSince);
        input.unregisteredFor = std::chrono::duration_cast<milliseconds>(now - missing.unregisteredSince);
        input.rank = rankFor(*runner, job, now);
        if (mayClaim(input) && runner->claimsAndRemovals.insert(job).second) {
            spawnLater(
                runner,
                "claim of a job",
                [runner, id = job] {
                    return claimOrphanedJob(runner, id);
                },
                endOf(runner, job));
        }
    }
}

void removeClosedJobs(const RunnerPtr &runner)
{
    const TimePoint now = BootClock::now();
    for (auto &[job, known] : runner->registry->jobs) {
        if (known.revision == 0 || isOpen(known.record)) {
            continue;
        }
        known.items.clear();
        const bool expired = now - known.knownSince > runner->closedRetention && now - known.closedSince > runner->closedReadTime;
        if (expired && mayRemove(*runner, known.record, now) && runner->claimsAndRemovals.insert(job).second) {
            spawnLater(
                runner,
                "removal of a job",
                [runner, record = known.record, revision = known.revision] {
                    return removeJob(runner, record, revision);
                },
                endOf(runner, job));
        }
    }
}

} // namespace skylark
