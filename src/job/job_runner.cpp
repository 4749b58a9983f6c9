/** @file job_runner.cpp Runs the items of the jobs that this host owns on what online requests leave free. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "fleet/route_match_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

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

/** A candidate for a start. */
struct PendingItem {
    JobId job; ///< Job.
    std::uint32_t index{0}; ///< Item.
    UnixTime due{}; ///< When the job's results are due.
    ServiceId service; ///< Service that runs it.
};

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
        if (!owned.loaded && !owned.loading) {
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

/** An item that is at a target. */
struct RunningItem {
    JobId job; ///< Job.
    std::uint32_t index{0}; ///< Item.
    std::shared_ptr<ItemRun> run; ///< Its run.
};

/** Items of this host at one target. */
struct TargetRuns {
    std::vector<RunningItem> items; ///< Items that go on running.
    unsigned yielding{0}; ///< Items that are being cut already.
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
               runner.book->jobs.at(item.job).record.items[item.index].id,
               {{"job", item.job.value}, {"target", item.run->target.value}, {"events", item.run->events}, {"online", online}});
    cutRun(*item.run);
}

std::vector<PendingItem> pendingItems(const JobRunner::Impl &runner)
{
    std::vector<PendingItem> pending;
    const TimePoint now = BootClock::now();
    for (const auto &[job, owned] : runner.owned) {
        const KnownJob &known = runner.book->jobs.at(job);
        const RouteRule *route = routeOf(runner, known.record);
        if (!owned.loaded || route == nullptr || route->kind != CallKind::Batch) {
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
        runner->proxy->announceLoad(LoadChange::SlotNeeded);
    }
}

asio::awaitable<void> runLoop(RunnerPtr runner)
{
    while (!runner->stopped) {
        ++runner->round;
        tendOwned(runner);
        startItems(runner);
        if (runner->round % claimRounds == 0) {
            claimOrphans(runner);
            removeClosed(runner);
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
    for (auto &[target, runs] : runsByTarget(impl)) {
        const auto entry = impl.proxy->fleet->targets->find(target);
        if (entry == impl.proxy->fleet->targets->end()) {
            continue;
        }
        const unsigned wanted = valleyYield(valleyInput(impl, entry->second, now));
        const std::size_t excess = std::min<std::size_t>(wanted - std::min(wanted, runs.yielding), runs.items.size());
        // The newest run has made the least output.
        std::sort(runs.items.begin(), runs.items.end(), [](const RunningItem &left, const RunningItem &right) {
            return left.run->startedAt > right.run->startedAt;
        });
        for (std::size_t i = 0; i < excess; ++i) {
            yieldItem(impl, runs.items[i], countsOf(impl.proxy->board, target, now).online);
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
