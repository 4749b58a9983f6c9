/** @file job_runner_func.h Runs the items of the jobs that this host owns on what online requests leave free; belongs to the traffic thread. */
#pragma once

#include "job/job_book_base.h"
#include "proxy/proxy_base.h"

#include <memory>

namespace skylark {

/** Runner. */
struct JobRunner {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Begins to claim jobs and to run items. */
    static std::unique_ptr<JobRunner> create(std::shared_ptr<Proxy> proxy, std::shared_ptr<JobBook> book, HostId host);
    ~JobRunner();
};

/** Cancels batch items that are in the way of online requests. Called when the counts of other hosts or of this one change. */
void yieldToOnline(JobRunner &runner);

/** Stops running items, keeps their outputs and gives up the jobs of this host, so that others go on with them. */
boost::asio::awaitable<void> handOverJobs(JobRunner &runner);

/** @return Items that run on targets now, and results that are not stored yet. */
[[nodiscard]] std::size_t unfinishedItems(const JobRunner &runner);

} // namespace skylark
