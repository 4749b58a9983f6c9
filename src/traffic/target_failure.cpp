/** @file target_failure.cpp Handles failed calls to targets: target health, pooled connections and the run state of the request. */
#include "traffic/target_failure_func.h"

#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "core/task_func.h"
#include "engine/engine_client_func.h"
#include "policy/retry_func.h"
#include "policy/silence_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Minimum interval between checks whether a target that refuses calls is leaving. */
constexpr std::chrono::milliseconds drainCheckInterval{200};
/** Time after which a target that was marked as leaving is asked again; the list of targets and the load reports show it by then. */
constexpr std::chrono::seconds leavingRetention{30};

HttpTimeouts shortTimeouts()
{
    using std::chrono::milliseconds;
    return {milliseconds(300), milliseconds(300), milliseconds(500), milliseconds(500)};
}

/** Records that @p target is leaving: it gets no new work, and its idle connections are closed. @param source How it was learned; logged. */
void markLeaving(CallerServer::Impl &impl, const TargetInfo &target, std::string_view source)
{
    const TimePoint now = BootClock::now();
    impl.leavingSince[target.id] = now;
    httpCloseIdle(*impl.http, target.endpoint, now);
    logDecision(impl.context.decisions, "route", {}, "target " + target.id.value + " is leaving: its " + std::string(source) + " says draining");
    if (impl.context.reportTargetLeaving) {
        impl.context.reportTargetLeaving(target.id);
    }
}

/** Reads the load report of @p target. A draining target is leaving; one that is not draining serves again unless it was marked as leaving lately. */
asio::awaitable<void> checkDraining(std::shared_ptr<CallerServer::Impl> impl, TargetInfo target)
{
    const auto report = co_await readLoad(impl->http, target.endpoint, shortTimeouts());
    if (!isOk(report)) {
        co_return;
    }
    if (valueOf(report).draining) {
        markLeaving(*impl, target, "load report");
    } else if (isLeavingDoubtful(*impl, target.id, BootClock::now())) {
        impl->leavingSince.erase(target.id);
    }
}

/** Asks the engine to cancel an attempt by id, as it may not see the closed connection. */
asio::awaitable<void> cancelUnresponsive(std::shared_ptr<HttpClient> http, Endpoint endpoint, RequestId attempt)
{
    co_await cancelGenerate(std::move(http), std::move(endpoint), std::move(attempt), shortTimeouts());
}

} // namespace

bool isLeavingDoubtful(const CallerServer::Impl &impl, const TargetId &target, TimePoint now)
{
    const auto found = impl.leavingSince.find(target);
    return found != impl.leavingSince.end() && now - found->second >= leavingRetention;
}

void startDrainCheck(CallerServer::Impl &impl, const TargetInfo &target)
{
    const TimePoint now = BootClock::now();
    TimePoint &checked = impl.drainCheckedAt[target.id];
    if (checked != TimePoint{} && now - checked < drainCheckInterval) {
        return;
    }
    checked = now;
    startTask(impl.http->executor, "check of a target", checkDraining(impl.shared_from_this(), target));
}

bool isUnresponsive(ErrorCode code)
{
    return code == ErrorCode::FirstByteTimeout || code == ErrorCode::IdleTimeout || code == ErrorCode::ConnectTimeout || code == ErrorCode::SendFailed;
}

void dropSilentConnections(CallerServer::Impl &impl, const Endpoint &endpoint)
{
    httpCloseIdle(*impl.http, endpoint, BootClock::now());
    const auto left = impl.http->idle.find(endpoint);
    SKY_INVARIANT(Promise::SilentConnection, left == impl.http->idle.end() || left->second.empty());
    addCounter(*impl.context.metrics, "skylark_silent_connections_total");
}

void recordCallFailure(CallerServer::Impl &impl, RequestContext &context, const TargetInfo &target, const RequestId &attempt, const Error &error)
{
    context.mayHaveRun = context.mayHaveRun || error.run == RunState::Maybe;
    if (context.callerGone) {
        return;
    }
    const TimePoint now = BootClock::now();
    if (isUnresponsive(error.code)) {
        dropSilentConnections(impl, target.endpoint);
    }
    if (error.run == RunState::Maybe && isUnresponsive(error.code) && target.kind == TargetKind::Engine) {
        startTask(impl.http->executor, "cancellation of an attempt", cancelUnresponsive(impl.http, target.endpoint, attempt));
    }
    if (error.targetLeaving) {
        markLeaving(impl, target, "refusal");
        return;
    }
    if (error.code == ErrorCode::TargetOverloaded) {
        startDrainCheck(impl, target);
        return;
    }
    if (error.code == ErrorCode::ConnectFailed) {
        recordConnectionRefused(*impl.context.loads, target.id, now);
        return;
    }
    if (isSoundSilence(error, std::chrono::duration_cast<std::chrono::milliseconds>(now - context.progressAt))) {
        addCounter(*impl.context.metrics, "skylark_target_silences_total", {{"target", target.id.value}});
        return;
    }
    if (isTargetFailure(error.code)) {
        recordStreamFailure(*impl.context.loads, target.id, now);
    }
}

Error finalError(const RequestContext &context, Error error, const std::optional<Error> &lastAttempt)
{
    if (!context.mayHaveRun) {
        return error;
    }
    if (!errorInfo(error.code).mayHaveRun && lastAttempt && errorInfo(lastAttempt->code).mayHaveRun) {
        error = *lastAttempt;
    }
    error.run = RunState::Maybe;
    return error;
}

OnlineStreamGuard::OnlineStreamGuard(TargetLoadTable &loads, TargetId counted)
    : table(loads)
    , target(std::move(counted))
{
    recordStreamStarted(this->table, this->target, StreamKind::Online, BootClock::now());
}

OnlineStreamGuard::~OnlineStreamGuard()
{
    recordStreamEnded(this->table, this->target, StreamKind::Online, BootClock::now());
}

} // namespace skylark
