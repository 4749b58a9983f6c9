/** @file control_base.h Interface of the control component of a host. */
#pragma once

#include "batch/batch_service_func.h"
#include "daemon/host_context_base.h"
#include "peer/peer_rpc_func.h"
#include "peer/status_type.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace skylark {

/**
 * Control component of a host: its controllers, the publication of control snapshots and the admin server. All coroutines run on the
 * control thread.
 */
struct Control {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /**
     * Binds the status socket and the admin server. The controllers don't run until startControl().
     * @param rpc Client for outgoing calls to peers; must outlive the control component.
     * @param batch Batch component; may be null.
     */
    static Result<std::shared_ptr<Control>> create(HostContext &context, PeerRpc &rpc, std::shared_ptr<BatchService> batch);
};

/** Starts the controllers on the control thread. */
void startControl(Control &control);

/**
 * Answers a peer's pullState call. Callable from any thread.
 * @param known Configuration revision of the peer; 0 also requests the target list.
 * @param jobsCursor Jobs that changed on this host after this cursor are returned.
 * @param reply Called on the control thread.
 */
void pullState(Control &control, Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply);

/** Asks the batch owner of @p target to release @p slots slots: by a yield message, or locally if this host is the owner. Callable from any thread. */
void requestYield(Control &control, const TargetId &target, unsigned slots);

/** Applies a job record that this host wrote to or read from the key-value service, and announces it to peers. Callable from any thread. */
void announceJob(Control &control, JobRecord job);

/** Sends the status of this host, with its evidence against prompt prefixes, to all hosts. Callable from any thread. */
void announceEvidence(Control &control);

/** Marks a target as leaving after it refused work for that reason, and tells the other hosts of the failure domain. Callable from any thread. */
void reportTargetLeaving(Control &control, const TargetId &target);

/** First step of a planned stop: publishes the stopping state and sends it to all peers. Runs on the control thread. */
boost::asio::awaitable<void> announcePlannedStop(Control &control);

/** Last step of a planned stop: gives up the session lease and ends the remaining controllers. Runs on the control thread. */
boost::asio::awaitable<void> endSession(Control &control);

} // namespace skylark
