/** @file item_run.cpp One batch item on a target: stream, yield, failure. */
#include "batch/batch_internal_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "policy/claim_func.h"
#include "policy/item_attempt_func.h"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto refusalPause = std::chrono::milliseconds(250); ///< A target that refuses is asked again after half a load report.
constexpr auto holdAfterYield = std::chrono::milliseconds(600); ///< The online request of another host shows in its next status datagram.
constexpr HttpTimeouts probeTimeouts{
    std::chrono::milliseconds(300), std::chrono::milliseconds(300), std::chrono::milliseconds(700), std::chrono::milliseconds(700)};

/** Limits of one attempt. */
struct RunLimits {
    HttpTimeouts timeouts; ///< Of the stream.
    unsigned maxAttempts{4}; ///< Of the item.
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

/** Takes the stream off its target. */
void endRun(BatchState &state, const std::shared_ptr<RunningItem> &run)
{
    run->ended = true;
    std::erase(state.targets[run->target].running, run);
    noteStreamEnded(*state.context.loads, run->target, StreamKind::Batch, BootClock::now());
}

void requeue(const std::shared_ptr<RunningItem> &run)
{
    HeldGroup &group = *run->group;
    (group.items[run->item].history.suspect ? group.suspects : group.waiting).push_front(run->item);
}

void recordResult(BatchState &state, HeldGroup &group, BatchItem &item, std::string line)
{
    item.resultLine = std::move(line);
    item.text.clear();
    --group.left;
    ++state.itemsFinished;
    addCounter(*state.context.metrics, item.failed ? "skylark_batch_items_failed_total" : "skylark_batch_items_finished_total");
    wakePump(state);
}

void recordFailure(BatchState &state, const std::shared_ptr<RunningItem> &run, const AttemptDecision &decision, const Error &error)
{
    BatchItem &item = run->group->items[run->item];
    item.failed = true;
    recordResult(state, *run->group, item, renderItemFailure(item, decision.failure, error.detail));
}

/** @return Whether a failure of this code can mean that the target died. */
bool mayMeanDeath(ErrorCode code)
{
    return code == ErrorCode::StreamBroken || code == ErrorCode::SendFailed || code == ErrorCode::FirstByteTimeout || code == ErrorCode::IdleTimeout;
}

void noteTargetFailure(BatchState &state, const RunningItem &run, const Error &error)
{
    const TimePoint now = BootClock::now();
    if (error.code == ErrorCode::TargetRejected) {
        return;
    }
    BatchTarget &target = state.targets[run.target];
    if (error.code == ErrorCode::TargetOverloaded) {
        target.pausedUntil = now + std::clamp<std::chrono::milliseconds>(error.retryAfter.value_or(refusalPause), refusalPause, std::chrono::seconds(5));
        if (error.detail.find("draining") != std::string::npos && state.context.reportLeaving) {
            state.context.reportLeaving(run.target);
        }
        return;
    }
    target.pausedUntil = now + refusalPause;
    noteFailure(*state.context.loads, run.target, now);
}

asio::awaitable<void> handleFailure(BatchStatePtr state, std::shared_ptr<RunningItem> run, Error error, unsigned maxAttempts)
{
    const bool alone = !run->shared && loadOf(*state->context.loads, run->target).online == 0;
    endRun(*state, run);
    noteTargetFailure(*state, *run, error);
    bool died = false;
    if (mayMeanDeath(error.code)) {
        auto report = co_await readLoad(state->http, run->endpoint, probeTimeouts);
        died = !isOk(report);
    }
    if (run->group->phase == GroupPhase::Dropped) {
        co_return;
    }
    BatchItem &item = run->group->items[run->item];
    AttemptDecision decision = nextAttempt(item.history, {run->target, error.code, died, alone}, maxAttempts);
    item.history = std::move(decision.history);
    if (decision.action == AttemptAction::Fail) {
        recordFailure(*state, run, decision, error);
        co_return;
    }
    addCounter(*state->context.metrics, "skylark_batch_items_retried_total");
    requeue(run);
    wakePump(*state);
}

asio::awaitable<Result<GenerateStream>> openStream(BatchStatePtr state, std::shared_ptr<RunningItem> run, GenerateCall call, HttpTimeouts timeouts)
{
    // The opening runs as a coroutine of its own, because only that can be cancelled before the stream exists.
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

void takeEvent(BatchItem &item, const TokenEvent &event)
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
    endRun(state, run);
    noteSuccess(*state.context.loads, run->target, now);
    if (tokens > 1) {
        const double tokenMs = std::chrono::duration<double, std::milli>(now - begin).count() / tokens;
        noteTokenTiming(*state.context.loads, run->target, std::nullopt, tokenMs, now);
    }
    BatchItem &item = run->group->items[run->item];
    recordResult(state, *run->group, item, renderItemResult(item, run->group->model));
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
        takeEvent(run->group->items[run->item], *valueOf(event));
        // The first event also carries the wait for a slot and the prefill, so the time per token counts from it.
        tokens += begin == TimePoint{} ? 0 : valueOf(event)->tokens;
        begin = begin == TimePoint{} ? BootClock::now() : begin;
    }
}

} // namespace

bool startItem(const BatchStatePtr &state, const TargetView &view, const std::shared_ptr<HeldGroup> &group, std::size_t item, bool alone)
{
    const GroupContext context = groupContext(*state, group->job->id);
    if (!mayAffectGroup(context)) {
        return false;
    }
    checkItemStart(context);
    BatchTarget &target = state->targets[view.info.id];
    auto run = std::make_shared<RunningItem>();
    run->number = ++state->nextNumber;
    run->target = view.info.id;
    run->endpoint = view.info.endpoint;
    run->group = group;
    run->item = item;
    run->alone = alone;
    run->shared = !target.running.empty();
    for (const auto &other : target.running) {
        other->shared = true;
    }
    target.running.push_back(run);
    noteStreamStarted(*state->context.loads, run->target, StreamKind::Batch, context.now);
    asio::co_spawn(state->context.batch, runItem(state, run), asio::detached);
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
    // The newest first, so that the items are again in their order at the front of their groups.
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
    target.holdUntil = BootClock::now() + holdAfterYield;
    target.holdAt = static_cast<unsigned>(allowed);
    if (yielded > 0) {
        addCounter(*state.context.metrics, "skylark_batch_items_yielded_total", {}, static_cast<double>(yielded));
        logBatch(state, "yielded " + std::to_string(yielded) + " streams on target " + id.value + ", " + std::to_string(allowed) + " remain");
    }
    return static_cast<unsigned>(yielded);
}

} // namespace skylark
