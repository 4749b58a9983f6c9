/** @file revision_type.h Configuration state of a host, the head record and edits. */
#pragma once

#include "config/config_type.h"
#include "core/result_type.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace skylark {

/** Documents by kind and name, tombstones included. */
using DocumentMap = std::map<std::pair<DocumentKind, std::string>, Document>;

/** What a host knows of the configuration. */
struct ConfigState {
    bool confirmed{false}; ///< Whether the service or a peer has answered since the start.
    Revision revision; ///< Revision of the documents.
    DocumentMap documents; ///< Documents of that revision.
};

/** Value of the key "config/head". */
struct ConfigHead {
    Revision revision; ///< Revision of the last entry; 0 before the first edit.
    WriteId writeId; ///< Write of the last entry.
    std::vector<ConfigChange> log; ///< Last changes, oldest first, with consecutive revisions.
};

/** Documents changed between two revisions, as a peer sends them. */
struct ConfigBundle {
    Revision since; ///< The receiver has this revision.
    Revision revision; ///< The bundle brings it here.
    std::vector<Document> documents; ///< Documents whose last change is after since.
};

/** What became of news about the configuration. */
enum class AdoptOutcome : std::uint8_t {
    Ignored, ///< Not newer than what is known.
    Adopted, ///< The state moved forward.
    NeedDocuments, ///< The log begins after the next revision; the document keys must be read.
    NeedHead, ///< A document is newer than the head; the head must be read again.
};

/** Bounds of the log in the head. */
struct LogLimits {
    std::size_t entries{64}; ///< Most entries.
    std::size_t bytes{std::size_t{512} << 10U}; ///< Most bytes of bodies and names; a value may have 1 MB.
};

/** One operator's edit. */
struct ConfigEdit {
    DocumentKind kind{DocumentKind::Template}; ///< Kind.
    std::string name; ///< Document.
    std::uint64_t expectedDocRevision{0}; ///< Revision that the operator has seen; 0 for a new document.
    bool deleted{false}; ///< Whether the document is removed.
    std::string body; ///< New body.
    std::string by; ///< Operator.
    WriteId writeId; ///< Identifies the edit, also when it is sent again.
    UnixTime at{}; ///< Time.
};

/** The edit is based on an old document. */
struct EditConflict {
    std::uint64_t currentDocRevision{0}; ///< Present revision of the document.
};

/** The edit is in the log already. */
struct EditCommitted {
    ConfigChange change; ///< Its entry.
};

/** Write this head with compare-and-swap. */
struct EditWrite {
    ConfigHead next; ///< Next head; its last entry is the edit.
    std::vector<Document> materialise; ///< Documents whose keys must be written first because their entries leave the log.
};

/** What to do with an edit. */
using EditPlan = std::variant<EditWrite, EditConflict, EditCommitted>;

} // namespace skylark
