/** @file config_type.h Configuration documents and the resolved configuration of workspaces. */
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
    Template, ///< Default parameters that workspaces share.
    Workspace, ///< Parameters of one workspace, which override those of its template.
};

/** A stored configuration document. */
struct Document {
    DocumentKind kind{DocumentKind::Template};
    std::string name; ///< Unique among documents of the same kind.
    Revision revision; ///< Fleet-wide configuration revision of the last change of this document.
    std::uint64_t docRevision{0}; ///< Number of changes of this document.
    bool deleted{false}; ///< Whether this is a tombstone.
    std::string body; ///< JSON text, which may contain comments.
};

/** Model that a workspace may call. */
struct ModelSpec {
    ModelId name; ///< Name that callers use.
    std::string version; ///< Version that targets load.
    std::vector<std::string> adapters; ///< Adapters that targets load.
    unsigned replicas{0}; ///< Number of targets per failure domain that should have the model loaded; 0 exempts the model from placement.
};

/** Permitted call of a plain service. */
struct ServiceCallSpec {
    std::string method; ///< HTTP method in capitals.
    std::string pathPrefix; ///< Path prefix within the service; begins with "/".
    bool repeatable{false}; ///< Whether the call is idempotent, so that it may be sent more than once.
};

/** Plain service (not a model engine) that a workspace may call. */
struct ServiceSpec {
    std::string name;
    std::vector<ServiceCallSpec> calls;
};

/** Parameters of online requests. */
struct OnlinePolicy {
    std::chrono::milliseconds deadline{10000}; ///< Maximum wait for the first token.
    std::chrono::milliseconds firstByteTimeout{5000}; ///< Maximum wait for the first byte of a target's response, after which the attempt is abandoned.
    std::chrono::milliseconds idleTimeout{2000}; ///< Maximum time between tokens.
    bool hedge{false}; ///< Whether repeatable calls may be hedged.
};

/** Daily period in which online tail latency takes precedence over batch throughput. */
struct ShopHours {
    unsigned fromMinute{0}; ///< Start in minutes after midnight UTC.
    unsigned toMinute{0}; ///< End in minutes after midnight UTC; equal to fromMinute for no such period.
};

/** Parameters of batch jobs. */
struct BatchPolicy {
    double share{1.0}; ///< Weight relative to other workspaces.
    double tailWeight{0.5}; ///< From 0, which favours batch throughput, to 1, which only protects online tail latency.
    ShopHours shopHours; ///< Period in which tailWeight is treated as 1.
    std::chrono::seconds defaultDue{std::chrono::hours(24)}; ///< Time until a job is due if its submitter gives no due time.
    unsigned maxAttempts{4}; ///< Maximum attempts per item.
};

/** What happens to a non-idempotent call if its idempotency record cannot be written. */
enum class RecordUnavailable : std::uint8_t {
    Refuse, ///< The call is refused as not run.
    Pass, ///< The call is forwarded without a record.
};

/** Parameters of a workspace, resolved against its template. */
struct WorkspaceConfig {
    WorkspaceId id; ///< Name of the workspace document.
    std::string templateName;
    std::vector<std::string> apiKeys; ///< Keys that authenticate its callers.
    std::vector<ModelSpec> models;
    std::vector<ServiceSpec> services;
    OnlinePolicy online;
    BatchPolicy batch;
    RecordUnavailable whenRecordUnavailable{RecordUnavailable::Refuse}; ///< Handling of non-idempotent calls while idempotency records cannot be written.
};

/** Resolved configuration of one revision. Immutable once published. */
struct FleetConfig {
    Revision revision; ///< Fleet-wide configuration revision.
    std::map<std::pair<DocumentKind, std::string>, Document> documents; ///< All documents, including tombstones, by kind and name.
    std::unordered_map<WorkspaceId, WorkspaceConfig> workspaces; ///< Resolved workspaces; those with mistakes are left out.
    std::unordered_map<std::string, WorkspaceId> workspaceByKey; ///< Workspace of each API key.
};

/** Entry of the configuration log in the stored key "config/head". */
struct ConfigChange {
    Document document; ///< Document after the change.
    std::string by; ///< Operator who made the change.
    WriteId writeId; ///< Unique id of the write, by which its sender recognises it if the response was lost.
    UnixTime at{};
};

} // namespace skylark
