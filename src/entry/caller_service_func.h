/** @file caller_service_func.h Handles the calls of callers on an entry host. */
#pragma once

#include "job/job_book_base.h"
#include "proxy/proxy_base.h"

namespace skylark {

/** What the handler works with. */
struct CallerService {
    std::shared_ptr<Proxy> proxy; ///< Targets.
    std::shared_ptr<JobBook> jobs; ///< Jobs.
    DomainId domain; ///< Failure domain of the host.
};

/** @return The handler of the server for callers. */
[[nodiscard]] HttpHandler makeCallerHandler(CallerService service);

} // namespace skylark
