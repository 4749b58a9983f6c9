/** @file config_type.h Configuration documents and what they mean once resolved. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylark {

/** Kind of a configuration document. */
enum class DocumentKind : std::uint8_t {
    Template, ///< Shared defaults.
    Workspace, ///< One workspace; overrides its template.
};

/** One stored document. */
struct Document {
    DocumentKind kind{DocumentKind::Template}; ///< Kind.
    std::string name; ///< Name within the kind.
    Revision revision; ///< Fleet revision of its last change.
    std::uint64_t docRevision{0}; ///< Counts the changes of this document.
    bool deleted{false}; ///< Tombstone.
    std::string body; ///< JSON text.
};

/** One model that a workspace may call. */
struct ModelSpec {
    ModelId name; ///< Name that callers use.
    std::string version; ///< Version to load.
    std::vector<std::string> adapters; ///< Adapters to load.
    unsigned replicas{0}; ///< Wanted loaded replicas per failure domain; 0 leaves placement alone.
};

/** One call of a plain service. */
struct ServiceCallSpec {
    std::string method; ///< HTTP method.
    std::string pathPrefix; ///< Path prefix below the service.
    bool repeatable{false}; ///< Whether the call may be sent more than once.
};

/** One plain service that a workspace may call. */
struct ServiceSpec {
    std::string name; ///< Service name.
    std::vector<ServiceCallSpec> calls; ///< Permitted calls.
};

/** Treatment of online work. */
struct OnlinePolicy {
    std::chrono::milliseconds deadline{10000}; ///< Longest wait before the first token.
    std::chrono::milliseconds firstByteTimeout{5000}; ///< A target that has not answered by then is given up.
    std::chrono::milliseconds idleTimeout{2000}; ///< Longest gap between tokens.
    bool hedge{false}; ///< Whether repeatable calls may be hedged.
};

/** A period of the day in which online tail latency has more weight. */
struct ShopHours {
    unsigned fromMinute{0}; ///< Start, minutes after midnight UTC.
    unsigned toMinute{0}; ///< End, minutes after midnight UTC; equal to fromMinute means never.
};

/** Treatment of batch work. */
struct BatchPolicy {
    double share{1.0}; ///< Weight among workspaces.
    double tailWeight{0.5}; ///< 1 protects the online tail only, 0 favours batch throughput.
    ShopHours shopHours; ///< Period in which tailWeight counts as 1.
    std::chrono::seconds defaultDue{std::chrono::hours(24)}; ///< Due time when the job names none.
    unsigned maxAttempts{4}; ///< Attempts per item.
};

/** What happens to a non-idempotent call when its record cannot be written. */
enum class RecordUnavailable : std::uint8_t {
    Refuse, ///< Refused as not run.
    Pass, ///< Passed on without the record.
};

/** One workspace, resolved against its template. */
struct WorkspaceConfig {
    WorkspaceId id; ///< Name.
    std::string templateName; ///< Template.
    std::vector<std::string> apiKeys; ///< Keys of its callers.
    std::vector<ModelSpec> models; ///< Models.
    std::vector<ServiceSpec> services; ///< Services.
    OnlinePolicy online; ///< Online treatment.
    BatchPolicy batch; ///< Batch treatment.
    RecordUnavailable whenRecordUnavailable{RecordUnavailable::Refuse}; ///< At-most-once calls during an outage.
};

/** Configuration of one revision. Immutable once published. */
struct FleetConfig {
    Revision revision; ///< Fleet revision.
    std::map<std::pair<DocumentKind, std::string>, Document> documents; ///< All documents, tombstones included.
    std::unordered_map<WorkspaceId, WorkspaceConfig> workspaces; ///< Resolved workspaces.
    std::unordered_map<std::string, WorkspaceId> workspaceByKey; ///< API key to workspace.
};

/** One entry of the configuration log in the key "config/head". */
struct ConfigChange {
    Document document; ///< Document after the change.
    std::string by; ///< Operator.
    WriteId writeId; ///< Recognises the write.
    UnixTime at{}; ///< Time of the change.
};

} // namespace skylark
