/** @file revision_func.h Adoption of configuration revisions and planning of edits. */
#pragma once

#include "policy/revision_type.h"

#include <optional>

namespace skylark {

/**
 * Adopts a head that was read or received from a watch. Old and repeated heads are ignored, so the revision never decreases.
 * @param state Revision and documents change only when the outcome is Adopted; any outcome but NeedDocuments sets confirmed.
 */
[[nodiscard]] AdoptOutcome adoptHead(ConfigState &state, const ConfigHead &head);

/**
 * Adopts the head together with the document keys, for a host whose revision is older than the log.
 * @param documents Documents read after @p head was read.
 */
[[nodiscard]] AdoptOutcome adoptDocuments(ConfigState &state, const ConfigHead &head, const std::vector<Document> &documents);

/**
 * Adopts a peer's bundle. A bundle that starts after the known revision is ignored, because the changes in between would be missing.
 * @param bundle Bundle of a peer whose own state is confirmed; it sets confirmed in @p state even when it is not newer.
 */
[[nodiscard]] AdoptOutcome adoptBundle(ConfigState &state, const ConfigBundle &bundle);

/** @return The documents of @p state that changed after @p known, for a peer. */
[[nodiscard]] ConfigBundle bundleSince(const ConfigState &state, Revision known);

/** @return The log entry of the write @p writeId, if the log of @p head still has it. */
[[nodiscard]] std::optional<ConfigChange> findWrite(const ConfigHead &head, const WriteId &writeId);

/** @return The current revision of a document, also of a deleted one; 0 when it is unknown. */
[[nodiscard]] std::uint64_t docRevisionOf(const ConfigState &state, DocumentKind kind, const std::string &name);

/**
 * Plans the commit of an edit.
 * @param state Configuration at exactly the revision of @p head.
 * @return The head to write, a conflict, or the log entry of this edit when an earlier attempt was committed.
 */
[[nodiscard]] EditPlan planEdit(const ConfigHead &head, const ConfigState &state, const ConfigEdit &edit, const LogLimits &limits = {});

} // namespace skylark
