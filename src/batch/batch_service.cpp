/** @file batch_service.cpp Creation of the batch service, and functions shared by its source files. */
#include "batch/batch_service_func.h"

#include "batch/batch_internal_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto maxKvBackoff = std::chrono::seconds(10); ///< Spreads the first calls of all hosts after a long outage over this time.
constexpr auto minKvBackoff = std::chrono::milliseconds(200); ///< Backoff after a single failed call.
constexpr auto kvCallBurst = std::chrono::seconds(1); ///< Unused time that an idle host accumulates for a burst of calls.

/** @return Whether the error can mean that the key-value service is out of reach or overloaded. */
bool isOutage(ErrorCode code)
{
    return code == ErrorCode::PlatformUnavailable || code == ErrorCode::OutcomeUnknown || code == ErrorCode::RateLimited;
}

} // namespace

Result<std::shared_ptr<BatchService>> BatchService::create(HostContext &context, std::shared_ptr<BlobCluster> blobs)
{
    auto http = HttpClient::create(context.batch.get_executor());
    auto kv = KvClient::create(context.settings->platform, http);
    if (!isOk(kv)) {
        return errorOf(kv);
    }
    auto service = std::make_shared<BatchService>();
    service->impl = std::make_shared<BatchState>(context, std::move(blobs), std::move(http), std::move(valueOf(kv)));
    service->impl->randomState = context.settings->seed != 0 ? context.settings->seed : hash64(randomIdHex());
    return service;
}

void startBatch(BatchService &service)
{
    asio::post(service.impl->context.batch, [state = service.impl] {
        if (!std::exchange(state->started, true)) {
            startLoop(state->context.batch.get_executor(), "batch execution", [state] {
                return executionLoop(state);
            });
        }
    });
}

void yieldBatch(BatchService &service, const TargetId &target, unsigned slots)
{
    yieldStreams(*service.impl, target, slots);
}

void preemptForOnline(BatchService &service, const TargetId &target, unsigned streams, bool byPeer)
{
    preemptForArrivals(*service.impl, target, streams, byPeer);
}

std::string batchStatusJson(const BatchService &service)
{
    const std::scoped_lock lock(service.impl->statusMutex);
    return service.impl->statusJson;
}

std::shared_ptr<const ControlSnapshot> snapshotOf(const BatchState &state)
{
    return state.context.snapshot->current.load();
}

JobState jobStateOf(const BatchState &state, const JobId &job)
{
    if (state.endedJobs.contains(job)) {
        return JobState::Cancelled;
    }
    const auto snapshot = snapshotOf(state);
    for (const auto &record : snapshot->jobs) {
        if (record->id == job) {
            return record->state;
        }
    }
    // A snapshot without the job does not mean that the job has ended: the control thread may still be reading the job list.
    return JobState::Active;
}

GroupContext groupContext(const BatchState &state, const JobId &job)
{
    const auto snapshot = snapshotOf(state);
    return {snapshot->session, BootClock::now(), snapshot->leaseDeadline, jobStateOf(state, job)};
}

WriteId newWriteId()
{
    return {randomIdHex()};
}

asio::awaitable<void> pauseFor(asio::any_io_executor executor, std::chrono::nanoseconds delay)
{
    asio::steady_timer timer(executor, std::chrono::duration_cast<asio::steady_timer::duration>(delay));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void wakeExecutionLoop(BatchState &state)
{
    state.loopTimer.cancel();
}

void recordKvOutcome(BatchState &state, const std::optional<ErrorCode> &failure)
{
    const TimePoint now = BootClock::now();
    if (!failure || !isOutage(*failure)) {
        state.kvUnavailable = false;
        return;
    }
    if (!std::exchange(state.kvUnavailable, true)) {
        state.kvOutageBegin = now;
    }
    // The backoff has jitter and grows with the outage, so that the first calls of the hosts after a long outage are spread over up to ten seconds.
    const auto outage = std::clamp<std::chrono::nanoseconds>(now - state.kvOutageBegin, minKvBackoff, maxKvBackoff);
    const auto share = static_cast<double>(nextRandom(state.randomState) >> 11U) / static_cast<double>(1ULL << 53U);
    state.kvRetryAt = now + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(outage.count()) * (0.5 + share / 2)));
}

bool mayCallKv(const BatchState &state)
{
    return BootClock::now() >= state.kvRetryAt;
}

asio::awaitable<void> throttleKvCall(BatchStatePtr state)
{
    const auto rate = std::max(1U, state->context.settings->platformCallsPerSecond);
    const TimePoint now = BootClock::now();
    state->nextKvCallAt = std::max(state->nextKvCallAt + std::chrono::nanoseconds(std::chrono::seconds(1)) / rate, now - kvCallBurst);
    if (state->nextKvCallAt > now) {
        co_await pauseFor(state->context.batch.get_executor(), state->nextKvCallAt - now);
    }
}

asio::awaitable<Result<KvVersion>> writeRecord(BatchStatePtr state, std::string key, std::string value, WriteId writeId, KvVersion expected)
{
    ++state->recordWrites;
    // The lease is passed as a variable, because g++ 12 destroys a default argument twice inside co_await.
    const LeaseId noLease;
    auto written = co_await kvPutVerified(*state->kv, std::move(key), std::move(value), std::move(writeId), expected, noLease);
    recordKvOutcome(*state, isOk(written) ? std::nullopt : std::optional(errorOf(written).code));
    co_return written;
}

void logBatch(BatchState &state, std::string text)
{
    logDecision(state.context.decisions, "batch", {}, std::move(text));
}

} // namespace skylark
