/** @file job_runner.cpp Runs the items of the jobs that this host owns on what online requests leave free. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "fleet/route_match_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds roundInterval{25}; ///< Time between two rounds: several steps of a target.
constexpr unsigned claimRounds = 10; ///< Rounds between two looks for jobs without an owner.
constexpr unsigned lastSlotRounds = 8; ///< A host that is not preferred on a target takes the last slot in one round of so many.
constexpr milliseconds listDelay{200}; ///< Results of a job are stored together for so long.
constexpr milliseconds saveInterval{2000}; ///< Outputs of a job are kept so often: half of an item's time at most is lost with its host.
constexpr std::uint64_t leastNewEvents = 20; ///< Fewer new events are not worth a write.
constexpr milliseconds keepAfterClose{150000}; ///< Time after submission after which a closed job is removed; readers may come for 120 s.
constexpr milliseconds settleAfterStart{700}; ///< Claims begin after so long, when the status of every live host has arrived.
constexpr std::size_t removalsPerWrite = kvTransactionEntries - 1; ///< A condition takes one entry of a transaction.

/** Begins @p task after the present handler, so that what it changes is not being iterated over. */
void spawnLater(const RunnerPtr &runner, std::function<asio::awaitable<void>()> task)
{
    asio::post(runner->book->executor, [runner, task = std::move(task)] {
        asio::co_spawn(runner->book->executor, task(), asio::detached);
    });
}

/** A candidate for a start. */
struct PendingItem {
    JobId job; ///< Job.
    std::uint32_t index{0}; ///< Item.
    UnixTime due{}; ///< When the job's results are due.
    ServiceId service; ///< Service that runs it.
};

const RouteRule *routeOf(const JobRunner::Impl &runner, const StoredJob &record)
{
    const auto &config = runner.proxy->fleet->config;
    return config ? matchRoute(*config, record.host, record.path) : nullptr;
}

bool isOpen(const StoredJob &record)
{
    return !record.ended && !isComplete(record);
}

/** Stops what runs of a job that is no longer this host's. */
void dropOwned(JobRunner::Impl &runner, const JobId &job)
{
    const auto found = runner.owned.find(job);
    if (found == runner.owned.end()) {
        return;
    }
    for (auto &[index, run] : found->second.runs) {
        run->cancelled = true;
        cutRun(*run);
    }
    runner.owned.erase(found);
}

/** Brings the list of owned jobs in line with the record. */
void followRecord(JobRunner::Impl &runner, const JobId &job)
{
    const auto known = runner.book->jobs.find(job);
    const bool own = known != runner.book->jobs.end() && known->second.record.owner == runner.book->session && isOpen(known->second.record);
    const auto owned = runner.owned.find(job);
    if (!own) {
        if (owned != runner.owned.end() && known != runner.book->jobs.end() && known->second.record.owner != runner.book->session) {
            logEvent(EventKind::JobDropped, job.value, {{"owner", known->second.record.owner.value}});
        }
        dropOwned(runner, job);
        return;
    }
    OwnedJob &entry = runner.owned[job];
    if (owned == runner.owned.end()) {
        entry.fresh = !known->second.items.empty() && !known->second.claimed;
        entry.savedAt = BootClock::now();
        for (std::uint32_t i = 0; i < known->second.record.items.size(); ++i) {
            entry.runs[i] = std::make_shared<ItemRun>();
        }
    }
    for (const ListedItem &listed : known->second.record.listed) {
        const auto run = entry.runs.find(listed.index);
        if (run != entry.runs.end()) {
            run->second->cancelled = true;
            cutRun(*run->second);
            entry.runs.erase(run);
        }
    }
}

/** Takes kept outputs into items that have not run here. */
void takeOutputs(OwnedJob &owned, const SavedOutputs &outputs)
{
    for (const auto &[index, output] : outputs) {
        const auto found = owned.runs.find(index);
        if (found == owned.runs.end() || found->second->phase != ItemPhase::Pending || found->second->events > 0) {
            continue;
        }
        ItemRun &run = *found->second;
        run.splitter.last = output.lastEventId;
        run.events = output.events;
        run.failures = output.failures;
        run.text = output.text;
    }
}

asio::awaitable<void> loadOwned(RunnerPtr runner, JobId job)
{
    Result<SavedOutputs> outputs = SavedOutputs();
    const auto begun = runner->owned.find(job);
    if (begun != runner->owned.end() && !begun->second.fresh) {
        outputs = co_await loadOutputs(runner->book, job);
    }
    Result<Done> loaded = Done{};
    if (isOk(outputs)) {
        loaded = co_await loadJobItems(runner->book, job);
    }
    const auto owned = runner->owned.find(job);
    if (owned != runner->owned.end()) {
        owned->second.loading = false;
    }
    if (!isOk(outputs) || !isOk(loaded)) {
        const Error &error = isOk(outputs) ? errorOf(loaded) : errorOf(outputs);
        logEvent(EventKind::ItemFailed, {}, {{"job", job.value}, {"error", "load"}, {"detail", error.detail}});
    } else if (owned != runner->owned.end()) {
        takeOutputs(owned->second, valueOf(outputs));
    }
}

/** @return Outputs of the items of a job that have made some and are not finished. */
SavedOutputs outputsOf(const OwnedJob &owned)
{
    SavedOutputs outputs;
    for (const auto &[index, run] : owned.runs) {
        if (run->phase != ItemPhase::Finished && (run->events > 0 || run->failures > 0)) {
            outputs[index] = {run->splitter.last, run->events, run->failures, run->text};
        }
    }
    return outputs;
}

std::uint64_t eventsOf(const OwnedJob &owned)
{
    std::uint64_t events = 0;
    for (const auto &[index, run] : owned.runs) {
        events += run->phase == ItemPhase::Finished ? 0 : run->events;
    }
    return events;
}

void noteSaved(OwnedJob &owned)
{
    owned.savedAt = BootClock::now();
    owned.savedEvents = eventsOf(owned);
}

asio::awaitable<void> listOwned(RunnerPtr runner, JobId job)
{
    const auto owned = runner->owned.find(job);
    const auto known = runner->book->jobs.find(job);
    if (owned == runner->owned.end() || known == runner->book->jobs.end()) {
        co_return;
    }
    std::map<std::uint32_t, JobResult> finished;
    for (const auto &[index, run] : owned->second.runs) {
        if (run->phase == ItemPhase::Finished) {
            finished[index] = JobResult{known->second.record.items[index].id, run->state, run->text};
        }
    }
    SavedOutputs outputs = outputsOf(owned->second);
    noteSaved(owned->second);
    co_await listResults(runner->book, job, std::move(finished), std::move(outputs));
    const auto again = runner->owned.find(job);
    if (again != runner->owned.end()) {
        again->second.writing = false;
        followRecord(*runner, job);
    }
    if (const auto rest = runner->owned.find(job); rest != runner->owned.end()) {
        const bool waiting = std::any_of(rest->second.runs.begin(), rest->second.runs.end(), [](const auto &entry) {
            return entry.second->phase == ItemPhase::Finished;
        });
        rest->second.firstFinished = waiting ? BootClock::now() : TimePoint{};
    }
}

/** Keeps the outputs of unfinished items in the service. */
asio::awaitable<void> saveOwned(RunnerPtr runner, JobId job, bool release)
{
    const auto owned = runner->owned.find(job);
    if (owned == runner->owned.end()) {
        co_return;
    }
    SavedOutputs outputs = outputsOf(owned->second);
    noteSaved(owned->second);
    const auto saved = co_await saveOutputs(runner->book, job, std::move(outputs), release);
    addCounter(*runner->proxy->metrics, "skylark_job_saves_total", {{"outcome", isOk(saved) ? "stored" : "failed"}});
    if (const auto again = runner->owned.find(job); again != runner->owned.end()) {
        again->second.writing = false;
        followRecord(*runner, job);
    }
}

/** Gives up items whose time is over or whose route is gone. */
void giveUpItems(JobRunner::Impl &runner, const StoredJob &record, OwnedJob &owned)
{
    if (!runner.proxy->fleet->config) {
        return;
    }
    const RouteRule *route = routeOf(runner, record);
    const bool gone = route == nullptr || route->kind != CallKind::Batch;
    const bool over = !gone && route->retention.count() > 0 && unixNow() > record.created + route->retention;
    if (!gone && !over) {
        return;
    }
    for (auto &[index, run] : owned.runs) {
        if (run->phase != ItemPhase::Finished) {
            run->yielded = run->phase == ItemPhase::Running;
            cutRun(*run);
            run->phase = ItemPhase::Finished;
            run->state = ItemState::Failed;
            run->text.clear();
            owned.firstFinished = BootClock::now();
        }
    }
}

/** Loads, stores and gives up items of owned jobs. */
void tendOwned(const RunnerPtr &runner)
{
    const TimePoint now = BootClock::now();
    for (auto &[job, owned] : runner->owned) {
        const KnownJob &known = runner->book->jobs.at(job);
        giveUpItems(*runner, known.record, owned);
        const bool saving = eventsOf(owned) > owned.savedEvents + leastNewEvents && now - owned.savedAt >= saveInterval;
        if (known.items.empty() && !owned.loading) {
            owned.loading = true;
            spawnLater(runner, [runner, id = job] {
                return loadOwned(runner, id);
            });
        }
        if (owned.firstFinished != TimePoint{} && !owned.writing && now - owned.firstFinished >= listDelay) {
            owned.writing = true;
            spawnLater(runner, [runner, id = job] {
                return listOwned(runner, id);
            });
        } else if (saving && !owned.writing) {
            owned.writing = true;
            spawnLater(runner, [runner, id = job] {
                return saveOwned(runner, id, false);
            });
        }
    }
}

std::vector<PendingItem> pendingItems(const JobRunner::Impl &runner)
{
    std::vector<PendingItem> pending;
    const TimePoint now = BootClock::now();
    for (const auto &[job, owned] : runner.owned) {
        const KnownJob &known = runner.book->jobs.at(job);
        const RouteRule *route = routeOf(runner, known.record);
        if (known.items.empty() || route == nullptr || route->kind != CallKind::Batch) {
            continue;
        }
        for (const auto &[index, run] : owned.runs) {
            if (run->phase == ItemPhase::Pending && run->notBefore <= now) {
                // The draw depends on the item, so that the shares hold over a job.
                const ServiceId &service = chooseService(*route, hash64(known.record.items[index].id));
                pending.push_back({job, index, known.record.created + route->completionTarget, service});
            }
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const PendingItem &left, const PendingItem &right) {
        return left.due < right.due;
    });
    return pending;
}

/** @return The target with the most free slots for batch, or null. */
const TargetEntry *chooseBatchTarget(const JobRunner::Impl &runner, const PendingItem &item, const ItemRun &run, TimePoint now)
{
    const TargetEntry *best = nullptr;
    unsigned bestFree = 0;
    for (const auto &[id, entry] : *runner.proxy->fleet->targets) {
        if (entry.service != item.service || entry.leaving || std::find(run.avoided.begin(), run.avoided.end(), id) != run.avoided.end()) {
            continue;
        }
        const auto health = runner.proxy->health.find(id);
        if (health != runner.proxy->health.end() && now < health->second.suspectUntil) {
            continue;
        }
        const unsigned free = valleyFree(valleyInput(runner, entry, now));
        if (free > bestFree) {
            best = &entry;
            bestFree = free;
        }
    }
    return best;
}

/** Starts items on free slots, those of the job that is due first before others. */
void startItems(const RunnerPtr &runner)
{
    if (!runner->starting || !runner->proxy->fleet->targets || runner->owned.empty()) {
        return;
    }
    const TimePoint now = BootClock::now();
    bool started = false;
    for (const PendingItem &item : pendingItems(*runner)) {
        const auto run = runner->owned.at(item.job).runs.at(item.index);
        const TargetEntry *target = chooseBatchTarget(*runner, item, *run, now);
        if (target == nullptr) {
            if (run->avoided.empty()) {
                break;
            }
            run->avoided.clear();
            continue;
        }
        const TargetCounts counts = countsOf(runner->proxy->board, target->id, now);
        run->phase = ItemPhase::Running;
        run->startedAt = now;
        run->target = target->id;
        logSampled(EventKind::ItemStarted,
                   runner->book->jobs.at(item.job).record.items[item.index].id,
                   {{"job", item.job.value},
                    {"target", target->id.value},
                    {"after", run->splitter.last},
                    {"online", counts.online},
                    {"batch", counts.batch},
                    {"slack_ms", (item.due - unixNow()).count()}});
        // The item counts from now on, not from the first step of its coroutine.
        auto ticket = std::make_shared<const LoadTicket>(boardOf(runner->proxy), target->id, true);
        spawnLater(runner, [runner, item, run, entry = *target, ticket = std::move(ticket)] {
            return runItem(runner, item.job, item.index, run, entry, ticket);
        });
        started = true;
    }
    if (started) {
        runner->proxy->announceLoad();
    }
}

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

/** Claims jobs whose owner is gone. */
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

asio::awaitable<void> runLoop(RunnerPtr runner)
{
    asio::steady_timer timer(runner->book->executor);
    while (!runner->stopped) {
        ++runner->round;
        tendOwned(runner);
        startItems(runner);
        if (runner->round % claimRounds == 0) {
            claimOrphans(runner);
            removeClosed(runner);
        }
        timer.expires_after(runner->owned.empty() ? roundInterval * 4 : roundInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

ValleyInput valleyInput(const JobRunner::Impl &runner, const TargetEntry &target, TimePoint now)
{
    const LoadBoard &board = runner.proxy->board;
    ValleyInput input;
    input.slots = target.slots;
    if (const auto own = board.own.find(target.id); own != board.own.end()) {
        input.online = own->second.online;
        input.ownBatch = own->second.batch;
    }
    const std::uint64_t ownScore = rendezvousScore(target.id.value, runner.host.value);
    input.preferred = true;
    for (const auto &[host, peer] : board.peers) {
        if (now - peer.heardAt >= board.peerExpiry) {
            continue;
        }
        const bool before = rendezvousScore(target.id.value, host.value) < ownScore;
        input.preferred = input.preferred && (before || peer.leaving);
        const auto found = peer.counts.find(target.id);
        if (found != peer.counts.end()) {
            input.online += found->second.online;
            (before ? input.batchBefore : input.batchAfter) += found->second.batch;
        }
    }
    input.preferred = input.preferred || runner.round % lastSlotRounds == rendezvousScore(target.id.value, runner.host.value) % lastSlotRounds;
    return input;
}

std::unique_ptr<JobRunner> JobRunner::create(std::shared_ptr<Proxy> proxy, std::shared_ptr<JobBook> book, HostId host)
{
    auto impl = std::make_shared<Impl>();
    impl->proxy = std::move(proxy);
    impl->book = std::move(book);
    impl->host = std::move(host);
    impl->begunAt = BootClock::now();
    const std::weak_ptr<Impl> weak = impl;
    impl->book->onJobChanged = [weak](const JobId &job) {
        if (const auto strong = weak.lock()) {
            followRecord(*strong, job);
        }
    };
    asio::co_spawn(impl->book->executor, runLoop(impl), asio::detached);
    auto runner = std::make_unique<JobRunner>();
    runner->impl = std::move(impl);
    return runner;
}

JobRunner::~JobRunner()
{
    if (this->impl) {
        this->impl->stopped = true;
    }
}

void yieldToOnline(JobRunner &runner)
{
    JobRunner::Impl &impl = *runner.impl;
    if (!impl.proxy->fleet->targets) {
        return;
    }
    const TimePoint now = BootClock::now();
    std::map<TargetId, std::vector<std::pair<TimePoint, std::shared_ptr<ItemRun>>>> running;
    std::map<TargetId, unsigned> yielding;
    for (auto &[job, owned] : impl.owned) {
        for (auto &[index, run] : owned.runs) {
            if (run->phase != ItemPhase::Running) {
                continue;
            }
            if (run->yielded) {
                ++yielding[run->target];
            } else {
                running[run->target].emplace_back(run->startedAt, run);
            }
        }
    }
    for (auto &[target, runs] : running) {
        const auto entry = impl.proxy->fleet->targets->find(target);
        if (entry == impl.proxy->fleet->targets->end()) {
            continue;
        }
        const unsigned wanted = valleyYield(valleyInput(impl, entry->second, now));
        unsigned excess = wanted - std::min(wanted, yielding[target]);
        // The newest run has made the least output.
        std::sort(runs.begin(), runs.end(), [](const auto &left, const auto &right) {
            return left.first > right.first;
        });
        for (auto &[startedAt, run] : runs) {
            if (excess == 0) {
                break;
            }
            --excess;
            run->yielded = true;
            logSampled(
                EventKind::ItemYielded, {}, {{"target", target.value}, {"events", run->events}, {"online", countsOf(impl.proxy->board, target, now).online}});
            cutRun(*run);
        }
    }
}

asio::awaitable<void> handOverJobs(JobRunner &runner)
{
    const RunnerPtr impl = runner.impl;
    impl->starting = false;
    std::vector<JobId> jobs;
    for (auto &[job, owned] : impl->owned) {
        jobs.push_back(job);
        for (auto &[index, run] : owned.runs) {
            run->yielded = run->phase == ItemPhase::Running;
            cutRun(*run);
        }
    }
    for (const JobId &job : jobs) {
        co_await listOwned(impl, job);
        co_await saveOwned(impl, job, true);
    }
}

std::size_t unfinishedItems(const JobRunner &runner)
{
    std::size_t count = 0;
    for (const auto &[job, owned] : runner.impl->owned) {
        for (const auto &[index, run] : owned.runs) {
            count += run->phase == ItemPhase::Pending ? 0 : 1;
        }
    }
    return count;
}

} // namespace skylark
