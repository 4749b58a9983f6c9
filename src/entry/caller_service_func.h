/** @file caller_service_func.h HTTP handler for callers' requests on an entry host. */
#pragma once

#include "job/job_registry_base.h"
#include "policy/config_proof_type.h"
#include "proxy/proxy_base.h"
#include "quota/request_quotas_base.h"

#include <functional>

namespace skylark {

/** Dependencies of the handler. */
struct CallerService {
    std::shared_ptr<Proxy> proxy; ///< Forwards online requests to targets.
    std::shared_ptr<JobRegistry> jobs; ///< Accepts, reads and cancels batch jobs.
    DomainId domain; ///< Failure domain of this host.
    std::shared_ptr<const ConfigProofState> proof; ///< Proof of the configuration; null where the hosts keep none.
    std::shared_ptr<RequestQuotas> quotas{}; ///< Quotas of workspaces; null when there are none.
    std::function<bool(std::size_t bytes)> mayTakeJob{}; ///< Whether there is memory for the items of a submission of this size; null for always.
};

/** @return The request handler of the HTTP server for callers. */
[[nodiscard]] HttpHandler makeCallerHandler(CallerService service);

/** @return The handler of requests that other hosts relay, which have checked the callers. */
[[nodiscard]] HttpHandler makeRelayHandler(CallerService service);

} // namespace skylark
