/** @file platform.cpp Key-value, host list and weight store calls of the platform stand-in, which the faults affect. */
#include "platform_base.h"

#include "core/hash_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxValueBytes = std::size_t{1} << 20U;
constexpr std::chrono::milliseconds maxWatchWait{60000};
constexpr std::chrono::milliseconds expiryInterval{20};

/** @return The number in a query parameter, or nothing if it is missing or does not begin with a number. */
std::optional<std::uint64_t> numberParameter(const std::string &target, std::string_view name)
{
    const std::string text = queryParameter(target, name);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return number;
}

/** @return The percent-decoded part of the path after @p prefix. */
std::string pathRest(const HttpRequest &request, std::string_view prefix)
{
    const std::string_view rest = targetPath(request.target).substr(prefix.size());
    return queryParameter("?k=" + std::string(rest), "k");
}

std::string firstSegment(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

/** @return A random number of the range [0, 1). */
double randomFraction(std::uint64_t &state)
{
    return static_cast<double>(nextRandom(state) >> 11U) * 0x1.0p-53;
}

/** @return A response with the current value and version of a key, if it exists. */
HttpResponse keyResponse(const Platform &platform, int status, const std::string &key)
{
    HttpResponse response;
    response.status = status;
    const auto found = platform.store.keys.find(key);
    if (found != platform.store.keys.end()) {
        response.headers.push_back({"x-version", std::to_string(found->second.version)});
        response.body = found->second.value;
    }
    return response;
}

HttpResponse runGet(Platform &platform, const std::string &key)
{
    ++platform.counts.readsByPrefix[firstSegment(key)];
    if (!platform.store.keys.contains(key)) {
        return errorResponse(404, "not_found", key, true);
    }
    return keyResponse(platform, 200, key);
}

HttpResponse runPut(Platform &platform, const std::string &key, HttpRequest &request)
{
    ++platform.counts.writesByPrefix[firstSegment(key)];
    if (request.body.size() > maxValueBytes) {
        return errorResponse(413, "value_too_large", key, true);
    }
    const auto expected = numberParameter(request.target, "if_version");
    const StoreOutcome outcome = storePut(platform.store, key, std::move(request.body), expected, queryParameter(request.target, "lease"));
    if (outcome == StoreOutcome::NoLease) {
        return errorResponse(410, "no_lease", key, true);
    }
    if (outcome == StoreOutcome::Conflict) {
        return keyResponse(platform, 409, key);
    }
    HttpResponse response = keyResponse(platform, 200, key);
    response.body.clear();
    return response;
}

HttpResponse runDelete(Platform &platform, const std::string &key, const HttpRequest &request)
{
    ++platform.counts.writesByPrefix[firstSegment(key)];
    const StoreOutcome outcome = storeDelete(platform.store, key, numberParameter(request.target, "if_version"));
    return outcome == StoreOutcome::Conflict ? keyResponse(platform, 409, key) : HttpResponse{};
}

/** Grants, renews or revokes a lease. */
HttpResponse runLease(Platform &platform, const HttpRequest &request)
{
    ++platform.counts.writesByPrefix["leases"];
    const auto now = std::chrono::steady_clock::now();
    if (targetPath(request.target) == "/leases") {
        const auto body = parseJsonObject(request.body);
        if (!body || numberMember(*body, "ttl_ms") == 0) {
            return errorResponse(400, "invalid_request", "ttl_ms is missing or 0", true);
        }
        json::object answer;
        answer["lease"] = storeGrant(platform.store, std::chrono::milliseconds(numberMember(*body, "ttl_ms")), now);
        return jsonResponse(200, answer);
    }
    std::string lease = pathRest(request, "/leases/");
    bool known = false;
    if (request.method == "POST" && lease.ends_with("/renew")) {
        lease.resize(lease.size() - std::string_view("/renew").size());
        known = storeRenew(platform.store, lease, now);
    } else if (request.method == "DELETE") {
        known = storeRevoke(platform.store, lease);
    }
    return known ? HttpResponse{} : errorResponse(410, "no_lease", lease, true);
}

bool isWrite(const HttpRequest &request)
{
    return request.method != "GET" && !request.target.starts_with("/weights/");
}

HttpResponse runCall(Platform &platform, HttpRequest &request)
{
    storeExpire(platform.store, std::chrono::steady_clock::now());
    const std::string_view path = targetPath(request.target);
    if (path.starts_with("/kv/")) {
        const std::string key = pathRest(request, "/kv/");
        return request.method == "GET" ? runGet(platform, key) : request.method == "PUT" ? runPut(platform, key, request) : runDelete(platform, key, request);
    }
    if (path == "/range") {
        const std::string prefix = queryParameter(request.target, "prefix");
        ++platform.counts.readsByPrefix[firstSegment(prefix)];
        const auto limit = numberParameter(request.target, "limit").value_or(500);
        return jsonResponse(200, storeRange(platform.store, prefix, queryParameter(request.target, "after"), limit));
    }
    if (path.starts_with("/leases")) {
        return runLease(platform, request);
    }
    if (path == "/hosts") {
        ++platform.counts.readsByPrefix["hosts"];
        return servedTargets(platform, std::chrono::steady_clock::now());
    }
    return errorResponse(404, "not_found", path, true);
}

HttpResponse fetchWeights(Platform &platform)
{
    if (!tryAcquireCall(platform.weightsLimit, std::chrono::steady_clock::now(), 0)) {
        ++platform.counts.weightsRefused;
        HttpResponse response = errorResponse(429, "rate_limited", "weight store rate limit exceeded; retry later", true);
        response.headers.push_back({"retry-after", "1"});
        return response;
    }
    ++platform.counts.weightFetches;
    return jsonResponse(200, json::object());
}

/** Handles a call while the service is down, as PlatformFaults::downMode says. */
asio::awaitable<void> respondWhileDown(Platform &platform, HttpResponder &responder)
{
    ++platform.counts.refused;
    if (platform.faults.downMode == DownMode::Hang) {
        co_await waitForDisconnect(platform.loop, responder);
    }
    if (platform.faults.downMode != DownMode::Refuse) {
        abortConnection(responder);
        co_return;
    }
    co_await sendResponse(responder, errorResponse(503, "down", "service is down", true));
}

/** Waits for events, until the time is over, the client disconnects or the service goes down, and sends them. */
asio::awaitable<void> runWatch(Platform &platform, HttpRequest request, HttpResponder &responder)
{
    const std::string prefix = queryParameter(request.target, "prefix");
    const std::uint64_t cursor = numberParameter(request.target, "after").value_or(0);
    const std::chrono::milliseconds wait(numberParameter(request.target, "wait_ms").value_or(0));
    const auto end = std::chrono::steady_clock::now() + std::min(wait, maxWatchWait);
    auto disconnected = std::make_shared<bool>(false);
    onCallerDisconnect(responder, [disconnected, &platform] {
        *disconnected = true;
        platform.wake.cancel();
    });
    ++platform.counts.watching;
    auto events = storeEvents(platform.store, prefix, cursor);
    while (!events && !*disconnected && !platform.faults.down && std::chrono::steady_clock::now() < end) {
        // The wake timer never expires, so a second timer ends the wait.
        asio::steady_timer deadline(platform.loop, end);
        deadline.async_wait([&platform](const boost::system::error_code &error) {
            if (!error) {
                platform.wake.cancel();
            }
        });
        co_await platform.wake.async_wait(asio::as_tuple(asio::use_awaitable));
        events = storeEvents(platform.store, prefix, cursor);
    }
    --platform.counts.watching;
    onCallerDisconnect(responder, nullptr);
    if (*disconnected) {
        co_return;
    }
    if (platform.faults.down) {
        co_await respondWhileDown(platform, responder);
        co_return;
    }
    if (!events) {
        events.emplace();
        (*events)["events"] = json::array();
        (*events)["cursor"] = platform.store.lastEvent;
        (*events)["gap"] = false;
    }
    co_await sendResponse(responder, jsonResponse(200, *events));
}

/** @return True with the given probability. */
bool drawFault(Platform &platform, double probability)
{
    return probability > 0 && randomFraction(platform.faults.randomState) < probability;
}

/** Executes one read or write and sends the response, subject to the faults of writes. */
asio::awaitable<void> runAndRespond(Platform &platform, HttpRequest request, HttpResponder &responder)
{
    const bool write = isWrite(request);
    if (write && drawFault(platform, platform.faults.dropWrites)) {
        ++platform.counts.dropped;
        abortConnection(responder);
        co_return;
    }
    if (write && platform.faults.slowWrites.count() > 0) {
        co_await sleepFor(platform.loop, platform.faults.slowWrites);
    }
    ++(write ? platform.counts.writes : platform.counts.reads);
    HttpResponse response = runCall(platform, request);
    if (write && drawFault(platform, platform.faults.loseAnswers)) {
        ++platform.counts.lost;
        abortConnection(responder);
        co_return;
    }
    co_await sendResponse(responder, std::move(response));
}

asio::awaitable<void> expireLeases(Platform &platform)
{
    for (;;) {
        co_await sleepFor(platform.loop, expiryInterval);
        storeExpire(platform.store, std::chrono::steady_clock::now());
    }
}

} // namespace

Platform::Platform(asio::io_context &loop)
    : loop(loop)
    , wake(loop, SteadyTime::max())
{
    this->store.onEvent = [this] {
        this->wake.cancel();
    };
}

void startExpiry(Platform &platform)
{
    asio::co_spawn(platform.loop, expireLeases(platform), asio::detached);
}

asio::awaitable<void> handlePlatform(Platform &platform, HttpRequest request, HttpResponder &responder)
{
    if (auto control = handleControl(platform, request)) {
        co_await sendResponse(responder, std::move(*control));
        co_return;
    }
    // A delayed call is executed even if its client has disconnected, so that a write can take effect late.
    if (platform.faults.slow.count() > 0) {
        co_await sleepFor(platform.loop, platform.faults.slow);
    }
    if (platform.faults.down) {
        co_await respondWhileDown(platform, responder);
        co_return;
    }
    if (request.target.starts_with("/weights/")) {
        co_await sendResponse(responder, fetchWeights(platform));
        co_return;
    }
    // Each waiting watch uses as much of the rate limit as one call per second.
    if (!tryAcquireCall(platform.callLimit, std::chrono::steady_clock::now(), platform.counts.watching)) {
        ++platform.counts.refused;
        HttpResponse response = errorResponse(429, "rate_limited", "key-value service rate limit exceeded; retry later", true);
        response.headers.push_back({"retry-after", "1"});
        co_await sendResponse(responder, std::move(response));
        co_return;
    }
    if (targetPath(request.target) == "/watch") {
        ++platform.counts.watches;
        co_await runWatch(platform, std::move(request), responder);
        co_return;
    }
    co_await runAndRespond(platform, std::move(request), responder);
}

} // namespace skylark::standin
