/** @file revision_type.h Configuration of a host, the head record with the change log, and edits. */
#pragma once

#include "config/config_type.h"
#include "core/result_type.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace skylark {

/** Documents by kind and name, including tombstones of deleted ones. */
using DocumentMap = std::map<std::pair<DocumentKind, std::string>, Document>;

/** Configuration as known to a host. */
struct ConfigState {
    bool confirmed{false}; ///< Whether the key-value service or a peer has answered since the process started.
    Revision revision;
    DocumentMap documents; ///< Documents as of that revision.
};

/** Value of the key "config/head". */
struct ConfigHead {
    Revision revision; ///< Revision of the last change; 0 before the first edit.
    WriteId writeId; ///< Write that made the last change.
    std::vector<ConfigChange> log; ///< Most recent changes, oldest first, with consecutive revisions.
};

/** Documents changed between two revisions, as sent by a peer. */
struct ConfigBundle {
    Revision since; ///< Revision that the receiver must have at least.
    Revision revision; ///< Revision of the receiver after it adopts the bundle.
    std::vector<Document> documents; ///< Documents whose last change is later than since.
};

/** Outcome of applying a head or a bundle. */
enum class AdoptOutcome : std::uint8_t {
    Ignored, ///< Not newer than the known state.
    Adopted, ///< The state was moved to the newer revision.
    NeedDocuments, ///< The log does not reach back to the known revision; the document keys must be read.
    NeedHead, ///< A document is newer than the head; the head must be read again.
};

/** Limits of the log in the head. */
struct LogLimits {
    std::size_t entries{64};
    std::size_t bytes{std::size_t{512} << 10U}; ///< Largest estimated size of the entries; a value of the key-value service may have 1 MB.
};

/** Edit of one document by an operator. */
struct ConfigEdit {
    DocumentKind kind{DocumentKind::Template};
    std::string name;
    std::uint64_t expectedDocRevision{0}; ///< Document revision that the edit is based on; 0 for a new document.
    bool deleted{false}; ///< Whether the edit deletes the document.
    std::string body; ///< New body; not used when deleted.
    std::string by; ///< Operator.
    WriteId writeId; ///< Identifies the edit; a repeated edit has the same id.
    UnixTime at{};
};

/** The edit is not based on the current revision of the document. */
struct EditConflict {
    std::uint64_t currentDocRevision{0};
};

/** The edit is in the log already: an earlier attempt was committed. */
struct EditCommitted {
    ConfigChange change; ///< Log entry of the edit.
};

/** The edit is committed by writing the head with compare-and-swap. */
struct EditWrite {
    ConfigHead next; ///< New head; its last log entry is the edit.
    std::vector<Document> documentsToWrite; ///< Documents to write to their own keys before the head, because their entries are dropped from the log.
};

/** Outcome of planning an edit. */
using EditPlan = std::variant<EditWrite, EditConflict, EditCommitted>;

} // namespace skylark
