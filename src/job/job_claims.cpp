/** @file job_claims.cpp Jobs whose owner is gone, and closed jobs that nobody asks for any more. */
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

constexpr milliseconds keepAfterClose{150000}; ///< Time after submission after which a closed job is removed; readers may come for 120 s.
constexpr milliseconds settleAfterStart{700}; ///< Claims begin after so long, when the status of every live host has arrived.
constexpr std::size_t removalsPerWrite = kvTransactionEntries - 1; ///< A condition takes one entry of a transaction.

asio::awaitable<void> claimOrphan(RunnerPtr runner, JobId job)
{
    co_await claimJob(runner->book, job);
    runner->claiming.erase(job);
    followRecord(*runner, job);
}

/** @return Rank of this host for @p job among the hosts that are heard of. */
unsigned rankFor(const JobRunner::Impl &runner, const JobId &job, TimePoint now)
{
    const std::uint64_t own = rendezvousScore(job.value, runner.host.value);
    unsigned rank = 0;
    for (const auto &[host, peer] : runner.proxy->board.peers) {
        const bool live = !peer.leaving && now - peer.heardAt < runner.proxy->board.peerExpiry;
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

/** Removes one closed job that nobody may ask for any more. */
asio::awaitable<void> removeJob(RunnerPtr runner, StoredJob record, std::uint64_t revision)
{
    const JobId job = record.id;
    KvTransaction transaction;
    transaction.conditions.push_back({jobRecordKey(job), revision});
    transaction.removals.push_back(jobRecordKey(job));
    transaction.removals.push_back(jobOutputsKey(job));
    for (std::uint32_t part = 0; part < record.bodyParts && transaction.removals.size() < removalsPerWrite; ++part) {
        transaction.removals.push_back(jobBodyKey(job, part));
    }
    for (std::uint64_t position = 0; position < record.listed.size() && transaction.removals.size() < removalsPerWrite; ++position) {
        transaction.removals.push_back(jobResultKey(job, position));
    }
    co_await runner->book->store->commit(std::move(transaction));
    runner->claiming.erase(job);
}

} // namespace

void claimOrphans(const RunnerPtr &runner)
{
    const TimePoint now = BootClock::now();
    if (!runner->starting || now - runner->begunAt < settleAfterStart || !runner->proxy->fleet->storeReachable) {
        return;
    }
    for (const auto &[job, known] : runner->book->jobs) {
        const SessionId &owner = known.record.owner;
        ClaimInput input{.open = isOpen(known.record), .ownerIsOwn = owner == runner->book->session};
        if (!input.open || input.ownerIsOwn || known.revision == 0) {
            runner->missing.erase(job);
            continue;
        }
        input.released = owner.empty();
        input.ownerRegistered = isRegistered(*runner, owner);
        input.ownerHeard = heardLately(runner->proxy->board, owner, now);
        if (input.ownerRegistered) {
            runner->missing.erase(job);
            continue;
        }
        MissingOwner &missing = runner->missing[job];
        if (missing.owner != owner) {
            missing = {owner, now, now};
        }
        missing.missingSince = input.ownerHeard ? now : missing.missingSince;
        input.missingFor = std::chrono::duration_cast<milliseconds>(now - missing.missingSince);
        input.unregisteredFor = std::chrono::duration_cast<milliseconds>(now - missing.unregisteredSince);
        input.rank = rankFor(*runner, job, now);
        if (mayClaim(input) && runner->claiming.insert(job).second) {
            spawnLater(runner, [runner, id = job] {
                return claimOrphan(runner, id);
            });
        }
    }
}

void removeClosed(const RunnerPtr &runner)
{
    const UnixTime now = unixNow();
    for (const auto &[job, known] : runner->book->jobs) {
        const bool own = known.record.owner == runner->book->session && known.revision > 0;
        if (own && !isOpen(known.record) && now > known.record.created + keepAfterClose && runner->claiming.insert(job).second) {
            spawnLater(runner, [runner, record = known.record, revision = known.revision] {
                return removeJob(runner, record, revision);
            });
        }
    }
}

} // namespace skylark
