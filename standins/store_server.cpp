/** @file store_server.cpp Serves a store in memory in the platform's wire form. */
#include "store_server_func.h"

#include "base64_func.h"
#include "core/json_member_func.h"
#include "names.h"

#include <charconv>

namespace skylark::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace skylark::platform;

namespace {

std::uint64_t numberOf(std::string_view text)
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

HttpResponse answer(int status, const json::object &body = {})
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = json::serialize(body);
    return response;
}

HttpResponse failure(const Error &error)
{
    return answer(error.code == ErrorCode::LeaseExpired ? 404 : 503);
}

KvTransaction readTransaction(const json::object &body)
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
        co_return !isOk(item) ? failure(errorOf(item)) : !valueOf(item) ? answer(404) : answer(200, itemObject(*valueOf(item)));
    }
    const std::string prefix = queryParameter(request.target, "prefix");
    const std::string after = queryParameter(request.target, "after");
    if (path == pathRange) {
        auto page = co_await store->range(prefix, after, freshness);
        if (!isOk(page)) {
            co_return failure(errorOf(page));
        }
        const KvItemPage &found = valueOf(page);
        co_return answer(200, {{"items", itemArray(found.items)}, {"has_more", found.more}, {"store_revision", found.storeRevision}});
    }
    const std::chrono::milliseconds wait(numberOf(queryParameter(request.target, "wait_ms")));
    auto changes = co_await store->watch(prefix, numberOf(after), wait);
    if (!isOk(changes)) {
        co_return failure(errorOf(changes));
    }
    if (valueOf(changes).compacted) {
        co_return answer(410);
    }
    co_return answer(200, {{"events", itemArray(valueOf(changes).items)}, {"store_revision", valueOf(changes).storeRevision}});
}

asio::awaitable<HttpResponse> handleWrite(std::shared_ptr<const KvStore> store, HttpRequest request)
{
    const std::string_view path = targetPath(request.target);
    if (path == pathTransaction) {
        const auto body = parseJsonObject(request.body);
        if (!body) {
            co_return answer(400);
        }
        auto decision = co_await store->commit(readTransaction(*body));
        if (!isOk(decision)) {
            co_return failure(errorOf(decision));
        }
        const KvDecision &made = valueOf(decision);
        co_return made.applied ? answer(200, {{"revision", made.revision}}) : answer(412, {{"items", itemArray(made.present)}});
    }
    if (path == pathLease) {
        const auto body = parseJsonObject(request.body);
        const std::chrono::milliseconds ttl(body ? numberMember(*body, "ttl_ms") : 0);
        auto lease = co_await store->grantLease(ttl);
        co_return isOk(lease) ? answer(200, {{"lease", valueOf(lease)}, {"ttl_ms", ttl.count()}}) : failure(errorOf(lease));
    }
    if (path.starts_with(pathKeep)) {
        const auto renewed = co_await store->renewLease(numberOf(path.substr(pathKeep.size())));
        co_return isOk(renewed) ? answer(200) : failure(errorOf(renewed));
    }
    if (path.starts_with(pathLeaseEnd)) {
        const auto ended = co_await store->endLease(numberOf(path.substr(pathLeaseEnd.size())));
        co_return isOk(ended) ? answer(200) : failure(errorOf(ended));
    }
    co_return answer(404);
}

} // namespace

Result<std::unique_ptr<HttpServer>> serveStore(const std::shared_ptr<MemoryStore> &store, std::uint16_t port)
{
    HttpServerOptions options;
    options.listen = {"127.0.0.1", port};
    options.maxBody = std::size_t{16} << 20U;
    const auto operations = storeInterface(store);
    return HttpServer::create(store->executor, options, [operations](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        const bool read = request.method == "GET";
        HttpResponse response;
        if (read) {
            response = co_await handleRead(operations, std::move(request));
        } else {
            response = co_await handleWrite(operations, std::move(request));
        }
        co_await sendResponse(responder, std::move(response));
    });
}

} // namespace skylark::standin
