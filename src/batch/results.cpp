/** @file results.cpp Reads the input of a group, and renders and stores its results. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "core/json_member_func.h"
#include "core/table/error_table.h"
#include "core/task_func.h"
#include "policy/claim_func.h"
#include "policy/item_attempt_func.h"

#include <boost/json.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto storeRetryDelay = std::chrono::milliseconds(500); ///< Delay after a result blob could not be stored because too few disk hosts were reachable.
constexpr auto completionRetryDelay = std::chrono::milliseconds(100); ///< Delay while the lease or the group record is being verified.
constexpr auto loadRetryDelay = std::chrono::milliseconds(500); ///< Delay after an input blob could not be read.
constexpr unsigned maxLoadFailures = 5; ///< After these the group is released, so that another host, which may reach a copy, can try.
constexpr auto unreadableBackoff = std::chrono::seconds(30); ///< Time without further claims of a job whose input this host cannot read.

json::object chatResponse(const BatchItem &item, const ModelId &model)
{
    json::object message;
    message["role"] = "assistant";
    message["content"] = item.text;
    json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = item.finishReason.empty() ? "stop" : item.finishReason;
    json::object usage;
    usage["prompt_tokens"] = item.promptTokens;
    usage["completion_tokens"] = item.tokens;
    usage["total_tokens"] = item.promptTokens + item.tokens;
    json::object response;
    response["object"] = "chat.completion";
    response["model"] = model.value;
    response["choices"] = json::array{std::move(choice)};
    response["usage"] = std::move(usage);
    return response;
}

void applyPartialItem(HeldGroup &group, const json::object &entry)
{
    const auto index = static_cast<std::size_t>(entry.at("index").to_number<std::uint64_t>());
    if (index >= group.items.size()) {
        return;
    }
    BatchItem &item = group.items[index];
    item.resultLine = std::string(entry.at("result").as_string());
    item.failed = entry.at("failed").as_bool();
    item.text = std::string(entry.at("text").as_string());
    item.tokens = entry.at("tokens").to_number<unsigned>();
    item.history.failures = static_cast<unsigned>(numberMember(entry, "failures"));
    item.history.interruptions = static_cast<unsigned>(numberMember(entry, "interruptions"));
    item.history.isolated = boolMember(entry, "isolated");
    item.notBefore = BootClock::now() + interruptionDelay(item.history.interruptions);
}

/** Queues the items without a result, isolated ones apart. */
void queueItems(HeldGroup &group)
{
    group.left = 0;
    for (std::size_t i = 0; i < group.items.size(); ++i) {
        if (!group.items[i].resultLine.empty()) {
            continue;
        }
        ++group.left;
        (group.items[i].history.isolated ? group.isolated : group.waiting).push_back(i);
    }
}

asio::awaitable<Result<Done>> readInput(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    auto input = co_await readReplicated(*state->blobs, group->job->inputBlobs.at(group->index));
    if (!isOk(input)) {
        co_return errorOf(input);
    }
    auto items = parseGroupInput(valueOf(input));
    if (!isOk(items)) {
        co_return errorOf(items);
    }
    std::string partial;
    if (!group->record.partialBlob.empty()) {
        auto read = co_await readReplicated(*state->blobs, group->record.partialBlob);
        // If the partial results cannot be read, their items are simply run again.
        partial = isOk(read) ? std::move(valueOf(read)) : std::string();
    }
    group->items.clear();
    for (ItemInput &item : valueOf(items)) {
        group->items.push_back({});
        group->items.back().customId = std::move(item.customId);
        group->items.back().body = std::move(item.body);
    }
    applyPartial(*group, partial);
    queueItems(*group);
    co_return Done{};
}

/** Releases a group whose input this host cannot read. */
asio::awaitable<void> releaseUnreadable(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    const GroupRecord release = makeRelease(group->record, {}, newWriteId());
    const auto work = state->jobs.find(group->job->id);
    if (work != state->jobs.end()) {
        work->second.blockedUntil = BootClock::now() + unreadableBackoff;
    }
    logBatch(*state, "group " + std::to_string(group->index) + " of job " + group->job->id.value + " released, because this host cannot read its input");
    checkGroupWrite(group->record, release, groupContext(*state, group->job->id));
    co_await writeRecord(state, batchGroupKey(group->job->id, group->index), renderBatchGroup(release), release.writeId, group->version);
    dropGroup(*state, group, GroupStatus::HeldElsewhere);
}

/** @param[out] lines The result lines, which are the content of the result blob. */
GroupOutcome outcomeOf(const HeldGroup &group, std::string &lines)
{
    GroupOutcome outcome;
    for (const BatchItem &item : group.items) {
        lines += item.resultLine;
        lines += '\n';
        ++outcome.finished;
        outcome.failed += item.failed ? 1 : 0;
    }
    outcome.resultBlob = makeBlobId(group.job->id, group.index, "result", lines);
    return outcome;
}

/** Stores the result blob; retries while the group is held. @return Whether the blob is stored and the group is still held. */
asio::awaitable<bool> storeResult(BatchStatePtr state, std::shared_ptr<HeldGroup> group, BlobId id, std::string lines)
{
    while (group->phase == GroupPhase::Finishing) {
        const auto stored = co_await storeReplicated(*state->blobs, id, lines);
        if (isOk(stored)) {
            co_return group->phase == GroupPhase::Finishing;
        }
        LOG(WARNING) << "[batch] result of group " << group->index << " not stored, retrying: " << errorOf(stored).detail;
        co_await pauseFor(state->context.batch.get_executor(), storeRetryDelay);
    }
    co_return false;
}

void recordCompletion(BatchState &state, const std::shared_ptr<HeldGroup> &group)
{
    const auto work = state.jobs.find(group->job->id);
    if (work != state.jobs.end()) {
        work->second.scanWanted = true;
        work->second.itemsDone += group->items.size();
    }
    state.progress.erase(group->job->id);
    addCounter(*state.context.metrics, "skylark_batch_groups_done_total");
    logBatch(state, "group " + std::to_string(group->index) + " of job " + group->job->id.value + " done");
    dropGroup(state, group, GroupStatus::Done);
}

/** Tries once to write the done record. @return Whether the group is done or no longer held, so that no retry is needed. */
asio::awaitable<bool> tryComplete(BatchStatePtr state, std::shared_ptr<HeldGroup> group, GroupOutcome outcome)
{
    if (group->unverified || !mayCallKv(*state)) {
        co_return false;
    }
    const VersionedGroup present{group->record, group->version};
    const CompletionDecision decision = decideCompletion(present, group->record.epoch, groupContext(*state, group->job->id), outcome, newWriteId());
    switch (decision.action) {
    case CompletionAction::Suspend:
        co_return false;
    case CompletionAction::Stop:
    case CompletionAction::Drop:
        dropGroup(*state, group, GroupStatus::HeldElsewhere);
        co_return true;
    case CompletionAction::AlreadyDone:
        recordCompletion(*state, group);
        co_return true;
    case CompletionAction::Write:
        break;
    }
    const auto written =
        co_await writeRecord(state, batchGroupKey(group->job->id, group->index), renderBatchGroup(decision.write), decision.write.writeId, decision.expected);
    if (isOk(written)) {
        recordCompletion(*state, group);
        co_return true;
    }
    // Another host may have changed the record, or the write may have taken effect without an answer, so the record is read again before the next attempt.
    group->unverified = group->phase == GroupPhase::Finishing;
    co_return group->phase != GroupPhase::Finishing;
}

} // namespace

std::string renderItemResult(const BatchItem &item, const ModelId &model)
{
    json::object line;
    line["custom_id"] = item.customId;
    line["status"] = "ok";
    line["response"] = chatResponse(item, model);
    return json::serialize(line);
}

std::string renderItemFailure(const BatchItem &item, ErrorCode code, std::string_view message)
{
    json::object error;
    error["code"] = errorInfo(code).name;
    error["message"] = message;
    json::object line;
    line["custom_id"] = item.customId;
    line["status"] = "failed";
    line["error"] = std::move(error);
    return json::serialize(line);
}

std::string renderPartial(const HeldGroup &group)
{
    std::string lines;
    for (std::size_t i = 0; i < group.items.size(); ++i) {
        const BatchItem &item = group.items[i];
        if (item.resultLine.empty() && item.text.empty() && item.history.failures == 0 && item.history.interruptions == 0) {
            continue;
        }
        json::object entry;
        entry["index"] = i;
        entry["result"] = item.resultLine;
        entry["failed"] = item.failed;
        entry["text"] = item.resultLine.empty() ? item.text : std::string();
        entry["tokens"] = item.resultLine.empty() ? item.tokens : 0;
        entry["failures"] = item.history.failures;
        entry["interruptions"] = item.history.interruptions;
        entry["isolated"] = item.history.isolated;
        lines += json::serialize(entry) + "\n";
    }
    return lines;
}

void applyPartial(HeldGroup &group, std::string_view lines)
{
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
        try {
            applyPartialItem(group, json::parse(line).as_object());
        } catch (const std::exception &error) {
            LOG(WARNING) << "[batch] malformed partial result ignored: " << error.what();
        }
    }
}

asio::awaitable<void> loadGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    while (group->phase == GroupPhase::Loading) {
        const auto loaded = co_await catchExceptions("load of a group", readInput(state, group));
        if (isOk(loaded)) {
            group->phase = group->phase == GroupPhase::Loading ? GroupPhase::Running : group->phase;
            wakeExecutionLoop(*state);
            co_return;
        }
        LOG(WARNING) << "[batch] input of group " << group->index << " of job " << group->job->id.value << " could not be read: " << errorOf(loaded).detail;
        if (++group->loadFailures >= maxLoadFailures && group->phase == GroupPhase::Loading && !group->unverified) {
            co_await releaseUnreadable(state, group);
            co_return;
        }
        co_await pauseFor(state->context.batch.get_executor(), loadRetryDelay);
    }
}

asio::awaitable<void> finishGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    std::string lines;
    const GroupOutcome outcome = outcomeOf(*group, lines);
    const bool stored = co_await storeResult(state, group, outcome.resultBlob, std::move(lines));
    bool settled = !stored;
    while (!settled && group->phase == GroupPhase::Finishing) {
        settled = co_await tryComplete(state, group, outcome);
        if (!settled) {
            co_await pauseFor(state->context.batch.get_executor(), completionRetryDelay);
        }
    }
    wakeExecutionLoop(*state);
}

} // namespace skylark
