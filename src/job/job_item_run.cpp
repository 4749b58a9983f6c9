/** @file job_item_run.cpp Runs a batch item on a target. */
#include "core/event_log_func.h"
#include "core/table/error_table.h"
#include "job/job_runner_base.h"
#include "policy/crash_quarantine_func.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds sendTimeout{2000}; ///< Time limit of sending an item.
constexpr milliseconds firstAnswerTimeout{3000}; ///< Time limit of the first answer; an item may have to wait because online requests take the free slot first.
constexpr milliseconds gapTimeout{2000}; ///< Maximum pause between reads of an answer; after it another target continues the item.
constexpr milliseconds runTimeLimit{60000}; ///< Time that a target may spend on an item in one run.
constexpr std::size_t maxOutputBytes = std::size_t{1} << 20U; ///< Maximum output of an item; the store takes no larger values.
constexpr std::size_t maxDrainedBytes = std::size_t{64} << 10U; ///< A longer rest of an answer costs more than a new connection.
constexpr int runTimeSamples = 8; ///< Weight of the former average of the run time, plus one for the new sample.
constexpr int statusUnprocessable = 422; ///< HTTP status by which a target says that the item can never be done.
constexpr std::size_t avoidedTargets = 2; ///< Number of most recently failed targets that an item avoids.

Error interruptedError(const ItemRun &run)
{
    return makeError(ErrorCode::Cancelled, run.yielded ? "yielded" : "cancelled", RunState::Maybe);
}

/** Reads the events of an answer into the item. @param version Version of the target. @return Done when the output is complete, otherwise StreamBroken,
 * Cancelled, or the error of splitEvents() or of the connection. */
asio::awaitable<Result<Done>> readOutput(Proxy &proxy, ItemRun &run, const PromptParts &prompt, ServiceVersion version, HttpExchange &exchange)
{
    run.splitter.partial.clear();
    TimePoint progressAt = BootClock::now(); // Only events are progress: a stalled target may still send a byte now and then.
    for (;;) {
        const auto left = gapTimeout - std::chrono::duration_cast<milliseconds>(BootClock::now() - progressAt);
        if (left.count() <= 0 || run.text.size() > maxOutputBytes) {
            httpAbort(exchange);
            co_return makeError(ErrorCode::IdleTimeout, "no event in time, or the output exceeds the size limit", RunState::Maybe);
        }
        auto piece = co_await httpRead(exchange, left);
        if (run.yielded || run.cancelled) {
            co_return interruptedError(run);
        }
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            break;
        }
        auto events = splitEvents(run.splitter, *valueOf(piece));
        if (!isOk(events)) {
            co_return errorOf(events);
        }
        for (const StreamEvent &event : valueOf(events)) {
            run.text += run.events > 0 ? "\n" : "";
            run.text += event.data;
            ++run.events;
            run.origin = version;
            run.targetEnds = 0;
            recordEvents(proxy, prompt, run.progress, 1);
            progressAt = BootClock::now();
        }
    }
    if (!isAtEventBoundary(run.splitter) || run.events == 0) {
        co_return makeError(ErrorCode::StreamBroken, "answer ended within an event or before the first one", RunState::Maybe);
    }
    co_return Done{};
}

/** @param removesAccessHeaders Whether callers need keys, so that only the host may name a workspace. */
ProxyCall makeItemCall(const CallWire &wire, const KnownJob &known, const JobItem &item, bool removesAccessHeaders)
{
    ProxyCall call;
    call.prompt = wire.readPromptParts(item.headers);
    call.id.value = item.id;
    call.workspace = known.record.workspace;
    call.method = "POST";
    call.target = item.path;
    call.host = known.record.host;
    call.headers = item.headers;
    if (removesAccessHeaders) {
        wire.removeAccessHeaders(call.headers);
    }
    call.body = item.body;
    return call;
}

/** Reads and discards the rest of an answer, so that its connection can be reused; closes the connection when the answer is long. */
asio::awaitable<void> drainResponse(HttpExchange &exchange)
{
    std::size_t bytes = 0;
    while (bytes <= maxDrainedBytes) {
        auto piece = co_await httpRead(exchange, gapTimeout);
        if (!isOk(piece) || !valueOf(piece)) {
            co_return;
        }
        bytes += valueOf(piece)->size();
    }
    httpAbort(exchange);
}

/** Sends the item and reads the output. */
asio::awaitable<Result<Done>> runOnTarget(RunnerPtr runner, std::shared_ptr<ItemRun> run, ProxyCall call, TargetEntry target)
{
    Proxy &proxy = *runner->proxy;
    const TargetRequestParams params{target.id, runTimeLimit, run->splitter.lastId};
    HttpRequest request = proxy.wire.encode(call, params);
    const HttpTimeouts timeouts{targetConnectTimeout, sendTimeout, firstAnswerTimeout, gapTimeout};
    run->abort = std::make_shared<HttpAbortHandle>();
    run->progress = {};
    run->unsolicitedBytes = false;
    const TimePoint sentAt = BootClock::now();
    recordSend(proxy.rateLimits, target.id, sentAt);
    auto opened = co_await httpOpen(proxy.http, target.endpoint, std::move(request), timeouts, ConnectionUse::Pooled, run->abort);
    if (run->yielded || run->cancelled) {
        co_return interruptedError(*run);
    }
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    HttpExchange &exchange = valueOf(opened);
    const AnswerHead head = readAnswer(proxy, target, exchange, call.id, sentAt);
    const int status = exchange.status;
    if (head.notRun && answersRequest(head, status, call.id)) {
        co_await drainResponse(exchange);
        co_return makeError(ErrorCode::TargetOverloaded, std::to_string(status), RunState::No);
    }
    if (head.requestId != call.id.value || !answersRequest(head, status, call.id)) {
        httpAbort(exchange);
        co_return makeError(ErrorCode::ResponseMismatch, head.requestId, RunState::Maybe);
    }
    if (status != 200) {
        co_await drainResponse(exchange);
        const ErrorCode code = status == statusUnprocessable ? ErrorCode::TargetRejected : ErrorCode::TargetFailed;
        co_return makeError(code, std::to_string(status), RunState::Maybe);
    }
    run->progress.answerBegun = true;
    run->reading = &exchange;
    auto outcome = co_await readOutput(proxy, *run, call.prompt, versionOf(target), exchange);
    run->reading = nullptr;
    run->unsolicitedBytes = exchange.unsolicitedBytes;
    co_return outcome;
}

void finishItem(OwnedJob &owned, ItemRun &run, ItemState state)
{
    run.phase = ItemPhase::Finished;
    run.state = state;
    if (state == ItemState::Failed) {
        run.text.clear();
    }
    if (owned.firstFinishedAt == TimePoint{}) {
        owned.firstFinishedAt = BootClock::now();
    }
}

/** Handles a failed run: the item fails for good, or becomes pending again with a delay and avoids the target. */
void handleFailedRun(JobRunner::Impl &runner, const JobId &job, OwnedJob &owned, ItemRun &run, const TargetEntry &target, const Error &error)
{
    const RouteRule *route = routeOf(runner, runner.registry->jobs.at(job).record);
    const unsigned maxAttempts = route != nullptr ? std::max(1U, route->maxAttempts) : 1;
    run.failures += error.code == ErrorCode::TargetFailed ? 1 : 0;
    run.targetEnds += isTargetEnd(error) && run.progress.events == 0 ? 1 : 0;
    // An item that cannot be written as one request was accepted by an earlier version, and can never be sent.
    const bool impossible = error.code == ErrorCode::TargetRejected || error.code == ErrorCode::InvalidRequest;
    if (impossible || run.failures >= maxAttempts) {
        finishItem(owned, run, ItemState::Failed);
        return;
    }
    run.phase = ItemPhase::Pending;
    run.notBefore = BootClock::now() + itemRetryDelay(run.failures, run.targetEnds);
    run.avoided.push_back(target.id);
    if (run.avoided.size() > avoidedTargets) {
        run.avoided.erase(run.avoided.begin());
    }
    if (error.code != ErrorCode::TargetFailed) {
        recordTargetFailure(*runner.proxy, target);
    }
}

} // namespace

void interruptRun(ItemRun &run)
{
    if (run.abort) {
        httpAbortOpening(*run.abort);
    }
    if (run.reading != nullptr) {
        httpAbort(*run.reading);
    }
}

void discardOutput(ItemRun &run)
{
    run.splitter = {};
    run.text.clear();
    run.events = 0;
    run.origin.reset();
    run.versionMissedAt = {};
}

void resetFailedRun(ItemRun &run)
{
    run.abort.reset();
    run.reading = nullptr; // The exchange was destroyed with the coroutine.
    run.yielded = false;
    if (run.cancelled || run.phase != ItemPhase::Running) {
        return;
    }
    ++run.exceptions;
    run.phase = ItemPhase::Pending;
    run.notBefore = BootClock::now() + itemRetryDelay(run.failures, run.exceptions);
}

asio::awaitable<void> runItem(
    RunnerPtr runner, JobId job, std::uint32_t index, std::shared_ptr<ItemRun> run, TargetEntry target, std::shared_ptr<const InFlightGuard> guard)
{
    const auto known = runner->registry->jobs.find(job);
    if (known == runner->registry->jobs.end() || index >= known->second.items.size()) {
        run->phase = ItemPhase::Pending;
        co_return;
    }
    const std::string item = known->second.items[index].id;
    const auto config = runner->proxy->fleet->config;
    ProxyCall call = makeItemCall(runner->proxy->wire, known->second, known->second.items[index], !config || config->workspaces);
    const PromptParts prompt = call.prompt;
    recordTrial(runner->proxy->quarantine, prompt, BootClock::now());
    const Result<Done> outcome = co_await runOnTarget(runner, run, std::move(call), target);
    guard.reset();
    run->abort.reset();
    run->reading = nullptr;
    const auto owned = runner->owned.find(job);
    if (run->cancelled || owned == runner->owned.end() || run->phase != ItemPhase::Running) {
        co_return;
    }
    const auto runTime = std::chrono::duration_cast<milliseconds>(BootClock::now() - run->startedAt);
    const auto took = runTime.count();
    if (isOk(outcome)) {
        runner->itemRunTime = runner->itemRunTime.count() == 0 ? runTime : (runner->itemRunTime * (runTimeSamples - 1) + runTime) / runTimeSamples;
        recordTargetSuccess(*runner->proxy, target.id, {});
        if (run->unsolicitedBytes) {
            recordUnsolicitedBytes(*runner->proxy, target, item);
        }
        recordSoundRun(*runner->proxy, prompt);
        finishItem(owned->second, *run, ItemState::Completed);
        logEvent(EventKind::ItemFinished, item, {{"job", job.value}, {"state", "completed"}, {"events", run->events}, {"took_ms", took}});
        addCounter(*runner->proxy->metrics, "skylark_items_total", {{"outcome", "completed"}});
        co_return;
    }
    if (run->yielded) {
        run->yielded = false;
        run->phase = ItemPhase::Pending;
        addCounter(*runner->proxy->metrics, "skylark_items_yielded_total");
        co_return;
    }
    const Error &error = errorOf(outcome);
    if (error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ConnectTimeout) {
        recordUnreachable(*runner->proxy, target.id);
        watchLinks(runner->proxy);
    }
    recordFailedRun(*runner->proxy, target.id, prompt, run->progress, error);
    handleFailedRun(*runner, job, owned->second, *run, target, error);
    logEvent(EventKind::ItemFailed,
             item,
             {{"job", job.value},
              {"target", target.id.value},
              {"error", errorInfo(error.code).name},
              {"detail", error.detail},
              {"failures", run->failures},
              {"events", run->events},
              {"phase", runPhaseName(phaseOf(run->progress))},
              {"prompt_parts", promptPartsText(prompt)}});
    if (run->phase == ItemPhase::Finished) {
        logEvent(EventKind::ItemFinished, item, {{"job", job.value}, {"state", "failed"}, {"events", run->events}, {"took_ms", took}});
        addCounter(*runner->proxy->metrics, "skylark_items_total", {{"outcome", "failed"}});
    }
}

} // namespace skylark
