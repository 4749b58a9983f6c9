/** @file replica.cpp In-process server that stands in for a replica of the platform. */
#include "replica_base.h"

#include "core/async_sleep_func.h"
#include "core/hash_func.h"
#include "names.h"

#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
using namespace skylark::platform;

namespace {

std::uint64_t numberHeader(const HttpRequest &request, std::string_view name)
{
    const std::string_view text = headerValue(request.headers, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** @return The headers that all responses of @p replica have. */
HttpHeaders commonHeaders(const Replica &replica)
{
    return replica.leaving ? HttpHeaders{{std::string(headerServerLeaving), "1"}} : HttpHeaders{};
}

HttpHeaders responseHeaders(const ReplicaPlan &plan, const std::string &id)
{
    HttpHeaders headers{{std::string(headerRequestId), plan.wrongId ? "another-request" : id}};
    if (!plan.omitsSignature) {
        headers.push_back({std::string(headerSignature), "signature-of-" + id});
    }
    headers.push_back({"Content-Type", plan.stream ? "text/event-stream" : "text/plain"});
    headers.insert(headers.end(), plan.headers.begin(), plan.headers.end());
    return headers;
}

/** Sends a response that says that the request was not executed. */
asio::awaitable<void> refuse(const Replica &replica, HttpResponder &responder, int status, const std::string &id)
{
    HttpResponse response;
    response.status = status;
    response.headers = commonHeaders(replica);
    response.headers.push_back({std::string(headerRequestId), id});
    response.headers.push_back({std::string(headerNotExecuted), "1"});
    co_await sendResponse(responder, std::move(response));
}

std::string rawEvent(const std::string &id, unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: " + eventData(id, number) + "\n\n";
}

/** Sends one byte of an event now and then until the caller closes the connection. */
asio::awaitable<void> sendBytesSlowly(HttpResponder &responder, std::shared_ptr<ReplicaRun> run)
{
    constexpr std::chrono::milliseconds interval{50};
    while (!run->callerClosed) {
        co_await sleepFor(interval);
        const auto sent = co_await writeChunk(responder, ":");
        run->callerClosed = run->callerClosed || !isOk(sent);
    }
}

/** Sends filler until the caller closes the connection. */
asio::awaitable<void> sendFiller(HttpResponder &responder, ReplicaPlan plan, std::shared_ptr<ReplicaRun> run)
{
    constexpr std::size_t pieceBytes = 65536;
    HttpHeaders headers = responseHeaders(plan, run->id);
    co_await startStream(responder, plan.status, std::move(headers));
    while (!run->callerClosed) {
        const auto sent = co_await writeChunk(responder, std::string(pieceBytes, 'x'));
        run->fillerBytes += pieceBytes;
        run->callerClosed = run->callerClosed || !isOk(sent);
    }
}

/** Streams the events that follow the last one that the request names. */
asio::awaitable<void> sendEvents(HttpResponder &responder, ReplicaPlan plan, std::shared_ptr<ReplicaRun> run)
{
    HttpHeaders headers = responseHeaders(plan, run->id);
    co_await startStream(responder, plan.status, std::move(headers));
    for (unsigned number = static_cast<unsigned>(run->lastEventId) + 1; number <= plan.events; ++number) {
        co_await sleepFor(plan.step);
        if (run->crashed) {
            abortConnection(responder);
            co_return;
        }
        if (run->callerClosed) {
            co_return;
        }
        std::string bytes = rawEvent(run->id, number);
        if (plan.skipsEvent && number == 3) {
            bytes.clear();
        }
        if (plan.repeatsEvent && number == 3) {
            bytes += bytes;
        }
        const auto sent = co_await writeChunk(responder, std::move(bytes));
        if (!isOk(sent)) {
            run->callerClosed = true;
            co_return;
        }
        ++run->events;
        if (plan.silentAfter == run->events) {
            co_await sleepFor(plan.silence);
        }
        if (plan.stallAfter == number) {
            co_await sendBytesSlowly(responder, run);
            co_return;
        }
        if (plan.breakAfter == number) {
            if (plan.breakInsideEvent) {
                co_await writeChunk(responder, rawEvent(run->id, number + 1).substr(0, 9));
            }
            abortConnection(responder);
            co_return;
        }
    }
    co_await finishStream(responder);
    run->finished = true;
}

/** Sends the whole output in one response. */
asio::awaitable<void> sendWhole(HttpResponder &responder, ReplicaPlan plan, std::shared_ptr<ReplicaRun> run)
{
    HttpResponse response;
    response.status = plan.status;
    response.headers = responseHeaders(plan, run->id);
    response.body = wholeText(run->id, plan.events);
    if (plan.breakAfter > 0) {
        abortConnection(responder);
        co_return;
    }
    co_await sendResponse(responder, std::move(response));
    run->finished = true;
}

/** Ends all runs of @p replica; each closes its connection before its next event. */
void crash(Replica &replica)
{
    ++replica.crashes;
    for (const auto &run : replica.runs) {
        run->crashed = !run->finished;
    }
}

asio::awaitable<void> handle(std::shared_ptr<Replica> replica, HttpRequest request, HttpResponder &responder)
{
    const std::string id(headerValue(request.headers, headerRequestId));
    const unsigned number = replica->arrivals++;
    const std::string_view expected = headerValue(request.headers, headerExpectInstance);
    if (!expected.empty() && expected != replica->id) {
        co_await refuse(*replica, responder, 421, id);
        co_return;
    }
    ReplicaPlan plan = replica->plan ? replica->plan(request, number) : ReplicaPlan{};
    const HttpHeaders common = commonHeaders(*replica);
    plan.headers.insert(plan.headers.end(), common.begin(), common.end());
    if (plan.status == 503 || plan.status == 429) {
        co_await refuse(*replica, responder, plan.status, id);
        co_return;
    }
    auto run = std::make_shared<ReplicaRun>();
    run->id = id;
    run->target = request.target;
    run->body = request.body;
    run->headers = request.headers;
    run->lastEventId = numberHeader(request, headerLastEvent);
    run->budgetMs = numberHeader(request, headerDeadline);
    replica->runs.push_back(run);
    replica->mostActive = std::max(replica->mostActive, ++replica->active);
    onCallerDisconnect(responder, [run] {
        run->callerClosed = true;
    });
    co_await sleepFor(plan.firstDelay);
    if (!run->callerClosed && plan.crashesBeforeAnswer) {
        crash(*replica);
        abortConnection(responder);
    } else if (!run->callerClosed && plan.crashesAtBegin) {
        co_await startStream(responder, plan.status, responseHeaders(plan, id));
        crash(*replica);
        abortConnection(responder);
    } else if (!run->callerClosed) {
        if (plan.endless) {
            co_await sendFiller(responder, plan, run);
        } else if (plan.stream && plan.status == 200) {
            co_await sendEvents(responder, plan, run);
        } else {
            co_await sendWhole(responder, plan, run);
        }
    }
    --replica->active;
}

} // namespace

std::shared_ptr<Replica> Replica::create(const asio::any_io_executor &executor, std::string id, std::uint16_t port)
{
    auto replica = std::make_shared<Replica>();
    replica->id = std::move(id);
    HttpServerOptions options;
    options.listen = {"127.0.0.1", port};
    options.maxHeader = 1U << 20U;
    const std::weak_ptr<Replica> weak = replica;
    auto server = HttpServer::create(executor, options, [weak](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        if (const auto strong = weak.lock()) {
            co_await handle(strong, std::move(request), responder);
        }
    });
    if (!isOk(server)) {
        return nullptr;
    }
    replica->server = std::move(valueOf(server));
    return replica;
}

std::string eventData(const std::string &id, unsigned number)
{
    return hash128Hex(id + ':' + std::to_string(number));
}

std::string wholeText(const std::string &id, unsigned events)
{
    std::string text;
    for (unsigned number = 1; number <= events; ++number) {
        text += number > 1 ? "\n" : "";
        text += eventData(id, number);
    }
    return text;
}

} // namespace skylark::standin
