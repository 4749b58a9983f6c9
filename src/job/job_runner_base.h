/** @file job_runner_base.h Internal state and functions of the job runner. */
#pragma once

#include "job/job_runner_func.h"
#include "policy/batch_slots_func.h"
#include "policy/item_trial_func.h"
#include "policy/run_progress_type.h"
#include "proxy/event_splitter_base.h"

#include <set>

namespace skylark {

/** Phase of an item on this host. */
enum class ItemPhase : std::uint8_t {
    Pending, ///< Waits for a slot of a target.
    Running, ///< Is sent to a target, or its output is being read.
    Finished, ///< Has a result that is not stored yet.
};

/** Progress of an item that has no result in the record yet, over all its runs. */
struct ItemRun {
    ItemPhase phase{ItemPhase::Pending};
    EventSplitter splitter; ///< Splits the answers into events; continues over all runs.
    std::string text; ///< Data of all events received, separated by line feeds.
    std::uint64_t events{0}; ///< Number of events in the text.
    std::optional<ServiceVersion> origin; ///< Version that produced the text; empty as long as there is none.
    TimePoint versionMissedAt{}; ///< Since when only targets of other versions have had slots for the item; TimePoint{} if one of its version had.
    unsigned failures{0}; ///< Number of runs that the target itself reported as failed.
    unsigned targetEnds{0}; ///< Number of runs in a row under which the target ended before the first event; they only delay the next one.
    unsigned exceptions{0}; ///< Number of runs that an exception in this host ended; they only delay the next one, too.
    TimePoint notBefore{}; ///< Earliest time of the next run after a failure.
    TimePoint startedAt{}; ///< Start of the present run.
    TargetId target; ///< Target of the present run.
    RunProgress progress; ///< Progress of the present run.
    std::vector<TargetId> avoided; ///< Targets of the last failed runs; not chosen for the next one.
    std::shared_ptr<HttpAbortHandle> abort; ///< Aborts the opening of the present exchange; null while none is open or being opened.
    HttpExchange *reading{nullptr}; ///< Exchange whose body is being read, or null; owned by the coroutine of the run.
    bool unsolicitedBytes{false}; ///< Whether the target of the present run sent bytes that belong to no request.
    bool yielded{false}; ///< Whether the present run was cancelled in favour of online requests, or because the host hands over its jobs or gives up the item.
    bool cancelled{false}; ///< Whether this host must not run the item any more: it lost the job, the job ended, or the item has a result.
    ItemState state{ItemState::Completed}; ///< Final state; valid in phase Finished.
};

/** An open job that this host owns. */
struct OwnedJob {
    std::map<std::uint32_t, std::shared_ptr<ItemRun>> runs; ///< Items without a result in the record, by index.
    bool loading{false}; ///< Whether the items and checkpoints are being read from the store.
    bool loaded{false}; ///< Whether they have been read; true from the start for a job that was accepted here.
    bool writing{false}; ///< Whether results or checkpoints are being stored.
    TimePoint checkpointedAt{}; ///< When the last write of checkpoints began.
    std::uint64_t checkpointedEvents{0}; ///< Number of events in the checkpoints of that write.
    TimePoint storeRetryAt{}; ///< No call for the job before this time, because the last one ended with an exception.
    TimePoint firstFinishedAt{}; ///< Start of the delay after which results that are not stored yet are written together; TimePoint{} if there are none.
};

/** Since when the owner of a job has been missing. */
struct MissingOwner {
    SessionId owner;
    TimePoint missingSince{}; ///< Since then, unregistered and without a recent status.
    TimePoint unregisteredSince{}; ///< Since then, not registered.
};

/** Free slots of a target in which this host may start batch items now. */
struct SlotOffer {
    const TargetEntry *target{nullptr}; ///< Points into the fleet snapshot; never null.
    BatchSlotOffer slots;
};

/** An item that may be started. */
struct PendingItem {
    JobId job;
    std::uint32_t index{0}; ///< Index of the item in the job.
    TimePoint due{}; ///< When the job should be complete: acceptance, as far as this host knows, plus the completion target of the route.
    ServiceId service; ///< Service whose targets may run the item.
};

struct JobRunner::Impl {
    std::shared_ptr<Proxy> proxy; ///< Connections to targets, and the load of all hosts on them.
    std::shared_ptr<JobRegistry> registry;
    HostId host; ///< Identifier of this host.
    std::map<JobId, OwnedJob> owned;
    std::map<JobId, MissingOwner> missing; ///< Open jobs whose owner is not registered.
    std::chrono::milliseconds itemRunTime{0}; ///< Moving average of the time of runs that completed an item; 0 before the first one.
    std::map<ServiceId, TimePoint> waitingSince; ///< Since when items of this host have waited for a slot without interruption, by service.
    std::map<TargetId, UnclaimedSlots> unclaimed; ///< Targets that had free slots at the last look.
    std::set<JobId> claimsAndRemovals; ///< Jobs for which a claim or a removal by this host is in progress.
    std::chrono::milliseconds closedRetention{
        150000}; ///< Age since acceptance at which a closed job may be removed; readers may ask for its results for 120 s.
    std::chrono::milliseconds closedReadTime{30000}; ///< Time for which a closed job is kept at least, so that its readers get the last results.
    std::chrono::milliseconds maxRecordAge{0}; ///< Age of a job's record up to which its items may start.
    bool startsItems{true}; ///< Whether items may be started and jobs claimed; false once the host hands over its jobs.
    bool stopped{false}; ///< Ends the loop at its next round.
    unsigned round{0}; ///< Number of rounds of the loop so far.
    TimePoint createdAt{}; ///< When the runner was created.
};

using RunnerPtr = std::shared_ptr<JobRunner::Impl>;

/** Runs one item on @p target until its output is complete, it fails or is cancelled. @param guard Counts the item as load while it is held. */
boost::asio::awaitable<void> runItem(
    RunnerPtr runner, JobId job, std::uint32_t index, std::shared_ptr<ItemRun> run, TargetEntry target, std::shared_ptr<const InFlightGuard> guard);

/**
 * Starts @p task after the present handler, so that it does not change containers that the handler iterates over.
 * @param name Name of the task in the log; a literal.
 * @param onFailure Called if an exception ends the task: undoes what marks it as running.
 */
void spawnLater(const RunnerPtr &runner, std::string_view name, std::function<boost::asio::awaitable<void>()> task, std::function<void()> onFailure);

/** Discards what an item has produced, so that it begins anew. */
void discardOutput(ItemRun &run);

/** Makes an item whose run was ended by an exception pending again, if this host still has to run it. */
void resetFailedRun(ItemRun &run);

/** Fails expired items of owned jobs, and schedules the loading of jobs and the storing of results and checkpoints. */
void scheduleStoreCalls(const RunnerPtr &runner);

/** Brings the owned jobs in line with the record of @p job: adds or drops the job, and drops items that have a result. */
void reconcileOwnedJob(JobRunner::Impl &runner, const JobId &job);

/** Loads the items and checkpoints of an owned job from the store. */
boost::asio::awaitable<void> loadOwnedJob(RunnerPtr runner, JobId job);

/** Stores the results of the finished items of an owned job, with checkpoints of its other items. */
boost::asio::awaitable<void> storeFinishedItems(RunnerPtr runner, JobId job);

/** Stores checkpoints of the unfinished items of an owned job. @param release Whether to give up the ownership as well. */
boost::asio::awaitable<void> checkpointOwnedJob(RunnerPtr runner, JobId job, bool release);

/** @return Number of events received for the unfinished items. */
[[nodiscard]] std::uint64_t unfinishedEvents(const OwnedJob &owned);

/** Claims open jobs whose owner is gone, as mayClaim() allows. */
void claimOrphanedJobs(const RunnerPtr &runner);

/** Removes the keys of closed jobs after closedRetention and closedReadTime, and frees the items of all closed jobs. */
void removeClosedJobs(const RunnerPtr &runner);

/** Aborts the HTTP exchange of an item's present run, if there is one. */
void interruptRun(ItemRun &run);

/** @return The route of a job in the configuration in force, or null if there is none. */
[[nodiscard]] const RouteRule *routeOf(const JobRunner::Impl &runner, const StoredJob &record);

/** @return The quarantined prompt parts, and those of them that are on trial in an item of this host. */
[[nodiscard]] ItemTrials findTrials(const JobRunner::Impl &runner);

/** @return Whether a pending item may start now. It may not while it has to wait for the trial of a quarantined part of its prompt. */
[[nodiscard]] bool mayStartItem(const JobRunner::Impl &runner, const ItemTrials &trials, const PendingItem &item, TimePoint now);

/** Records that a pending item starts, as the trial of its quarantined parts if it has any. */
void recordItemStart(const JobRunner::Impl &runner, ItemTrials &trials, const PendingItem &item);

/** @return Load of @p target, from which the number of own batch items to preempt is computed. */
[[nodiscard]] BatchSlotInput yieldInput(const JobRunner::Impl &runner, const TargetEntry &target, TimePoint now);

/** @return Targets of the pending items' services where this host may start items now. */
[[nodiscard]] std::vector<SlotOffer> findSlotOffers(JobRunner::Impl &runner, const std::vector<PendingItem> &pending, TimePoint now);

} // namespace skylark
