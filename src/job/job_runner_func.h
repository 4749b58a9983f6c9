/** @file job_runner_func.h Runs the items of the jobs that this host owns in the slots that online requests leave free; used on the traffic thread only. */
#pragma once

#include "job/job_registry_base.h"
#include "proxy/proxy_base.h"

#include <memory>

namespace skylark {

/** Claims jobs without an owner, and runs the items of owned jobs on targets. */
struct JobRunner {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /**
     * Creates a runner and starts its loop, which claims jobs and runs items.
     * @param cancelLimit Time after the confirmed end of a job from which none of its items may reach a target.
     */
    static std::unique_ptr<JobRunner> create(std::shared_ptr<Proxy> proxy,
                                             std::shared_ptr<JobRegistry> registry,
                                             HostId host,
                                             std::chrono::milliseconds cancelLimit);
    ~JobRunner();
};

/** Cancels batch items that occupy slots which online requests need. Called when the load counts of this host or of others change. */
void yieldToOnline(JobRunner &runner);

/** Stops running items, stores results and checkpoints, and releases the jobs of this host, so that other hosts resume them. */
boost::asio::awaitable<void> releaseJobs(JobRunner &runner);

/** @return Number of items that run on targets or whose results are not stored yet; pending items do not count. */
[[nodiscard]] std::size_t activeItems(const JobRunner &runner);

} // namespace skylark
