/** @file revision_func.h Decisions on configuration revisions: adoption and edits. */
#pragma once

#include "policy/revision_type.h"

#include <optional>

namespace skylark {

/**
 * Adopts the head as read or watched. Old and repeated heads are ignored, so the revision never falls.
 * @param state Changed only when the outcome is Adopted; marked confirmed by any outcome but NeedDocuments.
 */
[[nodiscard]] AdoptOutcome adoptHead(ConfigState &state, const ConfigHead &head);

/**
 * Adopts the head together with the document keys, for a host that is too far behind for the log.
 * @param documents Documents read after @p head was read.
 */
[[nodiscard]] AdoptOutcome adoptDocuments(ConfigState &state, const ConfigHead &head, const std::vector<Document> &documents);

/**
 * Adopts what a peer sent. A bundle that starts after the known revision is ignored, because changes would be missing.
 * @param bundle Bundle of a peer whose own state is confirmed; it confirms @p state as well, also when it is not newer.
 */
[[nodiscard]] AdoptOutcome adoptBundle(ConfigState &state, const ConfigBundle &bundle);

/** @return The changes of @p state since @p known, for a peer. */
[[nodiscard]] ConfigBundle bundleSince(const ConfigState &state, Revision known);

/** @return The entry that the write @p writeId left in @p head, if it is still in the log. */
[[nodiscard]] std::optional<ConfigChange> findWrite(const ConfigHead &head, const WriteId &writeId);

/** @return The present revision of a document; tombstones count, and an unknown document has 0. */
[[nodiscard]] std::uint64_t docRevisionOf(const ConfigState &state, DocumentKind kind, const std::string &name);

/**
 * Plans the commit of an edit.
 * @param state Configuration at exactly the revision of @p head.
 * @return The next head, a conflict, or the entry of the same edit when an earlier attempt took effect.
 */
[[nodiscard]] EditPlan planEdit(const ConfigHead &head, const ConfigState &state, const ConfigEdit &edit, const LogLimits &limits = {});

} // namespace skylark
