/** @file config_edit.cpp Commit of operators' edits to the configuration head. */
#include "config/config_json_func.h"
#include "control/controller_func.h"
#include "core/table/error_table.h"
#include "policy/revision_func.h"

#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr int maxAttempts = 12; // An attempt that loses a race means that another operator's edit was committed.
constexpr auto conflictBackoff = 50ms;
constexpr auto editTimeout = 8s; // Less than the 10 s that skylarkctl waits for the answer.

/** Writes the key of a document whose entry is about to leave the log of the head, unless the key already has this revision or a newer one. */
asio::awaitable<Result<Done>> writeDocumentKey(ControlPtr control, Document document)
{
    const std::string key = documentKey(document.kind, document.name);
    auto present = co_await kvGet(*control->kv, key);
    recordPlatformResult(*control);
    if (!isOk(present)) {
        co_return errorOf(present);
    }
    KvVersion version;
    if (const auto &entry = valueOf(present)) {
        const auto stored = documentFromKey(entry->key, entry->value);
        if (isOk(stored) && valueOf(stored).revision >= document.revision) {
            co_return Done{};
        }
        version = entry->version;
    }
    const LeaseId noLease; // A named variable, because g++ 12 frees a braced default argument twice inside a co_await expression.
    const auto written = co_await kvPut(*control->kv, key, documentToJson(document), version, noLease);
    recordPlatformResult(*control);
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    co_return Done{};
}

/** Writes the keys of all documents whose entries leave the log; must precede the write of the head. */
asio::awaitable<Result<Done>> writeDocumentKeys(ControlPtr control, std::vector<Document> documents)
{
    for (Document &document : documents) {
        const auto done = co_await writeDocumentKey(control, std::move(document));
        if (!isOk(done)) {
            co_return errorOf(done);
        }
    }
    co_return Done{};
}

Error conflictError(const ConfigEdit &edit, std::uint64_t current)
{
    Error error = makeError(ErrorCode::RevisionConflict,
                            std::string(documentKindName(edit.kind)) + " " + edit.name + " is at document revision " + std::to_string(current)
                                + ", the edit expects " + std::to_string(edit.expectedDocRevision));
    error.param = std::to_string(current);
    return error;
}

EditResult resultOf(const ConfigChange &change)
{
    return {change.document.revision, change.document.docRevision};
}

/** Validates the document against the configuration that the edit is based on. */
Result<Done> checkEdit(const ControlPtr &control, const ConfigEdit &edit)
{
    const Document document{.kind = edit.kind, .name = edit.name, .revision = {}, .docRevision = 0, .deleted = edit.deleted, .body = edit.body};
    const auto mistakes = validateDocument(*control->fleet, document);
    if (!mistakes.empty()) {
        return invalidDocument(mistakes);
    }
    return Done{};
}

/** Writes the documents that leave the log, then the head. The write of the head commits the edit. */
asio::awaitable<Result<EditResult>> writeEdit(ControlPtr control, EditWrite write, KvVersion version)
{
    const auto keysWritten = co_await writeDocumentKeys(control, std::move(write.documentsToWrite));
    if (!isOk(keysWritten)) {
        // The edit itself is not written yet, so a lost answer at this point does not make its outcome unknown.
        const Error &error = errorOf(keysWritten);
        co_return makeError(error.code == ErrorCode::OutcomeUnknown ? ErrorCode::VersionConflict : error.code, error.detail);
    }
    const LeaseId noLease;
    const auto written = co_await kvPut(*control->kv, "config/head", headToJson(write.next), version, noLease);
    recordPlatformResult(*control);
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    const EditResult result = resultOf(write.next.log.back());
    co_await applyHead(control, std::move(write.next), "edit");
    co_return result;
}

/** Plans and validates an edit on the head that was just read. @return VersionConflict when the known configuration is not at the revision of that head. */
Result<EditPlan> checkAndPlanEdit(const ControlPtr &control, const ConfigHead &head, const ConfigEdit &edit)
{
    if (control->config.revision != head.revision) {
        return makeError(ErrorCode::VersionConflict, "the head that was read is not at the current configuration revision");
    }
    EditPlan plan = planEdit(head, control->config, edit);
    if (const auto *conflict = std::get_if<EditConflict>(&plan)) {
        return conflictError(edit, conflict->currentDocRevision);
    }
    if (std::holds_alternative<EditWrite>(plan)) {
        const auto valid = checkEdit(control, edit);
        if (!isOk(valid)) {
            return errorOf(valid);
        }
    }
    return plan;
}

/** Makes one attempt to commit an edit. @return VersionConflict or OutcomeUnknown when the edit must be attempted again. */
asio::awaitable<Result<EditResult>> tryEdit(ControlPtr control, ConfigEdit edit)
{
    auto read = co_await readHead(control);
    if (!isOk(read)) {
        co_return errorOf(read);
    }
    const ConfigHead &head = valueOf(read).first;
    const auto applied = co_await applyHead(control, head, "edit");
    if (!isOk(applied)) {
        co_return errorOf(applied);
    }
    if (const auto committed = findWrite(head, edit.writeId)) {
        co_return resultOf(*committed);
    }
    auto plan = checkAndPlanEdit(control, head, edit);
    if (!isOk(plan)) {
        co_return errorOf(plan);
    }
    co_return co_await writeEdit(control, std::move(std::get<EditWrite>(valueOf(plan))), valueOf(read).second);
}

void countEdit(const ControlPtr &control, const ConfigEdit &edit, const Result<EditResult> &result)
{
    const std::string_view outcome = isOk(result) ? "committed" : errorInfo(errorOf(result).code).name;
    addCounter(*control->context.metrics, "skylark_config_edits_total", {{"outcome", outcome}});
    std::string text = std::string(documentKindName(edit.kind)) + " " + edit.name + " by " + edit.by + ": " + std::string(outcome);
    if (isOk(result)) {
        text += " as revision " + std::to_string(valueOf(result).revision.value);
    }
    logDecision(control->context.decisions, "config", RequestId{edit.writeId.value}, std::move(text));
}

/** Attempts an edit until it is committed, fails for good, or the attempts or the time run out. */
asio::awaitable<Result<EditResult>> retryEdit(ControlPtr control, ConfigEdit edit)
{
    const TimePoint limit = BootClock::now() + editTimeout;
    bool maybeWritten = false;
    Error last = makeError(ErrorCode::PlatformUnavailable, "too many edits at once");
    for (int attempt = 0; attempt < maxAttempts && BootClock::now() < limit; ++attempt) {
        auto result = co_await tryEdit(control, edit);
        if (isOk(result)) {
            co_return result;
        }
        const ErrorCode code = errorOf(result).code;
        maybeWritten = maybeWritten || code == ErrorCode::OutcomeUnknown;
        const bool unanswered = code == ErrorCode::PlatformUnavailable || code == ErrorCode::RateLimited;
        if (code != ErrorCode::VersionConflict && code != ErrorCode::OutcomeUnknown && !(unanswered && maybeWritten)) {
            co_return result;
        }
        last = errorOf(result);
        co_await pauseFor(control, randomBelow(*control, conflictBackoff * (attempt + 1)));
    }
    if (maybeWritten) {
        co_return makeError(ErrorCode::OutcomeUnknown, "the edit was sent, but its answer was lost: " + last.detail, RunState::Maybe);
    }
    co_return makeError(ErrorCode::PlatformUnavailable, last.detail);
}

} // namespace

asio::awaitable<Result<std::pair<ConfigHead, KvVersion>>> readHead(ControlPtr control)
{
    auto entry = co_await kvGet(*control->kv, "config/head");
    recordPlatformResult(*control);
    if (!isOk(entry)) {
        co_return makeError(ErrorCode::PlatformUnavailable, errorOf(entry).detail);
    }
    std::pair<ConfigHead, KvVersion> read;
    if (!valueOf(entry)) {
        co_return read;
    }
    auto head = headFromJson(valueOf(entry)->value);
    if (!isOk(head)) {
        co_return errorOf(head);
    }
    read.first = std::move(valueOf(head));
    read.second = valueOf(entry)->version;
    co_return read;
}

asio::awaitable<Result<EditResult>> commitEdit(ControlPtr control, ConfigEdit edit)
{
    auto result = co_await retryEdit(control, edit);
    countEdit(control, edit, result);
    co_return result;
}

} // namespace skylark
