/** @file job_runner_base.h State of the runner of batch items. */
#pragma once

#include "job/job_runner_func.h"
#include "proxy/event_splitter_base.h"

#include <set>

namespace skylark {

/** How far an item has come on this host. */
enum class ItemPhase : std::uint8_t {
    Pending, ///< Waits for a slot.
    Running, ///< Is at a target.
    Finished, ///< Has a result that is not stored yet.
};

/** One item that has no position yet. */
struct ItemRun {
    ItemPhase phase{ItemPhase::Pending}; ///< Phase.
    EventSplitter splitter; ///< Events received so far, over all runs.
    std::string text; ///< Data of these events.
    std::uint64_t events{0}; ///< Number of these events.
    unsigned failures{0}; ///< Runs that the target itself reported as failed.
    TimePoint notBefore{}; ///< Earliest next start after a failure.
    TimePoint startedAt{}; ///< Begin of the present run.
    TargetId target; ///< Target of the present run.
    std::vector<TargetId> avoided; ///< Targets on which the last runs failed.
    std::shared_ptr<HttpAbortHandle> abort; ///< Cuts the exchange being opened.
    HttpExchange *reading{nullptr}; ///< Exchange being read.
    bool yielded{false}; ///< Whether the present run was cancelled for online requests.
    bool cancelled{false}; ///< Whether the job is no longer this host's to run.
    ItemState state{ItemState::Completed}; ///< Result, once finished.
};

/** A job that this host owns. */
struct OwnedJob {
    std::map<std::uint32_t, std::shared_ptr<ItemRun>> runs; ///< Items without a position, by index.
    bool loading{false}; ///< Whether the items and the kept outputs are being read.
    bool loaded{false}; ///< Whether they have been read; not needed for a job that was accepted here.
    bool writing{false}; ///< Whether results or outputs are being stored.
    TimePoint savedAt{}; ///< When outputs were last stored.
    std::uint64_t savedEvents{0}; ///< Events in the outputs that were stored.
    TimePoint firstFinished{}; ///< When the oldest result that is not stored yet was made.
};

/** When the owner of a job was first found to be missing. */
struct MissingOwner {
    SessionId owner; ///< Owner.
    TimePoint missingSince{}; ///< Neither registered nor heard of since then.
    TimePoint unregisteredSince{}; ///< Not registered since then.
};

struct JobRunner::Impl {
    std::shared_ptr<Proxy> proxy; ///< Targets.
    std::shared_ptr<JobBook> book; ///< Jobs.
    HostId host; ///< This host.
    std::map<JobId, OwnedJob> owned; ///< Jobs that this host runs.
    std::map<JobId, MissingOwner> missing; ///< Jobs whose owner is missing.
    std::set<JobId> claiming; ///< Claims under way.
    std::chrono::milliseconds keepClosed{150000}; ///< Time after submission after which a closed job is removed; readers may come for 120 s.
    bool starting{true}; ///< Whether items may be started.
    bool stopped{false}; ///< Ends the loop.
    unsigned round{0}; ///< Counts the rounds of the loop.
    TimePoint begunAt{}; ///< Start of the runner.
};

using RunnerPtr = std::shared_ptr<JobRunner::Impl>;

/** Runs one item on @p target until it has a result, fails or is cancelled. @param ticket Counts the item on the target. */
boost::asio::awaitable<void> runItem(
    RunnerPtr runner, JobId job, std::uint32_t index, std::shared_ptr<ItemRun> run, TargetEntry target, std::shared_ptr<const LoadTicket> ticket);

/** Begins @p task after the present handler, so that what it changes is not being iterated over. */
void spawnLater(const RunnerPtr &runner, std::function<boost::asio::awaitable<void>()> task);

/** Brings the list of owned jobs in line with the record of @p job. */
void followRecord(JobRunner::Impl &runner, const JobId &job);

/** Loads the items of an owned job, and the outputs that were kept. */
boost::asio::awaitable<void> loadOwned(RunnerPtr runner, JobId job);

/** Stores the results of an owned job that have no position yet, with the outputs of its other items. */
boost::asio::awaitable<void> listOwned(RunnerPtr runner, JobId job);

/** Keeps the outputs of unfinished items in the service. @param release Whether the job is given up as well. */
boost::asio::awaitable<void> saveOwned(RunnerPtr runner, JobId job, bool release);

/** @return Events in the outputs of unfinished items. */
[[nodiscard]] std::uint64_t eventsOf(const OwnedJob &owned);

/** Claims jobs whose owner is gone. */
void claimOrphans(const RunnerPtr &runner);

/** Removes closed jobs that nobody may ask for any more. */
void removeClosed(const RunnerPtr &runner);

/** Cuts the present run of an item. */
void cutRun(ItemRun &run);

/** @return The route of a job in the configuration in force, or null. */
[[nodiscard]] const RouteRule *routeOf(const JobRunner::Impl &runner, const StoredJob &record);

/** @return What is known of @p target for decisions about this host's batch items there. */
[[nodiscard]] ValleyInput valleyInput(const JobRunner::Impl &runner, const TargetEntry &target, TimePoint now);

} // namespace skylark
