/** @file snapshot_type.h Immutable snapshot of the control state for other threads. */
#pragma once

#include "config/config_type.h"
#include "core/clock_func.h"
#include "core/id_type.h"
#include "http/http_type.h"
#include "settings/settings_type.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

enum class TargetKind : std::uint8_t {
    Engine, ///< Model engine.
    Service, ///< Plain HTTP service.
};

/** A target as described by the platform's target list. */
struct TargetInfo {
    TargetId id;
    TargetKind kind{TargetKind::Engine};
    std::string service; ///< Service name; empty for engines.
    DomainId domain; ///< Failure domain.
    Endpoint endpoint;
    bool leaving{false}; ///< Whether the list marks it as leaving.
    bool checksFencing{true}; ///< Whether it refuses orders with an outdated fencing number.
    std::chrono::milliseconds orderTimeout{1000}; ///< The target drops an order whose body does not arrive within this time after the head.
};

/** A model that a target has loaded. */
struct LoadedModel {
    ModelId name;
    std::string version;
    std::vector<std::string> adapters;
};

/** Load as reported by a target; lags behind the actual load. */
struct LoadReport {
    std::uint64_t sequence{0}; ///< Increases with each report that the same host polls; 0 without a report.
    unsigned slots{0}; ///< Maximum number of concurrent streams.
    unsigned running{0}; ///< Running streams.
    unsigned waiting{0}; ///< Streams admitted but not yet running.
    double stepMs{0}; ///< Recent duration of one engine step in milliseconds.
    bool draining{false}; ///< Whether the target says that it is leaving.
    std::vector<LoadedModel> models;
    TimePoint receivedAt{}; ///< Local time of arrival; default-constructed without a report.
};

/** A target and its state as known to this host. */
struct TargetView {
    TargetInfo info; ///< From the platform's target list.
    LoadReport report; ///< Last load report.
    bool leaving{false}; ///< Whether it is leaving according to any source.
    HostId batchOwner; ///< The only host that may send batch to it; empty when none is live.
    unsigned onlineElsewhere{0}; ///< Online streams on this target that other hosts of the domain report.
    double declineFactor{1.0}; ///< Smoothed ratio of the step time to the expected step time; 1 when healthy.
};

/** Liveness of a host as observed by this host. */
enum class HostState : std::uint8_t {
    Unknown, ///< No status was received yet.
    Live, ///< Status datagrams arrive in time.
    Suspect, ///< Several status datagrams are missing.
    Dead, ///< Too many status datagrams are missing.
    Leaving, ///< Announced a planned stop.
};

/** A host and its state as known to this host. */
struct HostView {
    HostInfo info; ///< From the settings.
    HostState state{HostState::Unknown};
    SessionId session;
    Revision configRevision; ///< Configuration revision that it last announced.
    std::vector<std::pair<ModelId, unsigned>> freeByModel; ///< Free slots of its failure domain, by model.
};

/** State of a job record. */
enum class JobState : std::uint8_t {
    Active, ///< Has unfinished groups.
    Cancelled, ///< Cancelled by its caller.
    Done, ///< All groups are finished.
};

/** A job as stored in its record in the key-value service. */
struct JobRecord {
    JobId id; ///< Hash of workspace and job key.
    WorkspaceId workspace; ///< Owner of the job.
    std::string jobKey; ///< Key chosen by the caller.
    std::string contentHash; ///< Hash of the submitted content.
    std::uint32_t itemCount{0};
    std::uint32_t groupCount{0};
    std::vector<BlobId> inputBlobs; ///< Input blob of each group.
    std::vector<ModelId> models; ///< Models that the items call.
    UnixTime due{}; ///< Due time.
    UnixTime created{}; ///< Time at which the job was accepted.
    JobState state{JobState::Active};
    WriteId writeId; ///< Identifies the write when its answer was lost.
    KvVersion version; ///< Key version of the record.
};

/** Immutable state of the control component at one moment. */
struct ControlSnapshot {
    HostInfo self; ///< This host, from the settings.
    SessionId session; ///< Session of this run of the process.
    std::shared_ptr<const FleetConfig> config; ///< Resolved configuration; null until confirmed.
    std::vector<TargetView> targets; ///< Targets of this failure domain.
    std::vector<HostView> hosts; ///< All hosts; this one is first.
    std::vector<std::shared_ptr<const JobRecord>> jobs; ///< Active jobs and the newest finished ones.
    TimePoint leaseDeadline{}; ///< Local deadline of the session lease; no effects are allowed after it.
    bool ready{false}; ///< Whether callers may be served.
    bool stopping{false}; ///< Whether a planned stop is in progress.
    bool platformReachable{true}; ///< Whether the last call to the key-value service succeeded.
};

/** Holds the current snapshot. Written by the control thread, read by any thread. */
struct SnapshotHolder {
    std::atomic<std::shared_ptr<const ControlSnapshot>> current{std::make_shared<const ControlSnapshot>()}; ///< Never null.
};

} // namespace skylark
