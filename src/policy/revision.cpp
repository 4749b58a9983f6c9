/** @file revision.cpp Adoption of configuration revisions and planning of edits. */
#include "policy/revision_func.h"

#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

namespace {

/** Stores @p document unless the map has the same or a newer revision of it. */
void mergeDocument(DocumentMap &documents, const Document &document)
{
    Document &present = documents[{document.kind, document.name}];
    if (document.revision > present.revision) {
        present = document;
    }
}

/** Moves @p state to @p revision. Revision and documents of a state are changed nowhere else. */
AdoptOutcome advanceRevision(ConfigState &state, Revision revision, DocumentMap documents)
{
    SKY_INVARIANT(Promise::ConfigForward, revision > state.revision);
    if (revision <= state.revision) {
        return AdoptOutcome::Ignored;
    }
    const bool within = std::all_of(documents.begin(), documents.end(), [revision](const auto &entry) {
        return entry.second.revision <= revision;
    });
    SKY_INVARIANT(Promise::ConfigForward, within);
    state.revision = revision;
    state.documents = std::move(documents);
    return AdoptOutcome::Adopted;
}

/** @return Whether the log holds every change after @p known. */
bool logCovers(const ConfigHead &head, Revision known)
{
    return !head.log.empty() && head.log.front().document.revision.value <= known.value + 1;
}

AdoptOutcome applyLog(ConfigState &state, const ConfigHead &head, DocumentMap documents)
{
    for (const ConfigChange &change : head.log) {
        mergeDocument(documents, change.document);
    }
    return advanceRevision(state, head.revision, std::move(documents));
}

std::size_t entryBytes(const ConfigChange &change)
{
    constexpr std::size_t overhead = 200; // Bytes of member names, numbers and the write id.
    // The JSON text is escaped: a quotation mark or a line end takes two bytes, so ordinary text at most doubles.
    return overhead + 2 * (change.document.body.size() + change.document.name.size() + change.by.size());
}

/** @return Number of oldest entries to drop so that the log is within its limits; the newest entry is always kept. */
std::size_t entriesToDrop(const std::vector<ConfigChange> &log, const LogLimits &limits)
{
    std::size_t kept = 0;
    std::size_t bytes = 0;
    while (kept < log.size()) {
        bytes += entryBytes(log[log.size() - 1 - kept]);
        if (kept > 0 && (kept >= limits.entries || bytes > limits.bytes)) {
            break;
        }
        ++kept;
    }
    return log.size() - kept;
}

/** Drops the oldest entries beyond the limits. @return The documents that no remaining entry contains, each in its last version. */
std::vector<Document> truncateLog(std::vector<ConfigChange> &log, const LogLimits &limits)
{
    const auto dropped = static_cast<std::ptrdiff_t>(entriesToDrop(log, limits));
    DocumentMap droppedDocuments;
    for (auto entry = log.begin(); entry != log.begin() + dropped; ++entry) {
        mergeDocument(droppedDocuments, entry->document);
    }
    log.erase(log.begin(), log.begin() + dropped);
    for (const ConfigChange &change : log) {
        droppedDocuments.erase({change.document.kind, change.document.name});
    }
    std::vector<Document> documents;
    for (auto &[key, document] : droppedDocuments) {
        documents.push_back(std::move(document));
    }
    return documents;
}

} // namespace

AdoptOutcome adoptHead(ConfigState &state, const ConfigHead &head)
{
    if (head.revision <= state.revision) {
        state.confirmed = true;
        return AdoptOutcome::Ignored;
    }
    if (!logCovers(head, state.revision)) {
        return AdoptOutcome::NeedDocuments;
    }
    state.confirmed = true;
    return applyLog(state, head, state.documents);
}

AdoptOutcome adoptDocuments(ConfigState &state, const ConfigHead &head, const std::vector<Document> &documents)
{
    if (head.revision <= state.revision) {
        state.confirmed = true;
        return AdoptOutcome::Ignored;
    }
    DocumentMap merged = state.documents;
    for (const Document &document : documents) {
        if (document.revision > head.revision) {
            return AdoptOutcome::NeedHead;
        }
        mergeDocument(merged, document);
    }
    state.confirmed = true;
    return applyLog(state, head, std::move(merged));
}

AdoptOutcome adoptBundle(ConfigState &state, const ConfigBundle &bundle)
{
    if (bundle.since > state.revision) {
        return AdoptOutcome::Ignored;
    }
    if (bundle.revision <= state.revision) {
        state.confirmed = true;
        return AdoptOutcome::Ignored;
    }
    DocumentMap merged = state.documents;
    for (const Document &document : bundle.documents) {
        mergeDocument(merged, document);
    }
    state.confirmed = true;
    return advanceRevision(state, bundle.revision, std::move(merged));
}

ConfigBundle bundleSince(const ConfigState &state, Revision known)
{
    ConfigBundle bundle{.since = known, .revision = state.revision, .documents = {}};
    for (const auto &[key, document] : state.documents) {
        if (document.revision > known) {
            bundle.documents.push_back(document);
        }
    }
    return bundle;
}

std::optional<ConfigChange> findWrite(const ConfigHead &head, const WriteId &writeId)
{
    const auto found = std::find_if(head.log.begin(), head.log.end(), [&writeId](const ConfigChange &change) {
        return change.writeId == writeId;
    });
    return found == head.log.end() ? std::nullopt : std::optional(*found);
}

std::uint64_t docRevisionOf(const ConfigState &state, DocumentKind kind, const std::string &name)
{
    const auto found = state.documents.find({kind, name});
    return found == state.documents.end() ? 0 : found->second.docRevision;
}

EditPlan planEdit(const ConfigHead &head, const ConfigState &state, const ConfigEdit &edit, const LogLimits &limits)
{
    SKY_INVARIANT(Promise::ConfigForward, state.revision == head.revision);
    if (const auto committed = findWrite(head, edit.writeId)) {
        return EditCommitted{*committed};
    }
    const std::uint64_t current = docRevisionOf(state, edit.kind, edit.name);
    if (current != edit.expectedDocRevision) {
        return EditConflict{current};
    }
    EditWrite write;
    write.next = head;
    write.next.revision = Revision{head.revision.value + 1};
    write.next.writeId = edit.writeId;
    ConfigChange change;
    change.document = {.kind = edit.kind,
                       .name = edit.name,
                       .revision = write.next.revision,
                       .docRevision = current + 1,
                       .deleted = edit.deleted,
                       .body = edit.deleted ? std::string() : edit.body};
    change.by = edit.by;
    change.writeId = edit.writeId;
    change.at = edit.at;
    write.next.log.push_back(std::move(change));
    write.documentsToWrite = truncateLog(write.next.log, limits);
    return write;
}

} // namespace skylark
