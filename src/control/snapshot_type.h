/** @file snapshot_type.h Immutable view of the control state that other threads read. */
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

/** Kind of a target. */
enum class TargetKind : std::uint8_t {
    Engine, ///< Model engine.
    Service, ///< Plain service.
};

/** One target from the platform's host list. */
struct TargetInfo {
    TargetId id; ///< Name.
    TargetKind kind{TargetKind::Engine}; ///< Kind.
    std::string service; ///< Service name; empty for engines.
    DomainId domain; ///< Failure domain.
    Endpoint endpoint; ///< Address.
    bool leaving{false}; ///< Whether the list says that it is leaving.
    bool checksFencing{true}; ///< Whether it refuses old fencing numbers.
    std::chrono::milliseconds orderTimeout{1000}; ///< It drops an order whose body has not followed its head by then.
};

/** A model that a target has loaded. */
struct LoadedModel {
    ModelId name; ///< Model.
    std::string version; ///< Version.
    std::vector<std::string> adapters; ///< Adapters.
};

/** A target's own report of its load; it lags. */
struct LoadReport {
    std::uint64_t sequence{0}; ///< Rises with each report of one owner.
    unsigned slots{0}; ///< Concurrent streams that it runs.
    unsigned running{0}; ///< Streams running.
    unsigned waiting{0}; ///< Streams admitted but waiting.
    double stepMs{0}; ///< Recent time of one engine step in milliseconds.
    bool draining{false}; ///< Whether it is leaving.
    std::vector<LoadedModel> models; ///< Models loaded.
    TimePoint receivedAt{}; ///< Local time of arrival.
};

/** A target with what this host knows of it. */
struct TargetView {
    TargetInfo info; ///< From the platform's list.
    LoadReport report; ///< Last report.
    bool leaving{false}; ///< Leaving by any source.
    HostId batchOwner; ///< Host that may send batch to it.
    unsigned onlineElsewhere{0}; ///< Online streams that other hosts say they have on it.
    double declineFactor{1.0}; ///< Time per token over that of its peers, 1 when healthy.
};

/** Liveness of a host as seen here. */
enum class HostState : std::uint8_t {
    Unknown, ///< Never heard of.
    Live, ///< Heard of in time.
    Suspect, ///< Missed several status datagrams.
    Dead, ///< Missed too many.
    Leaving, ///< Planned stop.
};

/** A host with what this host knows of it. */
struct HostView {
    HostInfo info; ///< From the settings.
    HostState state{HostState::Unknown}; ///< Liveness.
    SessionId session; ///< Its session.
    Revision configRevision; ///< Its configuration.
    std::vector<std::pair<ModelId, unsigned>> freeByModel; ///< Free slots of its failure domain, by model.
};

/** State of a job record. */
enum class JobState : std::uint8_t {
    Active, ///< Has unfinished groups.
    Cancelled, ///< Cancelled by its caller.
    Done, ///< All groups are finished.
};

/** A job as its record describes it. */
struct JobRecord {
    JobId id; ///< Hash of workspace and job key.
    WorkspaceId workspace; ///< Owner.
    std::string jobKey; ///< Key chosen by the caller.
    std::string contentHash; ///< Hash of the submission.
    std::uint32_t itemCount{0}; ///< Items.
    std::uint32_t groupCount{0}; ///< Groups.
    std::vector<BlobId> inputBlobs; ///< Input blob of each group.
    std::vector<ModelId> models; ///< Models that the items call.
    UnixTime due{}; ///< Due time.
    UnixTime created{}; ///< Acceptance.
    JobState state{JobState::Active}; ///< State.
    WriteId writeId; ///< Recognises the write.
    KvVersion version; ///< Version of the record.
};

/** Immutable view of the control state. */
struct ControlSnapshot {
    HostInfo self; ///< This host.
    SessionId session; ///< This run.
    std::shared_ptr<const FleetConfig> config; ///< Configuration; null until confirmed.
    std::vector<TargetView> targets; ///< Targets of this failure domain.
    std::vector<HostView> hosts; ///< All hosts, this one included.
    std::vector<std::shared_ptr<const JobRecord>> jobs; ///< Known jobs, active ones and recent others.
    TimePoint leaseDeadline{}; ///< Session lease; effects after it are not allowed.
    bool ready{false}; ///< Whether callers may be served.
    bool stopping{false}; ///< Whether a planned stop is under way.
    bool platformReachable{true}; ///< Whether the last call to the key-value service succeeded.
};

/** Holder of the present snapshot; written by the control thread. */
struct SnapshotHolder {
    std::atomic<std::shared_ptr<const ControlSnapshot>> current{std::make_shared<const ControlSnapshot>()}; ///< Never null.
};

} // namespace skylark
