/** @file caller_server_base.h State of the callers' server; all of it belongs to the online thread. */
#pragma once

#include "http/http_client_func.h"
#include "http/http_server_func.h"
#include "keyvalue/kv_client_func.h"
#include "policy/admission_type.h"
#include "policy/affinity_base.h"
#include "policy/retry_type.h"
#include "traffic/caller_server_func.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <unordered_map>

namespace skylark {

/** Online requests that wait for a slot of one model. */
struct ModelQueue {
    AdmissionQueue order; ///< Waiting requests by deadline.
    std::map<std::uint64_t, boost::asio::steady_timer *> wakeUps; ///< Timer of each waiting request.
    double serviceMs{2000}; ///< Moving average of the time that a stream holds its slot, in milliseconds.
};

/** Batch slots that this host has asked another host to release, until the next load report shows the effect. */
struct PendingYield {
    std::uint64_t reportSequence{0}; ///< Report on which the request was based.
    unsigned slots{0}; ///< Slots asked for.
};

/** State of the callers' server. */
struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl> {
    explicit Impl(HostContext &host)
        : context(host)
    {
    }

    HostContext &context; ///< Facilities of the host.
    std::shared_ptr<BatchService> batch; ///< Batch part; may be null in tests.
    std::unique_ptr<HttpServer> server; ///< Callers' connections.
    std::shared_ptr<HttpClient> http; ///< Connections to targets and other hosts.
    std::shared_ptr<KvClient> kv; ///< Key-value service, for records of calls that must run at most once.
    RetryBudget budget; ///< Bounds retries.
    AffinityTable affinity; ///< Prefixes and the targets that computed them.
    std::map<ModelId, ModelQueue> queues; ///< Waiting requests by model.
    std::unordered_map<TargetId, TimePoint> leavingSince; ///< Targets that this thread found to be leaving.
    std::unordered_map<TargetId, TimePoint> drainChecked; ///< Last check whether a refusing target is leaving.
    std::unordered_map<TargetId, PendingYield> pendingYields; ///< Yields asked of other hosts.
    std::uint64_t turn{0}; ///< Routed requests, for the round-robin baseline.
    std::uint64_t seed{1}; ///< State of the random sequence.
};

} // namespace skylark
