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

/** Online requests that wait for a slot of one model, and how long streams of the model hold a slot. */
struct ModelQueue {
    AdmissionQueue order; ///< Waiting requests by deadline.
    std::map<std::uint64_t, boost::asio::steady_timer *> waitTimers; ///< Timer of each waiting request by its ticket; cancelled to wake it.
    double serviceMs{2000}; ///< Moving average of the time that a stream holds its slot, in milliseconds.
};

/** Batch slots of a target that this host has asked the batch owner to release, until the next load report shows the effect. */
struct PendingYield {
    std::uint64_t reportSequence{0}; ///< Load report on which the request was based.
    unsigned slots{0}; ///< Slots requested so far.
};

/** State of the callers' server. */
struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl> {
    explicit Impl(HostContext &host)
        : context(host)
    {
    }

    HostContext &context; ///< Facilities that the parts of the host share.
    std::shared_ptr<BatchService> batch; ///< Batch service; null in tests that do not use jobs.
    std::unique_ptr<HttpServer> server; ///< Accepts callers' connections.
    std::shared_ptr<HttpClient> http; ///< Client for targets and other hosts.
    std::shared_ptr<KvClient> kv; ///< Key-value service; holds the records of service calls that must run at most once.
    RetryBudget budget; ///< Bounds retries to a share of the requests.
    AffinityTable affinity; ///< Prompt prefixes and the targets that have processed them.
    std::map<ModelId, ModelQueue> queues;
    std::unordered_map<TargetId, TimePoint> leavingSince; ///< When this thread found targets to be leaving.
    std::unordered_map<TargetId, TimePoint> drainCheckedAt; ///< When targets that refused a call were last asked whether they are leaving.
    std::unordered_map<TargetId, PendingYield> pendingYields; ///< Batch slots that batch owners were asked to release.
    std::uint64_t roundRobinTurn{0}; ///< Number of routing decisions so far, for the round-robin baseline.
    std::uint64_t seed{1}; ///< State of the pseudorandom sequence.
};

} // namespace skylark
