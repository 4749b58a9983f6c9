/** @file forward.cpp Passing one request on to a target: placement, retries, resumption and the final answer. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "proxy/event_splitter_base.h"
#include "proxy/proxy_base.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <optional>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds connectTimeout{250}; ///< Opening a connection: many round trips between failure domains; a target that drops connections is left.
constexpr milliseconds silentFirst{1200}; ///< First answer of a repeatable request, after which another target is tried; queues are kept far shorter.
constexpr milliseconds silentGap{700}; ///< Pause within a resumable stream after which another target goes on; a step takes a few milliseconds.
constexpr milliseconds defaultPatience{30000}; ///< Time that a caller waits when neither it nor the route says.
constexpr milliseconds noTargetDelay{500}; ///< Return of a caller when no target is known: heartbeats come about once a second.
constexpr milliseconds notReadyDelay{500}; ///< Return of a caller when the host does not know the configuration yet.
constexpr milliseconds placeAgain{20}; ///< Time between two looks for a target that goes on with a stream.
constexpr unsigned maxRefusalsByTargets = 6; ///< Targets that may say that they did not run one request before it is refused.
constexpr milliseconds usualServiceTime{700}; ///< Time that an online stream holds a slot.

/** One request on its way. */
struct Forwarding {
    std::shared_ptr<Proxy> proxy; ///< Traffic thread's state.
    HttpResponder &responder; ///< Caller.
    ProxyCall call; ///< Request.
    DomainId domain; ///< The host's failure domain.
    std::shared_ptr<const RoutingConfig> config; ///< Configuration by which it is handled.
    const RouteRule *route{nullptr}; ///< Its route in @c config.
    ServiceId service; ///< Chosen service.
    TimePoint arrivedAt{}; ///< Time of arrival.
    TimePoint limit{}; ///< Time at which it gets its final answer.
    TargetId target; ///< Target of the present or last attempt.
    std::vector<TargetId> tried; ///< Targets that did not serve it.
    unsigned runs{0}; ///< Targets on which it may have run.
    unsigned refusals{0}; ///< Targets that said that they did not run it.
    EventSplitter splitter; ///< Events passed on so far.
    std::uint64_t events{0}; ///< Number of events passed on.
    TimePoint lastEventAt{}; ///< Time of the last event.
    milliseconds longestGap{0}; ///< Longest time between two events.
    bool started{false}; ///< Whether a part of the answer was sent to the caller.
    std::optional<TimePoint> firstAt; ///< Time of the first event or of the answer.
    std::shared_ptr<HttpAbortHandle> abort; ///< Cuts the exchange being opened.
    HttpExchange *reading{nullptr}; ///< Exchange being read.
    bool callerGone{false}; ///< Whether the caller has left.
};

/** How one attempt on a target ended. */
enum class AttemptEnd : std::uint8_t {
    Answered, ///< The caller has the whole answer.
    NotRun, ///< The target did not run the request.
    Failed, ///< It may have run; the answer is not whole.
    CallerGone, ///< The caller has left.
};

struct Attempt {
    AttemptEnd end{AttemptEnd::Failed}; ///< Outcome.
    Error error; ///< Reason, unless answered.
    std::optional<HttpResponse> answer; ///< Failure that the target itself reported, to be passed on if nobody does better.
};

milliseconds since(TimePoint then)
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - then);
}

milliseconds leftOf(const Forwarding &forwarding)
{
    return std::chrono::duration_cast<milliseconds>(forwarding.limit - BootClock::now());
}

std::string retryAfterText(milliseconds delay)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(delay.count()) / 1000.0);
    return {text.data(), static_cast<std::size_t>(length)};
}

void logAnswered(const Forwarding &forwarding, int status, std::string_view outcome)
{
    const auto &route = forwarding.route != nullptr ? forwarding.route->name : std::string();
    const auto took = since(forwarding.arrivedAt);
    const std::int64_t first = forwarding.firstAt ? std::chrono::duration_cast<milliseconds>(*forwarding.firstAt - forwarding.arrivedAt).count() : -1;
    addCounter(*forwarding.proxy->metrics, "skylark_requests_total", {{"route", route}, {"outcome", outcome}});
    observe(*forwarding.proxy->metrics, "skylark_request_seconds", {{"route", route}}, took);
    if (forwarding.firstAt) {
        observe(*forwarding.proxy->metrics, "skylark_first_answer_seconds", {{"route", route}}, milliseconds(first));
    }
    const auto write = outcome == "ok" ? logSampled : logEvent;
    write(EventKind::Answered,
          forwarding.call.id.value,
          {{"route", route},
           {"status", status},
           {"outcome", outcome},
           {"took_ms", took.count()},
           {"first_ms", first},
           {"attempts", forwarding.runs},
           {"events", forwarding.events},
           {"longest_gap_ms", forwarding.longestGap.count()},
           {"target", forwarding.target.value}});
}

/** Refuses a request that no target can have run. */
asio::awaitable<void> refuse(Forwarding &forwarding, std::string_view reason, milliseconds delay, unsigned online, unsigned slots)
{
    SKY_INVARIANT(Promise::NotRun, forwarding.runs == 0 || isRepeatable(*forwarding.route));
    logEvent(EventKind::Refused,
             forwarding.call.id.value,
             {{"route", forwarding.route->name},
              {"reason", reason},
              {"online", online},
              {"slots", slots},
              {"retry_after_ms", delay.count()},
              {"config", forwarding.config->version.value},
              {"left_ms", leftOf(forwarding).count()}});
    addCounter(*forwarding.proxy->metrics, "skylark_refusals_total", {{"route", forwarding.route->name}, {"reason", reason}});
    co_await sendFailure(*forwarding.proxy, forwarding.responder, 503, reason, delay);
}

/** Refuses because no target can take the request in time. */
asio::awaitable<void> refuseFull(Forwarding &forwarding, const std::vector<SpreadCandidate> &candidates, SpreadReason reason)
{
    RefusalInput input{.serviceTime = usualServiceTime, .remaining = leftOf(forwarding), .draw = nextRandom(forwarding.proxy->random)};
    for (const SpreadCandidate &candidate : candidates) {
        input.online += candidate.online;
        input.slots += candidate.slots;
    }
    const milliseconds delay = reason == SpreadReason::NoTarget ? noTargetDelay : refusalDelay(input);
    co_await refuse(forwarding, spreadReasonName(reason), delay, input.online, input.slots);
}

bool belongsTo(const AnswerFacts &facts, const ProxyCall &call)
{
    return facts.requestId.empty() ? !facts.signedByTarget : facts.requestId == call.id.value;
}

/** Reads the rest of a body; bounded by the time left. */
asio::awaitable<Result<std::string>> readBody(Forwarding &forwarding, HttpExchange &exchange)
{
    std::string body;
    for (;;) {
        auto piece = co_await httpRead(exchange, std::max(milliseconds(1), leftOf(forwarding)));
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            co_return body;
        }
        body += *valueOf(piece);
    }
}

Attempt failedAttempt(const Forwarding &forwarding, Error error)
{
    if (forwarding.callerGone) {
        return {AttemptEnd::CallerGone, std::move(error), {}};
    }
    const AttemptEnd end = error.run == RunState::No ? AttemptEnd::NotRun : AttemptEnd::Failed;
    return {end, std::move(error), {}};
}

/** Passes a whole answer on to the caller. */
asio::awaitable<Attempt> deliverWhole(Forwarding &forwarding, HttpResponse answer)
{
    forwarding.started = true;
    const int status = answer.status;
    const auto sent = co_await sendResponse(forwarding.responder, std::move(answer));
    logAnswered(forwarding, status, !isOk(sent) ? "caller_gone" : status < 500 ? "ok" : "target_failure");
    co_return Attempt{AttemptEnd::Answered, {}, {}};
}

/** Reads an answer that is passed on as a whole. */
asio::awaitable<Attempt> takeWhole(Forwarding &forwarding, HttpExchange &exchange)
{
    HttpResponse answer;
    answer.status = exchange.status;
    answer.headers = endToEndHeaders(exchange.headers);
    auto body = co_await readBody(forwarding, exchange);
    if (!isOk(body)) {
        co_return failedAttempt(forwarding, errorOf(body));
    }
    answer.body = std::move(valueOf(body));
    if (answer.status >= 500) {
        Attempt attempt{AttemptEnd::Failed, makeError(ErrorCode::TargetFailed, std::to_string(answer.status), RunState::Maybe), {}};
        attempt.answer = std::move(answer);
        co_return attempt;
    }
    if (!forwarding.firstAt) {
        forwarding.firstAt = BootClock::now();
    }
    co_return co_await deliverWhole(forwarding, std::move(answer));
}

/** Sends events to the caller, after the head if it was not sent yet. */
asio::awaitable<Result<Done>> passEvents(Forwarding &forwarding, const HttpExchange &exchange, std::vector<StreamEvent> events)
{
    if (!forwarding.started) {
        forwarding.started = true;
        forwarding.firstAt = BootClock::now();
        const auto head = co_await startStream(forwarding.responder, exchange.status, endToEndHeaders(exchange.headers));
        if (!isOk(head)) {
            co_return head;
        }
    }
    std::string bytes;
    for (const StreamEvent &event : events) {
        bytes += event.raw;
    }
    const TimePoint now = BootClock::now();
    if (forwarding.events > 0) {
        forwarding.longestGap = std::max(forwarding.longestGap, std::chrono::duration_cast<milliseconds>(now - forwarding.lastEventAt));
    }
    forwarding.lastEventAt = now;
    forwarding.events += events.size();
    co_return co_await writeChunk(forwarding.responder, std::move(bytes));
}

milliseconds readLimit(const Forwarding &forwarding, milliseconds silence)
{
    const milliseconds left = std::max(milliseconds(1), leftOf(forwarding));
    const bool mayMove = isRepeatable(*forwarding.route) && forwarding.runs < forwarding.route->maxAttempts;
    return mayMove ? std::min(left, silence) : left;
}

/** Passes a stream on event by event. */
asio::awaitable<Attempt> takeStream(Forwarding &forwarding, HttpExchange &exchange)
{
    forwarding.splitter.partial.clear();
    bool any = false;
    for (;;) {
        auto piece = co_await httpRead(exchange, readLimit(forwarding, any ? silentGap : silentFirst));
        if (!isOk(piece)) {
            co_return failedAttempt(forwarding, errorOf(piece));
        }
        if (!valueOf(piece)) {
            break;
        }
        auto events = splitEvents(forwarding.splitter, *valueOf(piece));
        if (!isOk(events)) {
            co_return failedAttempt(forwarding, errorOf(events));
        }
        any = any || !valueOf(events).empty();
        if (valueOf(events).empty()) {
            continue;
        }
        const auto passed = co_await passEvents(forwarding, exchange, std::move(valueOf(events)));
        if (!isOk(passed)) {
            co_return Attempt{AttemptEnd::CallerGone, makeError(ErrorCode::CallerGone, "while sending events"), {}};
        }
    }
    if (!endsWhole(forwarding.splitter) || !forwarding.started) {
        co_return failedAttempt(forwarding, makeError(ErrorCode::StreamBroken, "ended within an event", RunState::Maybe));
    }
    const auto finished = co_await finishStream(forwarding.responder);
    logAnswered(forwarding, exchange.status, isOk(finished) ? "ok" : "caller_gone");
    co_return Attempt{AttemptEnd::Answered, {}, {}};
}

/** Sends the request to @p target and passes the answer on. */
asio::awaitable<Attempt> attemptOn(Forwarding &forwarding, TargetEntry target)
{
    Proxy &proxy = *forwarding.proxy;
    const bool repeatable = isRepeatable(*forwarding.route);
    SendDetails details{target.id, std::max(milliseconds(1), leftOf(forwarding)), forwarding.splitter.last};
    HttpRequest request = proxy.wire.encode(forwarding.call, details);
    const milliseconds first = forwarding.route->kind == CallKind::Stream || repeatable ? readLimit(forwarding, silentFirst) : leftOf(forwarding);
    const HttpTimeouts timeouts{std::min(connectTimeout, details.budget), details.budget, std::max(milliseconds(1), first), details.budget};
    const ConnectionUse use = repeatable ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    forwarding.abort = std::make_shared<HttpAbortHandle>();
    auto opened = co_await httpOpen(proxy.http, target.endpoint, std::move(request), timeouts, use, forwarding.abort);
    if (!isOk(opened)) {
        co_return failedAttempt(forwarding, errorOf(opened));
    }
    HttpExchange &exchange = valueOf(opened);
    const AnswerFacts facts = proxy.wire.readAnswer(exchange.status, exchange.headers);
    if (facts.notRun) {
        auto rest = co_await readBody(forwarding, exchange);
        const std::string detail = std::to_string(exchange.status) + (isOk(rest) ? "" : ", body broken");
        co_return failedAttempt(forwarding, makeError(ErrorCode::TargetOverloaded, detail, RunState::No));
    }
    if (!belongsTo(facts, forwarding.call)) {
        httpAbort(exchange);
        co_return failedAttempt(forwarding, makeError(ErrorCode::ResponseMismatch, facts.requestId, RunState::Maybe));
    }
    forwarding.reading = &exchange;
    const bool stream = forwarding.route->kind == CallKind::Stream && exchange.status == 200;
    // g++ 12 destroys the temporaries of a co_await within a conditional expression twice.
    Attempt attempt;
    if (stream) {
        attempt = co_await takeStream(forwarding, exchange);
    } else {
        attempt = co_await takeWhole(forwarding, exchange);
    }
    forwarding.reading = nullptr;
    co_return attempt;
}

/** Answers a request that failed for good. */
asio::awaitable<void> giveUp(Forwarding &forwarding, const Attempt &last)
{
    if (forwarding.started) {
        abortConnection(forwarding.responder);
        logAnswered(forwarding, 0, "broken_off");
        co_return;
    }
    if (last.answer) {
        co_await deliverWhole(forwarding, *last.answer);
        co_return;
    }
    const bool late = leftOf(forwarding).count() <= 0;
    if (forwarding.runs == 0) {
        co_await refuse(forwarding,
                        late ? "deadline" : "targets_refused",
                        refusalDelay({.remaining = leftOf(forwarding), .draw = nextRandom(forwarding.proxy->random)}),
                        0,
                        0);
        logAnswered(forwarding, 503, "refused");
        co_return;
    }
    co_await sendFailure(*forwarding.proxy, forwarding.responder, late ? 504 : 502, errorInfo(last.error.code).name, {});
    logAnswered(forwarding, late ? 504 : 502, late ? "timeout" : "failed");
}

/** Notes how an attempt ended. */
void settle(Forwarding &forwarding, const TargetEntry &target, const Attempt &attempt, TimePoint begun, SpreadReason reason)
{
    Proxy &proxy = *forwarding.proxy;
    if (attempt.end == AttemptEnd::Answered) {
        const bool first = forwarding.tried.empty() && reason == SpreadReason::FreeSlot && forwarding.firstAt;
        noteTargetSuccess(proxy, target.id, first ? std::optional(std::chrono::duration_cast<milliseconds>(*forwarding.firstAt - begun)) : std::nullopt);
        return;
    }
    if (attempt.end == AttemptEnd::CallerGone) {
        return;
    }
    forwarding.tried.push_back(target.id);
    forwarding.runs += attempt.end == AttemptEnd::Failed ? 1 : 0;
    forwarding.refusals += attempt.end == AttemptEnd::NotRun ? 1 : 0;
    if (!attempt.answer) {
        noteTargetFailure(proxy, target);
    }
    logEvent(EventKind::AttemptFailed,
             forwarding.call.id.value,
             {{"target", target.id.value},
              {"error", errorInfo(attempt.error.code).name},
              {"run", attempt.end == AttemptEnd::NotRun ? "no" : "maybe"},
              {"detail", attempt.error.detail},
              {"ran_ms", since(begun).count()},
              {"events", forwarding.events}});
}

bool mayGoOn(const Forwarding &forwarding)
{
    if (leftOf(forwarding).count() <= 0 || forwarding.refusals >= maxRefusalsByTargets) {
        return false;
    }
    return forwarding.runs == 0 || (isRepeatable(*forwarding.route) && forwarding.runs < forwarding.route->maxAttempts);
}

/** Tries targets until the request has its final answer. */
asio::awaitable<void> runAttempts(Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    Attempt last;
    while (!forwarding.callerGone) {
        const auto candidates = candidatesOf(proxy, forwarding.service, forwarding.tried, forwarding.domain);
        const SpreadChoice choice = spreadRequest(candidates, {}, nextRandom(proxy.random));
        const bool none = choice.reason == SpreadReason::Full || choice.reason == SpreadReason::NoTarget;
        if (none && forwarding.runs == 0 && forwarding.refusals == 0) {
            co_await refuseFull(forwarding, candidates, choice.reason);
            logAnswered(forwarding, 503, "refused");
            co_return;
        }
        if (none && forwarding.started && mayGoOn(forwarding)) {
            // The caller has a part of the answer: wait for a target that can go on.
            forwarding.tried.clear();
            co_await sleepFor(placeAgain);
            continue;
        }
        if (none) {
            co_await giveUp(forwarding, last);
            co_return;
        }
        const TargetEntry target = proxy.fleet->targets->at(choice.target);
        const TimePoint begun = BootClock::now();
        forwarding.target = target.id;
        {
            const LoadTicket ticket(boardOf(forwarding.proxy), target.id, false);
            if (choice.reason != SpreadReason::FreeSlot) {
                proxy.announceLoad();
            }
            logSampled(EventKind::Placed,
                       forwarding.call.id.value,
                       {{"route", forwarding.route->name},
                        {"target", target.id.value},
                        {"reason", spreadReasonName(choice.reason)},
                        {"online", choice.online},
                        {"batch", choice.batch},
                        {"peers_age_ms", oldestStatusAge(proxy.board, begun).count()},
                        {"attempt", forwarding.runs + forwarding.refusals + 1},
                        {"config", forwarding.config->version.value},
                        {"left_ms", leftOf(forwarding).count()}});
            last = co_await attemptOn(forwarding, target);
        }
        settle(forwarding, target, last, begun, choice.reason);
        if (last.end == AttemptEnd::Answered) {
            co_return;
        }
        if (last.end == AttemptEnd::CallerGone) {
            break;
        }
        if (!mayGoOn(forwarding)) {
            co_await giveUp(forwarding, last);
            co_return;
        }
        if (forwarding.started) {
            logEvent(EventKind::Resumed, forwarding.call.id.value, {{"after", forwarding.splitter.last}});
        }
    }
    abortConnection(forwarding.responder);
    logAnswered(forwarding, 0, "caller_gone");
}

/** Cuts the exchange with the target when the caller leaves. */
void cutForGoneCaller(const std::shared_ptr<Forwarding> &forwarding)
{
    forwarding->callerGone = true;
    if (forwarding->abort) {
        httpAbortOpening(*forwarding->abort);
    }
    if (forwarding->reading != nullptr) {
        httpAbort(*forwarding->reading);
    }
}

} // namespace

asio::awaitable<void> sendFailure(Proxy &proxy, HttpResponder &responder, int status, std::string_view reason, std::optional<milliseconds> retryAfter)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    if (retryAfter) {
        response.headers.push_back({"Retry-After", retryAfterText(*retryAfter)});
    }
    response.body = boost::json::serialize(boost::json::object{{"error", reason}});
    addCounter(*proxy.metrics, "skylark_own_failures_total", {{"status", std::to_string(status)}, {"reason", reason}});
    co_await sendResponse(responder, std::move(response));
}

asio::awaitable<void> forwardCall(std::shared_ptr<Proxy> proxy, HttpResponder &responder, ProxyCall call, DomainId domain)
{
    const auto config = proxy->fleet->config;
    if (!config) {
        co_await sendFailure(*proxy, responder, 503, "no_configuration", notReadyDelay);
        co_return;
    }
    const RouteRule *route = matchRoute(*config, call.host, targetPath(call.target));
    if (route == nullptr) {
        logEvent(EventKind::Refused, call.id.value, {{"reason", "no_route"}, {"config", config->version.value}});
        co_await sendFailure(*proxy, responder, 404, "no_route", {});
        co_return;
    }
    auto forwarding = std::make_shared<Forwarding>(Forwarding{proxy, responder, std::move(call), std::move(domain)});
    forwarding->config = config;
    forwarding->route = route;
    forwarding->service = chooseService(*route, nextRandom(proxy->random));
    forwarding->arrivedAt = BootClock::now();
    const milliseconds patience = forwarding->call.patience.value_or(defaultPatience);
    forwarding->limit = forwarding->arrivedAt + (route->timeout.count() > 0 ? std::min(route->timeout, patience) : patience);
    forwarding->splitter.last = forwarding->call.lastEventId;
    const std::weak_ptr<Forwarding> weak = forwarding;
    onCallerGone(responder, [weak] {
        if (const auto strong = weak.lock()) {
            cutForGoneCaller(strong);
        }
    });
    co_await runAttempts(*forwarding);
}

} // namespace skylark
