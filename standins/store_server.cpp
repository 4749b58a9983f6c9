/** @file store_server.cpp HTTP server for an in-memory store, in the platform's wire format. */
#include "store_server_func.h"

#include "base64_func.h"
#include "core/json_member_func.h"
#include "names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace skylark::platform;

namespace {

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

json::object itemObject(const KvItem &item)
{
    if (item.deleted) {
        return {{"key", item.key}, {"revision", item.revision}, {"tombstone", true}};
    }
    return {{"key", item.key}, {"value", encodeBase64(item.value)}, {"revision", item.revision}, {"created", item.revision}, {"lease", 0}};
}

json::array itemArray(const std::vector<KvItem> &items)
{
    json::array array;
    for (const KvItem &item : items) {
        array.push_back(itemObject(item));
    }
    return array;
}

HttpResponse storeResponse(int status, const json::object &body = {})
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = json::serialize(body);
    return response;
}

/** @return 404 for an unknown or expired lease, 503 for any other error. */
HttpResponse storeErrorResponse(const Error &error)
{
    return storeResponse(error.code == ErrorCode::LeaseExpired ? 404 : 503);
}

KvTransaction parseTransaction(const json::object &body)
{
    KvTransaction transaction;
    for (const auto &entry : arrayMember(body, "precondition")) {
        transaction.conditions.push_back({stringMember(entry.get_object(), "key"), numberMember(entry.get_object(), "revision")});
    }
    for (const auto &entry : arrayMember(body, "writes")) {
        const std::string value = decodeBase64(stringMember(entry.get_object(), "value")).value_or(std::string());
        transaction.writes.push_back({stringMember(entry.get_object(), "key"), value, numberMember(entry.get_object(), "lease")});
    }
    for (const auto &entry : arrayMember(body, "remove")) {
        transaction.removals.emplace_back(entry.get_string());
    }
    return transaction;
}

asio::awaitable<HttpResponse> handleRead(std::shared_ptr<const KvStore> store, HttpRequest request)
{
    const std::string_view path = targetPath(request.target);
    const KvFreshness freshness = queryParameter(request.target, "serializable") == "1" ? KvFreshness::Stale : KvFreshness::Linearizable;
    if (path == pathKey) {
        auto item = co_await store->get(queryParameter(request.target, "key"), freshness);
        co_return !isOk(item) ? storeErrorResponse(errorOf(item)) : !valueOf(item) ? storeResponse(404) : storeResponse(200, itemObject(*valueOf(item)));
    }
    const std::string prefix = queryParameter(request.target, "prefix");
    const std::string after = queryParameter(request.target, "after");
    if (path == pathRange) {
        auto page = co_await store->range(prefix, after, freshness);
        if (!isOk(page)) {
            co_return storeErrorResponse(errorOf(page));
        }
        const KvItemPage &found = valueOf(page);
        co_return storeResponse(200, {{"items", itemArray(found.items)}, {"has_more", found.more}, {"store_revision", found.storeRevision}});
    }
    const std::chrono::milliseconds wait(parseNumber(queryParameter(request.target, "wait_ms")));
    auto changes = co_await store->watch(prefix, parseNumber(after), wait, nullptr);
    if (!isOk(changes)) {
        co_return storeErrorResponse(errorOf(changes));
    }
    if (valueOf(changes).compacted) {
        co_return storeResponse(410);
    }
    co_return storeResponse(200, {{"events", itemArray(valueOf(changes).items)}, {"store_revision", valueOf(changes).storeRevision}});
}

asio::awaitable<HttpResponse> handleWrite(std::shared_ptr<const KvStore> store, HttpRequest request)
{
    const std::string_view path = targetPath(request.target);
    if (path == pathTransaction) {
        const auto body = parseJsonObject(request.body);
        if (!body) {
            co_return storeResponse(400);
        }
        auto decision = co_await store->commit(parseTransaction(*body));
        if (!isOk(decision)) {
            co_return storeErrorResponse(errorOf(decision));
        }
        const KvTransactionResult &made = valueOf(decision);
        co_return made.applied ? storeResponse(200, {{"revision", made.revision}}) : storeResponse(412, {{"items", itemArray(made.currentItems)}});
    }
    if (path == pathLease) {
        const auto body = parseJsonObject(request.body);
        const std::chrono::milliseconds ttl(body ? numberMember(*body, "ttl_ms") : 0);
        auto lease = co_await store->grantLease(ttl);
        co_return isOk(lease) ? storeResponse(200, {{"lease", valueOf(lease)}, {"ttl_ms", ttl.count()}}) : storeErrorResponse(errorOf(lease));
    }
    if (path.starts_with(pathLeaseRenewal)) {
        const auto renewed = co_await store->renewLease(parseNumber(path.substr(pathLeaseRenewal.size())));
        co_return isOk(renewed) ? storeResponse(200) : storeErrorResponse(errorOf(renewed));
    }
    if (path.starts_with(pathLeaseEnd)) {
        const auto ended = co_await store->endLease(parseNumber(path.substr(pathLeaseEnd.size())));
        co_return isOk(ended) ? storeResponse(200) : storeErrorResponse(errorOf(ended));
    }
    co_return storeResponse(404);
}

/** Waits until the caller closes the connection on which a response was lost. */
asio::awaitable<void> loseResponse(HttpResponder &responder)
{
    const auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    onCallerDisconnect(responder, [timer] {
        timer->cancel();
    });
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace

Result<std::unique_ptr<HttpServer>> serveStore(const std::shared_ptr<MemoryStore> &store, std::uint16_t port, const std::shared_ptr<const StoreLink> &link)
{
    HttpServerOptions options;
    options.listen = {"127.0.0.1", port};
    options.maxBody = std::size_t{16} << 20U;
    const auto operations = storeInterface(store);
    return HttpServer::create(store->executor, options, [operations, link](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        if (link && link->silent) {
            co_await loseResponse(responder);
            co_return;
        }
        const bool read = request.method == "GET";
        HttpResponse response;
        if (read) {
            response = co_await handleRead(operations, std::move(request));
        } else {
            response = co_await handleWrite(operations, std::move(request));
        }
        if (link && link->silent) {
            co_await loseResponse(responder);
            co_return;
        }
        co_await sendResponse(responder, std::move(response));
    });
}

} // namespace skylark::standin
