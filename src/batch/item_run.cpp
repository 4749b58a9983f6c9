/** @file item_run.cpp Runs a batch item on a target: stream, result, yield and failure handling. */
#include "batch/batch_internal_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/task_func.h"
#include "policy/claim_func.h"
#include "policy/item_attempt_func.h"
#include "policy/silence_type.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto targetBackoff = std::chrono::milliseconds(250); ///< Pause of a target after a refusal or failure; half the interval of load reports.
constexpr auto yieldCapDuration = std::chrono::milliseconds(600); ///< Covers the time until another host's next status datagram counts its online requests.
constexpr auto probeSilence = maxSoundSilence + std::chrono::milliseconds(100); ///< Longer than a sound silence, by the time that the report is under way.
/** Timeouts of the load report that tells whether a target ended. */
constexpr HttpTimeouts probeTimeouts{std::chrono::milliseconds(300), std::chrono::milliseconds(300), probeSilence, probeSilence};

/** Limits of the runs of an item, from the configuration of its workspace. */
struct RunLimits {
    HttpTimeouts timeouts; ///< Timeouts of the stream.
    unsigned maxAttempts{4}; ///< Attempts of the item before it fails.
};

RunLimits limitsFor(const BatchState &state, const WorkspaceId &workspace)
{
    RunLimits limits;
    const auto snapshot = snapshotOf(state);
    if (!snapshot->config) {
        return limits;
    }
    const auto found = snapshot->config->workspaces.find(workspace);
    if (found != snapshot->config->workspaces.end()) {
        limits.timeouts.firstByte = found->second.online.firstByteTimeout;
        limits.timeouts.idle = found->second.online.idleTimeout;
        limits.maxAttempts = found->second.batch.maxAttempts;
    }
    return limits;
}

/** Removes the stream from its target and marks the run as ended. */
void endRun(BatchState &state, const std::shared_ptr<RunningItem> &run)
{
    run->ended = true;
    std::erase(state.targets[run->target].running, run);
    recordStreamEnded(*state.context.loads, run->target, StreamKind::Batch, BootClock::now());
}

/** Returns the item to the front of its queue. */
void requeue(const std::shared_ptr<RunningItem> &run)
{
    HeldGroup &group = *run->group;
    (group.items[run->item].history.isolated ? group.isolated : group.waiting).push_front(run->item);
}

void recordResult(BatchState &state, HeldGroup &group, BatchItem &item, std::string line)
{
    item.resultLine = std::move(line);
    item.text.clear();
    --group.left;
    ++state.itemsFinished;
    addCounter(*state.context.metrics, item.failed ? "skylark_batch_items_failed_total" : "skylark_batch_items_finished_total");
    wakeExecutionLoop(state);
}

void recordItemFailure(BatchState &state, const std::shared_ptr<RunningItem> &run, const AttemptDecision &decision, const Error &error)
{
    BatchItem &item = run->group->items[run->item];
    item.failed = true;
    recordResult(state, *run->group, item, renderItemFailure(item, decision.failure, error.detail));
}

/** @return Whether an error of this code can be caused by the end of the target. */
bool mayMeanTargetEnded(ErrorCode code)
{
    return code == ErrorCode::StreamBroken || code == ErrorCode::SendFailed || code == ErrorCode::FirstByteTimeout || code == ErrorCode::IdleTimeout;
}

/** Pauses a target after a failed attempt, except when it rejected the item itself; reports a target that is draining. */
void pauseTarget(BatchState &state, const RunningItem &run, const Error &error)
{
    const TimePoint now = BootClock::now();
    if (error.code == ErrorCode::TargetRejected) {
        return;
    }
    BatchTarget &target = state.targets[run.target];
    if (error.code == ErrorCode::TargetOverloaded) {
        target.pausedUntil = now + std::clamp<std::chrono::milliseconds>(error.retryAfter.value_or(targetBackoff), targetBackoff, std::chrono::seconds(5));
        if (error.targetLeaving && state.context.reportTargetLeaving) {
            state.context.reportTargetLeaving(run.target);
        }
        return;
    }
    target.pausedUntil = now + targetBackoff;
    recordStreamFailure(*state.context.loads, run.target, now);
}

/** Logs that a target ended under an item, which stays owed. */
void logTargetEnded(BatchState &state, const RunningItem &run, const AttemptDecision &decision)
{
    const HeldGroup &group = *run.group;
    logBatch(state,
             "target " + run.target.value + " ended while item " + group.items[run.item].customId + " of job " + group.job->id.value
                 + " ran on it; the item is retried alone after " + std::to_string(decision.delay.count()) + " ms");
}

/** Handles a failed attempt: checks whether the target ended, then retries the item or records its failure. */
asio::awaitable<void> handleFailure(BatchStatePtr state, std::shared_ptr<RunningItem> run, Error error, unsigned maxAttempts)
{
    endRun(*state, run);
    pauseTarget(*state, *run, error);
    bool targetEnded = false;
    if (mayMeanTargetEnded(error.code)) {
        // The item is in no queue until this has ended.
        auto report = co_await catchExceptions("load report", readLoad(state->http, run->endpoint, probeTimeouts));
        targetEnded = !isOk(report);
    }
    if (run->group->phase == GroupPhase::Dropped) {
        co_return;
    }
    BatchItem &item = run->group->items[run->item];
    AttemptDecision decision = nextAttempt(item.history, {run->target, error.code, targetEnded}, maxAttempts);
    item.history = std::move(decision.history);
    item.notBefore = BootClock::now() + decision.delay;
    if (decision.action == AttemptAction::Fail) {
        recordItemFailure(*state, run, decision, error);
        co_return;
    }
    if (targetEnded) {
        logTargetEnded(*state, *run, decision);
    }
    addCounter(*state->context.metrics, "skylark_batch_items_retried_total");
    requeue(run);
    wakeExecutionLoop(*state);
}

asio::awaitable<Result<GenerateStream>> openStream(BatchStatePtr state, std::shared_ptr<RunningItem> run, GenerateCall call, HttpTimeouts timeouts)
{
    // The stream is opened in a coroutine of its own, because only that can be cancelled while the stream does not exist yet.
    try {
        auto opening = startGenerate(state->http, run->endpoint, std::move(call), timeouts);
        co_return co_await asio::co_spawn(state->context.batch, std::move(opening), asio::bind_cancellation_slot(run->cancel.slot(), asio::use_awaitable));
    } catch (const boost::system::system_error &error) {
        co_return makeError(ErrorCode::Cancelled, error.what(), RunState::Maybe);
    }
}

GenerateCall callFor(BatchState &state, const RunningItem &run)
{
    const BatchItem &item = run.group->items[run.item];
    GenerateCall call;
    call.requestId = {"b-" + randomIdHex()};
    call.body = item.body;
    call.continueFrom = item.text;
    call.tokensDone = item.tokens;
    if (item.tokens > 0) {
        addCounter(*state.context.metrics, "skylark_batch_tokens_resumed_total", {}, item.tokens);
    }
    return call;
}

void appendEvent(BatchItem &item, const TokenEvent &event)
{
    item.text += event.text;
    item.tokens += event.tokens;
    item.promptTokens = std::max(item.promptTokens, event.promptTokens);
    if (!event.finishReason.empty()) {
        item.finishReason = event.finishReason;
    }
}

void finishRun(BatchState &state, const std::shared_ptr<RunningItem> &run, TimePoint begin, unsigned tokens)
{
    const TimePoint now = BootClock::now();
    BatchItem &item = run->group->items[run->item];
    std::string line = renderItemResult(item, run->group->model);
    endRun(state, run);
    recordStreamSuccess(*state.context.loads, run->target);
    if (tokens > 1) {
        const double tokenMs = std::chrono::duration<double, std::milli>(now - begin).count() / tokens;
        recordTokenTiming(*state.context.loads, run->target, std::nullopt, tokenMs, now);
    }
    recordResult(state, *run->group, item, std::move(line));
}

/** Makes an item whose run was ended by an exception wait for its next one, if this host still has to run it. */
void resetFailedRun(BatchState &state, const std::shared_ptr<RunningItem> &run)
{
    if (run->ended) {
        return;
    }
    endRun(state, run);
    if (run->group->phase == GroupPhase::Dropped) {
        return;
    }
    BatchItem &item = run->group->items[run->item];
    item.notBefore = BootClock::now() + interruptionDelay(++item.history.interruptions);
    requeue(run);
}

asio::awaitable<void> runItem(BatchStatePtr state, std::shared_ptr<RunningItem> run)
{
    const RunLimits limits = limitsFor(*state, run->group->job->workspace);
    GenerateCall call = callFor(*state, *run);
    auto opened = co_await openStream(state, run, std::move(call), limits.timeouts);
    if (run->ended) {
        co_return;
    }
    if (!isOk(opened)) {
        co_await handleFailure(state, run, errorOf(opened), limits.maxAttempts);
        co_return;
    }
    run->stream = std::move(valueOf(opened));
    run->opened = true;
    TimePoint begin{};
    unsigned tokens = 0;
    for (;;) {
        auto event = co_await readToken(run->stream, limits.timeouts.idle);
        if (run->ended) {
            co_return;
        }
        if (!isOk(event)) {
            co_await handleFailure(state, run, errorOf(event), limits.maxAttempts);
            co_return;
        }
        if (!valueOf(event)) {
            finishRun(*state, run, begin, tokens);
            co_return;
        }
        appendEvent(run->group->items[run->item], *valueOf(event));
        // The time to the first event includes the wait for a slot and the prefill, so the time per token is measured from that event on.
        tokens += begin == TimePoint{} ? 0 : valueOf(event)->tokens;
        begin = begin == TimePoint{} ? BootClock::now() : begin;
    }
}

} // namespace

bool startItem(const BatchStatePtr &state, const TargetView &view, const std::shared_ptr<HeldGroup> &group, std::size_t item, bool exclusive)
{
    const GroupContext context = groupContext(*state, group->job->id);
    if (!mayProcessGroup(context)) {
        return false;
    }
    checkItemStart(context);
    BatchTarget &target = state->targets[view.info.id];
    auto run = std::make_shared<RunningItem>();
    run->number = ++state->lastRunNumber;
    run->target = view.info.id;
    run->endpoint = view.info.endpoint;
    run->group = group;
    run->item = item;
    run->exclusive = exclusive;
    target.running.push_back(run);
    recordStreamStarted(*state->context.loads, run->target, StreamKind::Batch, context.now);
    startTask(state->context.batch.get_executor(), "run of an item", runItem(state, run), [state, run] {
        resetFailedRun(*state, run);
    });
    return true;
}

void abortRun(BatchState &state, const std::shared_ptr<RunningItem> &run)
{
    if (run->ended) {
        return;
    }
    endRun(state, run);
    requeue(run);
    if (run->opened) {
        abortGenerate(run->stream);
    } else {
        run->cancel.emit(asio::cancellation_type::terminal);
    }
}

unsigned abortRuns(BatchState &state, const HeldGroup *group)
{
    std::vector<std::shared_ptr<RunningItem>> runs;
    for (const auto &[id, target] : state.targets) {
        std::copy_if(target.running.begin(), target.running.end(), std::back_inserter(runs), [group](const auto &run) {
            return group == nullptr || run->group.get() == group;
        });
    }
    // Newest first: each item is put at the front of its queue, so the items end up in their original order.
    std::sort(runs.begin(), runs.end(), [](const auto &left, const auto &right) {
        return left->number > right->number;
    });
    for (const auto &run : runs) {
        abortRun(state, run);
    }
    return static_cast<unsigned>(runs.size());
}

unsigned yieldStreams(BatchState &state, const TargetId &id, unsigned count)
{
    BatchTarget &target = state.targets[id];
    const std::size_t before = target.running.size();
    const std::size_t yielded = std::min<std::size_t>(before, count);
    const std::size_t allowed = before - yielded;
    for (std::size_t i = 0; i < yielded; ++i) {
        const auto newest = target.running.back();
        abortRun(state, newest);
    }
    SKY_INVARIANT(Promise::OnlineFirst, target.running.size() <= allowed && loadOf(*state.context.loads, id).batch <= allowed);
    target.yieldCapUntil = BootClock::now() + yieldCapDuration;
    target.yieldCap = static_cast<unsigned>(allowed);
    if (yielded > 0) {
        addCounter(*state.context.metrics, "skylark_batch_items_yielded_total", {}, static_cast<double>(yielded));
        logBatch(state, "yielded " + std::to_string(yielded) + " streams on target " + id.value + ", " + std::to_string(allowed) + " remain");
    }
    return static_cast<unsigned>(yielded);
}

} // namespace skylark
