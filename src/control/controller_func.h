/** @file controller_func.h Controllers of the control component; all functions run on the control thread. */
#pragma once

#include "control/control_impl_base.h"

#include <boost/json.hpp>

namespace skylark {

// Timing and rate limit of platform calls (control_util.cpp).

/** Sleeps on the control thread. */
boost::asio::awaitable<void> pauseFor(ControlPtr control, std::chrono::nanoseconds duration);

/** Waits until @p wakeup is signalled, at most for @p limit. */
boost::asio::awaitable<void> waitFor(ControlPtr control, Wakeup &wakeup, std::chrono::nanoseconds limit);

/** Wakes the waiter of @p wakeup, or ends its next wait at once. */
void signal(Wakeup &wakeup);

/** @return A pseudo-random duration in [0, @p limit). */
[[nodiscard]] std::chrono::nanoseconds randomBelow(Control::Impl &control, std::chrono::nanoseconds limit);

/** Waits until the rate limit allows a background call to the key-value service. After an outage, waits a random delay first. */
boost::asio::awaitable<void> acquirePlatformCall(ControlPtr control);

/** Records whether the key-value service answered the last call. */
void recordPlatformResult(Control::Impl &control);

// Snapshot (snapshot.cpp).

/** @return Whether callers can be served: the configuration and the target list are known, and load reports have arrived or the wait for them has timed out. */
[[nodiscard]] bool servesCallers(const Control::Impl &control);

/** Publishes a new snapshot immediately, for changes that other threads must see before the next step. */
void publishNow(const ControlPtr &control);

/** Schedules the publication of a new snapshot; at most one is published every 20 ms. */
void publishSoon(const ControlPtr &control);

// Configuration (config_controller.cpp, config_edit.cpp).

/** Reads the configuration head once at start, then watches it while this host is a watcher of its domain. */
boost::asio::awaitable<void> runConfigWatch(ControlPtr control);

/**
 * Applies a configuration head that was just read from or written to the key-value service. Reads the document keys when the log of the
 * head does not reach back to the known revision.
 * @param source Origin for the log; its first word is the label "source" of the metric.
 * @return VersionConflict when a document is newer than the head, so that the head must be read again.
 */
boost::asio::awaitable<Result<Done>> applyHead(ControlPtr control, ConfigHead head, std::string source);

/** Applies the configuration from a peer's bundle. */
void applyBundle(const ControlPtr &control, const ConfigBundle &bundle, const HostId &peer);

/** Result of a committed edit. */
struct EditResult {
    Revision revision; ///< Fleet revision that the edit created.
    std::uint64_t docRevision{0};
};

/** Commits an edit, with retries after concurrent edits and lost answers. @return RevisionConflict with the current docRevision in Error::param. */
boost::asio::awaitable<Result<EditResult>> commitEdit(ControlPtr control, ConfigEdit edit);

/** Reads the configuration head from the key-value service. @return The head and its key version; version 0 when no edit was committed yet. */
boost::asio::awaitable<Result<std::pair<ConfigHead, KvVersion>>> readHead(ControlPtr control);

// Peers (pull_controller.cpp, member_controller.cpp).

/** Pulls configuration, targets and jobs from peers with newer state. */
boost::asio::awaitable<void> runPulls(ControlPtr control);

/** Sends the periodic status datagrams and evaluates the liveness of hosts. */
boost::asio::awaitable<void> runMembership(ControlPtr control);

/** Applies a received status datagram. */
void applyHostStatus(const ControlPtr &control, const HostStatus &status);

/** Schedules a status to all hosts of the domain and to one host of each other domain. Changes within 5 ms share one datagram. */
void sendStatusSoon(const ControlPtr &control);

/** Sends the status to all hosts of the domain. @param all Whether to send it to all hosts of the other domains too, or to one of each. */
void sendStatusNow(Control::Impl &control, bool all);

/** @return Whether this host is one of the at most two hosts of its domain that watch the key-value service. */
[[nodiscard]] bool isWatcher(const Control::Impl &control);

/** @return Status and liveness of a host; an empty record if no status was received from it. */
[[nodiscard]] const MemberRecord &memberOf(const Control::Impl &control, const HostId &host);

/** @return The live hosts of this failure domain, including this one unless it is stopping. */
[[nodiscard]] std::vector<HostId> liveDomainHosts(const Control::Impl &control);

// Session lease (lease_controller.cpp).

/** Acquires and renews the session lease, and writes the session key. */
boost::asio::awaitable<void> runLease(ControlPtr control);

// Targets (target_controller.cpp, target_list.cpp).

/** Reads the platform's target list at regular intervals. */
boost::asio::awaitable<void> runTargetList(ControlPtr control);

/** Polls the load of the engines that this host owns. */
boost::asio::awaitable<void> runLoadPolls(ControlPtr control);

/** Replaces the target list; keeps the state of targets whose address is unchanged. */
void applyTargetList(const ControlPtr &control, std::vector<TargetInfo> list);

/** Applies the load reports and leaving targets from a peer's status. */
void applyTargetStatuses(Control::Impl &control, HostEntry &sender, const HostStatus &status);

/** Reassigns batch owners if needed and re-evaluates which targets are leaving. */
void evaluateTargets(const ControlPtr &control);

/** @return Free slots of the targets of this domain, by model. */
[[nodiscard]] std::vector<std::pair<ModelId, unsigned>> freeSlotsByModel(const Control::Impl &control);

/** @return Whether this host has learned that the target is leaving from the target list, from its own load poll or from a refusal, not only from a peer. */
[[nodiscard]] bool observedLeaving(const Control::Impl &control, const ControlTarget &target, TimePoint now);

/** Serialises a target list for peers. */
[[nodiscard]] std::string targetsToJson(const std::vector<TargetInfo> &list);

/** Parses the result of targetsToJson(). */
[[nodiscard]] Result<std::vector<TargetInfo>> targetsFromJson(std::string_view text);

// Decline and placement (decline_controller.cpp, placement_controller.cpp).

/** Detects decline: compares the step times of targets with their peers and their past, and the retries and cache hits of this host with their usual level. */
boost::asio::awaitable<void> runDecline(ControlPtr control);

/** Holds the placement lease of the domain while this host ranks first, and loads and unloads models according to the configuration. */
boost::asio::awaitable<void> runPlacement(ControlPtr control);

// Jobs (job_controller.cpp).

/** Reads and watches the job records while this host is a watcher of its domain. */
boost::asio::awaitable<void> runJobWatch(ControlPtr control);

/**
 * Applies a job record if it is newer than the known one.
 * @param direct Whether this host read it from or wrote it to the key-value service; false for a record relayed by a peer.
 * @return Whether the record was newer.
 */
bool applyJob(const ControlPtr &control, JobRecord job, bool direct);

/** @return JSON of the jobs that changed on this host after @p cursor; empty if there are none. Excludes jobs relayed by peers. */
[[nodiscard]] std::string jobsSince(const Control::Impl &control, std::uint64_t cursor);

/** Applies the jobs from a peer's bundle. */
void applyPeerJobs(const ControlPtr &control, std::string_view text);

// Admin server (admin_server.cpp, admin_view.cpp).

/** Answers one request to the admin server. */
boost::asio::awaitable<HttpResponse> answerAdmin(ControlPtr control, HttpRequest request);

[[nodiscard]] boost::json::object hostsView(const Control::Impl &control);
[[nodiscard]] boost::json::object targetsView(const Control::Impl &control);
[[nodiscard]] boost::json::object inForceView(const Control::Impl &control, Revision wanted);
[[nodiscard]] boost::json::object declineView(const Control::Impl &control);
[[nodiscard]] std::string_view hostStateName(HostState state);

/** Updates the gauges of the control component. */
void refreshMetrics(const Control::Impl &control);

} // namespace skylark
