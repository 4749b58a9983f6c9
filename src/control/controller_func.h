/** @file controller_func.h Controllers of the control thread; all run there. */
#pragma once

#include "control/control_impl_base.h"

#include <boost/json.hpp>

namespace skylark {

// Timing and platform calls (control_util.cpp).

/** Sleeps on the control thread. */
boost::asio::awaitable<void> pauseFor(ControlPtr control, std::chrono::nanoseconds duration);

/** Waits for a signal, at most @p limit. */
boost::asio::awaitable<void> waitFor(ControlPtr control, Wakeup &wakeup, std::chrono::nanoseconds limit);

/** Wakes the waiter of @p wakeup. */
void signal(Wakeup &wakeup);

/** @return A random duration below @p limit. */
[[nodiscard]] std::chrono::nanoseconds randomBelow(Control::Impl &control, std::chrono::nanoseconds limit);

/** Waits until a background call to the key-value service may be made: no outage, random delay after one, rate limit. */
boost::asio::awaitable<void> awaitPlatform(ControlPtr control);

/** Takes notice of the outcome of the last call to the key-value service. */
void notePlatform(Control::Impl &control);

// Snapshot (snapshot.cpp).

/** @return Whether callers can be served: configuration, target list and load reports are known, or the wait for reports is over. */
[[nodiscard]] bool servesCallers(const Control::Impl &control);

/** Publishes a new snapshot at once, before an effect that other threads must see coming. */
void publishNow(const ControlPtr &control);

/** Publishes a new snapshot soon, at most every 20 ms. */
void markChanged(const ControlPtr &control);

// Configuration (config_controller.cpp, config_edit.cpp).

/** Watches the head while this host is a watcher of its domain; reads it once at start. */
boost::asio::awaitable<void> runConfigWatch(ControlPtr control);

/** Adopts a head that was read now, with the document keys when the log is too short. */
boost::asio::awaitable<Result<Done>> takeHead(ControlPtr control, ConfigHead head, std::string source);

/** Adopts a peer's bundle. */
void takeBundle(const ControlPtr &control, const ConfigBundle &bundle, const HostId &peer);

/** A committed edit. */
struct EditResult {
    Revision revision; ///< Fleet revision of the change.
    std::uint64_t docRevision{0}; ///< Revision of the document.
};

/** Commits an edit. RevisionConflict carries the current docRevision in Error::param. */
boost::asio::awaitable<Result<EditResult>> commitEdit(ControlPtr control, ConfigEdit edit);

/** Reads the head now. The version is 0 when there was no edit yet. */
boost::asio::awaitable<Result<std::pair<ConfigHead, KvVersion>>> readHead(ControlPtr control);

// Peers (pull_controller.cpp, member_controller.cpp).

/** Pulls configuration, targets and jobs from peers that have newer ones. */
boost::asio::awaitable<void> runPulls(ControlPtr control);

/** Sends the periodic status datagrams and evaluates liveness. */
boost::asio::awaitable<void> runMembership(ControlPtr control);

/** Takes a status datagram. */
void takeStatus(const ControlPtr &control, const HostStatus &status);

/** Sends a status soon to all hosts of the domain and to one of each other domain. */
void pushStatus(const ControlPtr &control);

/** Sends the status now. @param all Sends it to all hosts of all domains. */
void sendStatusNow(Control::Impl &control, bool all);

/** @return Whether this host is one of the two watchers of its domain. */
[[nodiscard]] bool isWatcher(const Control::Impl &control);

/** @return Status and liveness of a host; an empty record when it was never heard of. */
[[nodiscard]] const MemberRecord &memberOf(const Control::Impl &control, const HostId &host);

/** @return The live hosts of this failure domain, this one included unless it is stopping. */
[[nodiscard]] std::vector<HostId> liveDomainHosts(const Control::Impl &control);

// Session lease (lease_controller.cpp).

/** Keeps the session lease and key. */
boost::asio::awaitable<void> runLease(ControlPtr control);

// Targets (target_controller.cpp, target_list.cpp).

/** Reads the platform's list. */
boost::asio::awaitable<void> runTargetList(ControlPtr control);

/** Polls the load of owned targets. */
boost::asio::awaitable<void> runLoadPolls(ControlPtr control);

/** Replaces the target list. */
void takeTargetList(const ControlPtr &control, std::vector<TargetInfo> list);

/** Takes the target reports of a peer's status. */
void takeTargetStatuses(Control::Impl &control, HostEntry &sender, const HostStatus &status);

/** Evaluates batch owners and leaving targets again. */
void evaluateTargets(const ControlPtr &control);

/** @return Free slots of this domain by model. */
[[nodiscard]] std::vector<std::pair<ModelId, unsigned>> freeSlotsByModel(const Control::Impl &control);

/** @return Whether this host itself knows that the target is leaving. */
[[nodiscard]] bool leavingFirstHand(const Control::Impl &control, const TargetEntry &target, TimePoint now);

/** @return JSON of a target list. */
[[nodiscard]] std::string targetsToJson(const std::vector<TargetInfo> &list);

/** Parses a target list. */
[[nodiscard]] Result<std::vector<TargetInfo>> targetsFromJson(std::string_view text);

// Decline and placement (decline_controller.cpp, placement_controller.cpp).

/** Compares targets with their peers and their past, and this host with its own usual level. */
boost::asio::awaitable<void> runDecline(ControlPtr control);

/** Holds the domain's placement lease while this host ranks first, and loads models as the templates want. */
boost::asio::awaitable<void> runPlacement(ControlPtr control);

// Jobs (job_controller.cpp, job_record.cpp).

/** Watches the job records while this host is a watcher. */
boost::asio::awaitable<void> runJobWatch(ControlPtr control);

/** Takes a job record. @param firstHand Whether it was read from or written to the service here, not relayed. @return Whether it was news. */
bool takeJob(const ControlPtr &control, JobRecord job, bool firstHand);

/** @return JSON of the jobs that changed here after @p cursor; empty when there are none. */
[[nodiscard]] std::string jobsSince(const Control::Impl &control, std::uint64_t cursor);

/** Takes the jobs of a peer's bundle. */
void takeJobs(const ControlPtr &control, std::string_view text);

// Admin server (admin_server.cpp, admin_view.cpp).

/** Answers one operator's request. */
boost::asio::awaitable<HttpResponse> answerAdmin(ControlPtr control, HttpRequest request);

[[nodiscard]] boost::json::object hostsView(const Control::Impl &control);
[[nodiscard]] boost::json::object targetsView(const Control::Impl &control);
[[nodiscard]] boost::json::object inForceView(const Control::Impl &control, Revision wanted);
[[nodiscard]] boost::json::object declineView(const Control::Impl &control);
[[nodiscard]] std::string_view hostStateName(HostState state);

/** Brings the control gauges up to date. */
void refreshMetrics(const Control::Impl &control);

} // namespace skylark
