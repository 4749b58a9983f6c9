/** @file job_runner.cpp Loop that runs the items of the jobs that this host owns in the slots that online requests leave free. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "fleet/route_match_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"
#include "policy/stream_origin_func.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds roundInterval{25}; ///< Time between two rounds of the loop; a target makes several steps in it.
constexpr unsigned roundsPerClaimCheck = 10; ///< Claims and removals are checked once in so many rounds.

/** An item that runs on a target. */
struct RunningItem {
    JobId job;
    std::uint32_t index{0}; ///< Index of the item in the job.
    std::shared_ptr<ItemRun> run;
};

/** Items of this host that run on one target. */
struct TargetRuns {
    std::vector<RunningItem> items; ///< Items that are not being cancelled.
    unsigned yielding{0}; ///< Number of items that are being cancelled already.
};

std::map<TargetId, TargetRuns> runsByTarget(const JobRunner::Impl &runner)
{
    std::map<TargetId, TargetRuns> targets;
    for (const auto &[job, owned] : runner.owned) {
        for (const auto &[index, run] : owned.runs) {
            if (run->phase != ItemPhase::Running) {
                continue;
            }
            TargetRuns &runs = targets[run->target];
            if (run->yielded) {
                ++runs.yielding;
            } else {
                runs.items.push_back({job, index, run});
            }
        }
    }
    return targets;
}

void yieldItem(const JobRunner::Impl &runner, const RunningItem &item, unsigned online)
{
    item.run->yielded = true;
    logSampled(EventKind::ItemYielded,
               runner.registry->jobs.at(item.job).record.items[item.index].id,
               {{"job", item.job.value}, {"target", item.run->target.value}, {"events", item.run->events}, {"online", online}});
    interruptRun(*item.run);
}

/** @return The items that may start now, in the order in which they are due. */
std::vector<PendingItem> pendingItems(const JobRunner::Impl &runner, const ItemTrials &trials)
{
    std::vector<PendingItem> pending;
    const TimePoint now = BootClock::now();
    for (const auto &[job, owned] : runner.owned) {
        const KnownJob &known = runner.registry->jobs.at(job);
        const RouteRule *route = routeOf(runner, known.record);
        if (!owned.loaded || route == nullptr || route->kind != CallKind::Batch) {
            continue;
        }
        for (const auto &[index, run] : owned.runs) {
            if (run->phase == ItemPhase::Pending && run->notBefore <= now) {
                // The choice hashes the item's identifier, so that each service gets its share of a job's items.
                const ServiceId &service = chooseService(*route, hash64(known.record.items[index].id));
                pending.push_back({job, index, known.knownSince + route->completionTarget, service});
            }
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [now, runTime = runner.itemRunTime](const PendingItem &left, const PendingItem &right) {
        return isMoreUrgent(left.due, right.due, now, runTime);
    });
    std::erase_if(pending, [&](const PendingItem &item) {
        return !mayStartItem(runner, trials, item, now);
    });
    return pending;
}

/** @return Whether the item may run at the target of @p offer, be it one that it avoids. */
bool isUsable(const SlotOffer &offer, const PendingItem &item, const ItemRun &run)
{
    return offer.slots.items > 0 && offer.target->service == item.service && mayContinueAt(run.origin, versionOf(*offer.target));
}

/** @return The best offer of a target that the item may use and does not avoid; null if there is none. */
SlotOffer *chooseOffer(std::vector<SlotOffer> &offers, const PendingItem &item, const ItemRun &run)
{
    SlotOffer *best = nullptr;
    for (SlotOffer &offer : offers) {
        const bool avoided = std::find(run.avoided.begin(), run.avoided.end(), offer.target->id) != run.avoided.end();
        if (avoided || !isUsable(offer, item, run)) {
            continue;
        }
        if (best == nullptr || isBetterOffer(offer.slots, best->slots)) {
            best = &offer;
        }
    }
    return best;
}

/** @return Whether a target that the item may use has slots left. */
bool hasOffer(const std::vector<SlotOffer> &offers, const PendingItem &item, const ItemRun &run)
{
    return std::any_of(offers.begin(), offers.end(), [&](const SlotOffer &offer) {
        return isUsable(offer, item, run);
    });
}

/** @return Whether a target of the item's service has slots left. */
bool hasOfferOfService(const std::vector<SlotOffer> &offers, const ServiceId &service)
{
    return std::any_of(offers.begin(), offers.end(), [&service](const SlotOffer &offer) {
        return offer.slots.items > 0 && offer.target->service == service;
    });
}

/** @return Service and version of each target that takes items. */
std::vector<ServiceVersion> acceptingVersions(const Proxy &proxy)
{
    std::vector<ServiceVersion> versions;
    for (const auto &[id, entry] : *proxy.fleet->targets) {
        if (!isLeaving(proxy.leavingTargets, entry)) {
            versions.push_back(versionOf(entry));
        }
    }
    return versions;
}

/** Makes an item whose version has no slots for it wait, or begin anew. @param accepting Versions of all targets that take items. */
void awaitVersion(const JobRunner::Impl &runner, const PendingItem &item, ItemRun &run, const std::vector<ServiceVersion> &accepting, TimePoint now)
{
    run.versionMissedAt = run.versionMissedAt == TimePoint{} ? now : run.versionMissedAt;
    const auto missed = std::chrono::duration_cast<milliseconds>(now - run.versionMissedAt);
    if (!beginsAnew(*run.origin, accepting, missed)) {
        return;
    }
    logEvent(EventKind::ItemRestarted,
             runner.registry->jobs.at(item.job).record.items[item.index].id,
             {{"job", item.job.value}, {"version", run.origin->version.value}, {"events", run.events}, {"waited_ms", missed.count()}});
    discardOutput(run);
}

/** Starts @p item on @p target. */
void startItem(const RunnerPtr &runner, const PendingItem &item, const std::shared_ptr<ItemRun> &run, const TargetEntry &target, TimePoint now)
{
    const TargetCounts counts = countsOf(runner->proxy->loadTracker, target.id, now);
    const KnownJob &known = runner->registry->jobs.at(item.job);
    run->phase = ItemPhase::Running;
    run->startedAt = now;
    run->target = target.id;
    logSampled(EventKind::ItemStarted,
               known.record.items[item.index].id,
               {{"job", item.job.value},
                {"target", target.id.value},
                {"after", run->splitter.lastId},
                {"online", counts.online},
                {"batch", counts.batch},
                {"slack_ms", std::chrono::duration_cast<milliseconds>(item.due - now).count()},
                {"record_age_ms", std::chrono::duration_cast<milliseconds>(now - known.confirmedAt).count()}});
    // The guard counts the item as load from now on, not only from the first step of its coroutine.
    auto guard = std::make_shared<const InFlightGuard>(loadTrackerOf(runner->proxy), target.id, true);
    spawnLater(
        runner,
        "run of an item",
        [runner, item, run, entry = target, guard = std::move(guard)] {
            return runItem(runner, item.job, item.index, run, entry, guard);
        },
        [run] {
            resetFailedRun(*run);
        });
}

/** Keeps since when items have waited without interruption. @return Whether items of a service wait of which none did before. */
bool updateWaitingSince(JobRunner::Impl &runner, const std::map<ServiceId, unsigned> &waitedBefore, TimePoint now)
{
    const std::map<ServiceId, unsigned> &waiting = runner.proxy->loadTracker.ownWaiting;
    std::erase_if(runner.waitingSince, [&](const auto &entry) {
        return !waiting.contains(entry.first) || !waitedBefore.contains(entry.first);
    });
    bool isNew = false;
    for (const auto &[service, items] : waiting) {
        isNew = runner.waitingSince.try_emplace(service, now).second || isNew;
    }
    return isNew;
}

/** Starts pending items in free slots, in the order in which their jobs are due. */
void startItems(const RunnerPtr &runner)
{
    LoadTracker &tracker = runner->proxy->loadTracker;
    const std::map<ServiceId, unsigned> waitedBefore = std::exchange(tracker.ownWaiting, {});
    if (!runner->startsItems || runner->proxy->links.lost || !runner->proxy->fleet->targets || runner->owned.empty()) {
        runner->waitingSince.clear();
        return;
    }
    const TimePoint now = BootClock::now();
    ItemTrials trials = findTrials(*runner);
    const std::vector<PendingItem> pending = pendingItems(*runner, trials);
    for (const PendingItem &item : pending) {
        ++tracker.ownWaiting[item.service];
    }
    const bool hasNewService = updateWaitingSince(*runner, waitedBefore, now);
    std::vector<SlotOffer> offers = findSlotOffers(*runner, pending, now);
    const std::vector<ServiceVersion> accepting = acceptingVersions(*runner->proxy);
    bool started = false;
    for (const PendingItem &item : pending) {
        const auto run = runner->owned.at(item.job).runs.at(item.index);
        SlotOffer *offer = chooseOffer(offers, item, *run);
        if (offer == nullptr) {
            // Where only avoided targets have slots, the item may use them again from the next round on.
            if (hasOffer(offers, item, *run)) {
                run->avoided.clear();
            } else if (run->origin && hasOfferOfService(offers, item.service)) {
                awaitVersion(*runner, item, *run, accepting, now);
            }
            continue;
        }
        run->versionMissedAt = {};
        if (!mayStartItem(*runner, trials, item, now)) {
            continue;
        }
        const KnownJob &known = runner->registry->jobs.at(item.job);
        if (!mayStartOnRecord(now - known.confirmedAt, runner->maxRecordAge, runner->proxy->fleet->storeAway)) {
            // The slot is kept for the item in this round, so that no more records are read than there are slots. A slow read leaves it to others.
            offer->slots.items -= refreshRecord(runner->registry, item.job) ? 1 : 0;
            continue;
        }
        recordItemStart(*runner, trials, item);
        startItem(runner, item, run, *offer->target, now);
        --offer->slots.items;
        --tracker.ownWaiting[item.service];
        started = true;
    }
    std::erase_if(tracker.ownWaiting, [](const auto &entry) {
        return entry.second == 0;
    });
    if (started || hasNewService) {
        runner->proxy->onLoadChange(LoadChange::SlotNeeded);
    }
}

asio::awaitable<void> runLoop(RunnerPtr runner)
{
    while (!runner->stopped) {
        ++runner->round;
        scheduleStoreCalls(runner);
        startItems(runner);
        if (runner->round % roundsPerClaimCheck == 0) {
            claimOrphanedJobs(runner);
            removeClosedJobs(runner);
        }
        co_await sleepFor(runner->owned.empty() ? roundInterval * 4 : roundInterval);
    }
}

} // namespace

const RouteRule *routeOf(const JobRunner::Impl &runner, const StoredJob &record)
{
    const auto &config = runner.proxy->fleet->config;
    return config ? matchRoute(*config, record.host, record.path) : nullptr;
}

std::unique_ptr<JobRunner> JobRunner::create(std::shared_ptr<Proxy> proxy,
                                             std::shared_ptr<JobRegistry> registry,
                                             HostId host,
                                             std::chrono::milliseconds cancelLimit)
{
    auto impl = std::make_shared<Impl>();
    impl->proxy = std::move(proxy);
    impl->registry = std::move(registry);
    impl->host = std::move(host);
    impl->maxRecordAge = maxRecordAgeFor(cancelLimit);
    impl->createdAt = BootClock::now();
    const std::weak_ptr<Impl> weak = impl;
    impl->registry->onJobChanged = [weak](const JobId &job) {
        if (const auto strong = weak.lock()) {
            reconcileOwnedJob(*strong, job);
        }
    };
    startLoop(impl->registry->executor, "job runner", [impl] {
        return runLoop(impl);
    });
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
    for (auto &[target, runs] : runsByTarget(impl)) {
        const auto entry = impl.proxy->fleet->targets->find(target);
        if (entry == impl.proxy->fleet->targets->end()) {
            continue;
        }
        const TargetCounts counts = countsOf(impl.proxy->loadTracker, target, now);
        if (counts.online + counts.batch <= entry->second.slots) {
            continue;
        }
        const unsigned wanted = batchItemsToYield(yieldInput(impl, entry->second, now));
        const std::size_t excess = std::min<std::size_t>(wanted - std::min(wanted, runs.yielding), runs.items.size());
        // The newest runs are cancelled first: they have produced the least output.
        std::sort(runs.items.begin(), runs.items.end(), [](const RunningItem &left, const RunningItem &right) {
            return left.run->startedAt > right.run->startedAt;
        });
        for (std::size_t i = 0; i < excess; ++i) {
            yieldItem(impl, runs.items[i], counts.online);
        }
    }
}

asio::awaitable<void> releaseJobs(JobRunner &runner)
{
    const RunnerPtr impl = runner.impl;
    impl->startsItems = false;
    std::vector<JobId> jobs;
    for (auto &[job, owned] : impl->owned) {
        jobs.push_back(job);
        for (auto &[index, run] : owned.runs) {
            run->yielded = run->phase == ItemPhase::Running;
            interruptRun(*run);
        }
    }
    for (const JobId &job : jobs) {
        co_await storeFinishedItems(impl, job);
        co_await checkpointOwnedJob(impl, job, true);
    }
}

std::size_t activeItems(const JobRunner &runner)
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
