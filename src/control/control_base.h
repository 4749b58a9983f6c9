/** @file control_base.h Control part of one host: controllers, snapshot publication, admin server. */
#pragma once

#include "batch/batch_service_func.h"
#include "daemon/host_context_base.h"
#include "peer/peer_rpc_func.h"
#include "peer/status_type.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace skylark {

/** Control part; all its coroutines run on the control thread. */
struct Control {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Binds the status socket and the admin server. @p rpc may be used for outgoing calls. */
    static Result<std::shared_ptr<Control>> create(HostContext &context, PeerRpc &rpc, std::shared_ptr<BatchService> batch);
};

/** Starts the controllers on the control thread. */
void startControl(Control &control);

/** Answers PeerHandlers::pullState. Any thread; @p reply is called on the control thread. */
void pullState(Control &control, Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply);

/** Sends a yield message to the target's batch owner, or asks the local batch part. Any thread. */
void requestYield(Control &control, const TargetId &target, unsigned slots);

/** Takes a job record that this host wrote or read. Any thread. */
void announceJob(Control &control, JobRecord job);

/** Takes the news that a target is leaving, and relays it to the domain's hosts. Any thread. */
void reportLeaving(Control &control, const TargetId &target);

/** Planned stop, first step: publishes the stopping state and sends it to all peers. Runs on the control thread. */
boost::asio::awaitable<void> announceLeaving(Control &control);

/** Planned stop, last step: ends the session's lease. Runs on the control thread. */
boost::asio::awaitable<void> endSession(Control &control);

} // namespace skylark
